// Package gateway routes each request to the home of its database group, in this
// process or at a peer. When the direct path to a peer fails, rattan-proxy sends the
// next attempt through another proxy as relay. rattan-edge never relays: it sends the
// next attempt to the fallback home of the group.
//
// A request is retried only if no part of it ran, or if an order id makes the retry
// idempotent.
package gateway
