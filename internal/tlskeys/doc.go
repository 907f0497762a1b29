// Package tlskeys loads TLS configurations from PEM files and reloads changed files
// without a restart.
//
// The files are checked for changes when a connection is made, at most once a
// second. Files that cannot be loaded, or whose certificate has expired or is not
// yet valid, do not replace the keys in use. A listener refuses connections once
// its certificate has expired.
package tlskeys
