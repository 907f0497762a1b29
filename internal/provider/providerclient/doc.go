// Package providerclient creates clients of the platform's services from the
// settings. Each call has a deadline and is counted by service and method.
package providerclient
