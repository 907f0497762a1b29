// Package gateway finds the home of a request's database group and runs the
// request there: in this process, at a peer, or through another peer when the
// direct way is cut. It repeats a request only when nothing of it ran, or when
// an order id makes the repeat idempotent.
package gateway
