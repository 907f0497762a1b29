// Package provider declares what rattancove needs of the platform: a table
// service with versioned rows, an object store and the list of VMs.
//
// Every call may fail, and a call that failed may have taken effect.
package provider
