package front

import (
	"encoding/binary"
)

// Transaction status values in ReadyForQuery.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

// Types of backend messages that end the response to one frontend message, or that
// change what the caller may send next.
const (
	msgReady           = 'Z'
	msgError           = 'E'
	msgCopyIn          = 'G'
	msgCopyBoth        = 'W'
	msgCommandComplete = 'C'
)

// responseAction states what happens to the response to one frontend message.
type responseAction uint8

const (
	// actionForward forwards the server's response to the caller.
	actionForward responseAction = iota
	// actionDrop drops the response to a message that the caller did not send.
	actionDrop
	// actionInsert inserts a local response to a message that was not sent to the
	// server.
	actionInsert
	// actionForwardRest forwards everything up to the end of the batch to the
	// caller.
	actionForwardRest
)

// expectedResponse is the expected response to one message of a batch.
type expectedResponse struct {
	action responseAction
	// local holds the messages that actionInsert inserts.
	local []byte
}

// endsResponse reports whether a backend message of the type ends the response to
// one message of the extended protocol.
func endsResponse(messageType byte) bool {
	switch messageType {
	case '1', '2', '3', 'T', 'n', 'C', 'I', 's':
		return true
	default:
		return false
	}
}

// isAsynchronous reports whether a backend message of the type may occur anywhere
// in a response.
func isAsynchronous(messageType byte) bool {
	return messageType == 'S' || messageType == 'N' || messageType == 'A'
}

// responseRewriter processes the responses to one batch. It inserts the responses
// to messages that were not sent to the server and drops the responses to messages
// that the caller did not send.
type responseRewriter struct {
	// expected holds the responses in order; nil if the server's responses are
	// forwarded unchanged.
	expected []expectedResponse
	next     int
	// failed is set after an error, upon which the server skips the rest of the
	// batch.
	failed bool
	// preparing is set while an error may come from preparing a statement that the
	// batch needs, which the server does before it runs the batch itself.
	preparing bool
}

// writeLocal writes the local responses that come next.
func (r *responseRewriter) writeLocal(w *responseWriter) {
	for r.next < len(r.expected) && r.expected[r.next].action == actionInsert {
		w.write(r.expected[r.next].local)
		r.next++
	}
}

// simplify sets expected to nil if the server's responses are forwarded unchanged.
func (r *responseRewriter) simplify() {
	for _, e := range r.expected {
		if e.action != actionForward && e.action != actionForwardRest {
			return
		}
	}
	r.expected = nil
}

// finish writes the remaining local responses of a batch without an error.
func (r *responseRewriter) finish(w *responseWriter) {
	if !r.failed {
		r.writeLocal(w)
	}
}

// process processes a backend message and reports whether it is forwarded to the
// caller.
func (r *responseRewriter) process(messageType byte, w *responseWriter) bool {
	if r.failed || isAsynchronous(messageType) {
		return true
	}
	if messageType == msgError {
		r.processError(w)
		return true
	}
	r.preparing = false
	if r.expected == nil {
		return true
	}
	r.writeLocal(w)
	if r.next >= len(r.expected) || r.expected[r.next].action == actionForwardRest {
		return true
	}
	forward := r.expected[r.next].action == actionForward
	if endsResponse(messageType) {
		r.next++
	}
	return forward
}

// processError records an error. Local responses that precede the failed message
// are written first, unless the error may have occurred before all of them.
func (r *responseRewriter) processError(w *responseWriter) {
	if !r.preparing {
		r.writeLocal(w)
	}
	r.failed = true
}

// cutMessage splits data after its first message. It returns false if the message
// is incomplete.
func cutMessage(data []byte) (message, rest []byte, ok bool) {
	if len(data) < headerBytes {
		return nil, nil, false
	}
	size := uint64(binary.BigEndian.Uint32(data[1:])) + 1
	if size < headerBytes || size > uint64(len(data)) {
		return nil, nil, false
	}
	return data[:size], data[size:], true
}
