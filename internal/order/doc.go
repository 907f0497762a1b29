// Package order tracks the outcome of an order, or any other write or transaction,
// over its attempts, and decides whether it may be retried.
//
// An outcome is "not run" only with proof: nothing was sent, or the server rolled
// the transaction back. Once a byte may have been sent, and until a response is
// acknowledged, the outcome is unknown. An order with an id may then be retried,
// because the id is recorded in the same database transaction as the order, so
// that the order takes effect only once. A request without an id is never sent
// again once an attempt may have run.
package order
