// Package version holds the version of the programs.
package version

// Version is the version that every program reports.
const Version = "0.1.0"
