// Package platform is a small stand-in of the platform for development and
// tests: a table service over the PostgreSQL protocol, an object store over S3
// and a list of VMs as JSON over HTTP. Nothing outlives the process.
package platform
