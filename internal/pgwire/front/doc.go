// Package front is the callers' side of the proxy: it speaks the PostgreSQL
// protocol with callers and turns what they send into requests for a
// statement.Runner.
//
// # Connections
//
// A Server owns its listeners and every accepted connection. Each connection
// has one goroutine, which reads a batch up to Query or Sync and gives it to
// the Runner. The Runner asks for further batches of an open transaction or
// COPY and passes answers through the conversation; both happen on the
// Runner's call, so no other goroutine touches the connection meanwhile.
//
// The final ReadyForQuery of a request is kept back until the Runner has
// returned. The parameter status "rattancove.token" precedes it after a write,
// so a caller that has its answer also has the token to carry elsewhere.
//
// # Lost transactions
//
// When a transaction block ends in the system, for example because its
// connection was lost, the caller gets an ERROR and stays in a failed
// transaction block (status E) until it sends ROLLBACK or COMMIT, as after any
// error in PostgreSQL. Nothing that it sends meanwhile runs outside the
// transaction that it was meant for. A loss while the caller is not waiting for
// an answer is reported with its next statement. A caller that leaves a
// transaction idle beyond the limit gets FATAL and its connection is closed.
//
// # Limits of shared connections
//
// Connections to backend servers are shared between transactions. LISTEN,
// UNLISTEN, PREPARE, LOAD, cursors WITH HOLD, session-level advisory locks and
// temporary objects that outlive their transaction are refused with SQLSTATE
// 0A000; inside a transaction block the refusal leaves the block as it was. A
// Flush after Execute outside a transaction block is refused in the same way,
// because the server would commit there.
package front
