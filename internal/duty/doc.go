// Package duty decides which process carries out a duty that only one process
// at a time may have, by a lease in the platform's table service.
//
// The lease is one row. Its holder renews it by conditional writes. Another
// process takes it once it has seen the same version of the row for the whole
// time to live. A holder counts the time from before it sent the write that
// renewed the lease, on a clock that also runs while the machine is suspended,
// so that it always stops before another can begin. The version at which the
// lease was taken is the fencing token: it is the same for all renewals and
// greater than that of every earlier holder.
package duty
