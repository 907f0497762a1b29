package userplatform

import (
	"bufio"
	"bytes"
	"errors"
)

// maxMessageBytes is the longest message, without its line ending.
const maxMessageBytes = 1 << 20

var errMessageTooLong = errors.New("message exceeds 1 MiB")

// ReadMessage reads one message byte by byte. Only CR LF ends it.
func ReadMessage(r *bufio.Reader) (string, error) {
	var message []byte
	for {
		b, err := r.ReadByte()
		if err != nil {
			return "", err
		}
		message = append(message, b)
		if text, ended := bytes.CutSuffix(message, []byte("\r\n")); ended {
			return string(text), nil
		}
		if len(message) > maxMessageBytes+1 {
			return "", errMessageTooLong
		}
	}
}
