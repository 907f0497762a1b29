package front

import (
	"encoding/binary"
)

// Transaction states in ReadyForQuery.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

// Types of backend messages that end the answer to one frontend message, or
// that change what the caller must send next.
const (
	msgReady           = 'Z'
	msgError           = 'E'
	msgCopyIn          = 'G'
	msgCopyBoth        = 'W'
	msgCommandComplete = 'C'
)

// responseAction tells how the answer to one frontend message is treated.
type responseAction uint8

const (
	// actionForward passes the server's answer to the caller.
	actionForward responseAction = iota
	// actionDrop drops the answer to a message that the caller did not send.
	actionDrop
	// actionInsert stands for a message that was not sent to the server.
	actionInsert
	// actionForwardRest passes everything to the end of the batch to the caller.
	actionForwardRest
)

// expectedResponse is one expected answer.
type expectedResponse struct {
	action responseAction
	// local is what a stepLocal gives to the caller.
	local []byte
}

// endsResponse reports whether a backend message of the type ends the answer to
// one message of the extended protocol.
func endsResponse(messageType byte) bool {
	switch messageType {
	case '1', '2', '3', 'T', 'n', 'C', 'I', 's':
		return true
	default:
		return false
	}
}

// isAsynchronous reports whether a backend message of the type may stand
// anywhere in an answer.
func isAsynchronous(messageType byte) bool {
	return messageType == 'S' || messageType == 'N' || messageType == 'A'
}

// responseRewriter follows the answers to one batch. It inserts the answers to
// messages that were not sent to the server and drops the answers to messages
// that the caller did not send.
type responseRewriter struct {
	// expected is nil when the server's answer is passed on as it is.
	expected []expectedResponse
	next     int
	// failed is set after an error: the server skips the rest of the batch.
	failed bool
	// preparing is set while an error may come from a definition that the batch
	// needs, which the server reads before the batch itself.
	preparing bool
}

// writeLocal appends the local answers that are due now.
func (s *responseRewriter) writeLocal(w *responseWriter) {
	for s.next < len(s.expected) && s.expected[s.next].action == actionInsert {
		w.write(s.expected[s.next].local)
		s.next++
	}
}

// simplify drops the steps when the server's answer is passed on as it is.
func (s *responseRewriter) simplify() {
	for _, e := range s.expected {
		if e.action != actionForward && e.action != actionForwardRest {
			return
		}
	}
	s.expected = nil
}

// finish appends the remaining local answers of a batch without an error.
func (s *responseRewriter) finish(w *responseWriter) {
	if !s.failed {
		s.writeLocal(w)
	}
}

// process takes up a backend message and reports whether the caller gets it.
func (s *responseRewriter) process(messageType byte, w *responseWriter) bool {
	if s.failed || isAsynchronous(messageType) {
		return true
	}
	if messageType == msgError {
		s.processError(w)
		return true
	}
	s.preparing = false
	if s.expected == nil {
		return true
	}
	s.writeLocal(w)
	if s.next >= len(s.expected) || s.expected[s.next].action == actionForwardRest {
		return true
	}
	forward := s.expected[s.next].action == actionForward
	if endsResponse(messageType) {
		s.next++
	}
	return forward
}

// processError notes an error. Local answers before the failed message are still due,
// unless the error may have come before all of them.
func (s *responseRewriter) processError(w *responseWriter) {
	if !s.preparing {
		s.writeLocal(w)
	}
	s.failed = true
}

// cutMessage cuts the first complete message from data.
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
