// Package providerclient opens the platform's services from the settings. Each
// call has a deadline and is counted by service and kind.
package providerclient
