// Package duty implements leader election by a lease in the platform's table
// service, for a duty that only one process at a time may carry out. It is not to
// be confused with the leases by which members announce themselves (package member).
//
// The lease is one row. Its holder renews it by conditional writes. Another
// process acquires it once the version of the row has not changed for the lease's
// whole time to live. The holder counts the time to live from before it sent the
// write that renewed the lease, on a clock that also runs while the machine is
// suspended, so that its lease always expires before another process can acquire
// it. The version of the row at the acquisition is the fencing token: it stays the
// same for all renewals and is greater than the token of every earlier holder, also if
// the table service comes back from an older copy (provider.JoinVersion).
//
// In an older copy, the row may name an earlier holder. A row is believed at once only if
// it states the era of the table service in which it is read; see Watch.Next.
package duty
