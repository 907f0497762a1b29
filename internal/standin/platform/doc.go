// Package platform simulates services of the platform for development and tests:
// an object store with the S3 protocol and a list of VMs as JSON over HTTP. The
// platform's table service is simulated by package dbserver. All state is in
// memory.
package platform
