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

// stepKind tells how the answer to one frontend message is treated.
type stepKind uint8

const (
	// stepForward passes the server's answer to the caller.
	stepForward stepKind = iota
	// stepSwallow drops the answer to a message that the caller did not send.
	stepSwallow
	// stepLocal stands for a message that was not sent to the server.
	stepLocal
	// stepRest passes everything to the end of the batch to the caller.
	stepRest
)

// step is one expected answer.
type step struct {
	kind stepKind
	// answer is what a stepLocal gives to the caller.
	answer []byte
}

// endsStep reports whether a backend message of the type ends the answer to
// one message of the extended protocol.
func endsStep(kind byte) bool {
	switch kind {
	case '1', '2', '3', 'T', 'n', 'C', 'I', 's':
		return true
	default:
		return false
	}
}

// asynchronous reports whether a backend message of the type may stand
// anywhere in an answer.
func asynchronous(kind byte) bool { return kind == 'S' || kind == 'N' || kind == 'A' }

// answerScript follows the answers to one batch. It inserts the answers to
// messages that were not sent to the server and drops the answers to messages
// that the caller did not send.
type answerScript struct {
	// steps is nil when the server's answer is passed on as it is.
	steps []step
	next  int
	// failed is set after an error: the server skips the rest of the batch.
	failed bool
	// defines is set while an error may come from a definition that the batch
	// needs, which the server reads before the batch itself.
	defines bool
}

// local appends the local answers that are due now.
func (s *answerScript) local(w *answerWriter) {
	for s.next < len(s.steps) && s.steps[s.next].kind == stepLocal {
		w.write(s.steps[s.next].answer)
		s.next++
	}
}

// simplify drops the steps when the server's answer is passed on as it is.
func (s *answerScript) simplify() {
	for _, st := range s.steps {
		if st.kind != stepForward && st.kind != stepRest {
			return
		}
	}
	s.steps = nil
}

// finish appends the remaining local answers of a batch without an error.
func (s *answerScript) finish(w *answerWriter) {
	if !s.failed {
		s.local(w)
	}
}

// admit takes up a backend message and reports whether the caller gets it.
func (s *answerScript) admit(kind byte, w *answerWriter) bool {
	if s.failed || asynchronous(kind) {
		return true
	}
	if kind == msgError {
		s.fail(w)
		return true
	}
	s.defines = false
	if s.steps == nil {
		return true
	}
	s.local(w)
	if s.next >= len(s.steps) || s.steps[s.next].kind == stepRest {
		return true
	}
	forward := s.steps[s.next].kind == stepForward
	if endsStep(kind) {
		s.next++
	}
	return forward
}

// fail notes an error. Local answers before the failed message are still due,
// unless the error may have come before all of them.
func (s *answerScript) fail(w *answerWriter) {
	if !s.defines {
		s.local(w)
	}
	s.failed = true
}

// nextMessage cuts the first complete message from data.
func nextMessage(data []byte) (message, rest []byte, ok bool) {
	if len(data) < headerBytes {
		return nil, nil, false
	}
	size := uint64(binary.BigEndian.Uint32(data[1:])) + 1
	if size < headerBytes || size > uint64(len(data)) {
		return nil, nil, false
	}
	return data[:size], data[size:], true
}
