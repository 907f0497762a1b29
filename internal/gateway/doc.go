// Package gateway routes each request to the home of its database group: in this
// process, at a peer, or through another peer as relay when the direct path fails.
// It retries a request only if no part of it ran, or if an order id makes the retry
// idempotent.
package gateway
