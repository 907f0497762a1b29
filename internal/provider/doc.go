// Package provider declares the interfaces to the services of the platform: a
// table service with versioned rows, an object store and the list of VMs.
//
// Every call may fail, and a call that returned an error may have taken effect.
package provider
