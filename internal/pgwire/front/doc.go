// Package front is the server side of the PostgreSQL protocol: it accepts callers,
// authenticates them and turns their messages into requests to a statement.Runner.
//
// # Connections
//
// A Server owns its listeners and all accepted connections. Each connection has one
// goroutine, which reads a batch of messages up to Query or Sync and passes it to
// the Runner. The Runner fetches further batches of an open transaction or COPY and
// returns responses through the statement.Conversation. Both happen during the call
// of Runner.Run, so no other goroutine uses the connection at the same time.
//
// The final ReadyForQuery of a request is withheld until the Runner has returned.
// After a write, the parameter status "rattancove.token" precedes it, so a caller
// that has received the response also has the token, which it may present elsewhere.
//
// # Lost transactions
//
// If a transaction block ends without the caller, for example because the connection
// to the server was lost, the caller gets an ERROR and stays in a failed transaction
// block (status E) until it sends ROLLBACK or COMMIT, as after any error in
// PostgreSQL. No statement that it sends in between runs outside the transaction
// that it was meant for. If the caller is not waiting for a response when the
// transaction is lost, its next statement returns the error. A caller that leaves a
// transaction idle for too long gets a FATAL error and its connection is closed.
//
// # Limits of shared connections
//
// Connections to backend servers are shared between transactions. LISTEN, UNLISTEN,
// PREPARE, LOAD, cursors WITH HOLD, session-level advisory locks and temporary
// objects that outlive their transaction are therefore refused with SQLSTATE 0A000.
// Inside a transaction block, the refusal does not change the state of the block. A
// Flush after Execute outside a transaction block is also refused, because the
// server would commit at that point.
package front
