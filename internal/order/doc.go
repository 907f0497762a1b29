// Package order tracks the outcome of one order or transaction attempt and
// decides whether it may be sent again.
//
// An outcome is "not run" only with proof: nothing was sent, or the server
// rolled the work back. Once a byte may have left and no acknowledged answer
// came back the outcome is unknown. An order with an id may then be repeated,
// because the id is recorded in the same database transaction as the order;
// a request without an id is never sent twice.
package order
