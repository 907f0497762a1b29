package front

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/rattancove/rattancove/internal/errcode"
)

const (
	scramMechanism = "SCRAM-SHA-256"
	mockIterations = 4096
	mockSaltBytes  = 16
)

var errMalformedVerifier = errors.New("malformed SCRAM-SHA-256 verifier")

// authenticate verifies that the caller knows the account's password. For an
// unknown account, the same messages are exchanged, so that the caller cannot tell
// whether the account exists.
func (s *Server) authenticate(c *caller, account Account, known bool) error {
	if known && account.Verifier == "" {
		return nil
	}
	credentials := s.mockCredentials(c.user)
	if known {
		parsed, err := parseVerifier(account.Verifier)
		if err != nil {
			return errcode.Wrap(err, errcode.Unauthorized, "authenticate", c.user)
		}
		credentials = parsed
	}
	valid, err := c.runSASLExchange(credentials)
	if err != nil {
		return err
	}
	if !valid || !known {
		return &sqlError{
			sqlState: "28P01",
			message:  "password authentication failed for user \"" + c.user + "\"",
			hint:     errcode.Unauthorized.Hint,
		}
	}
	return nil
}

// runSASLExchange runs the SASL exchange and reports whether the client proof was
// valid.
func (c *caller) runSASLExchange(credentials scram.StoredCredentials) (bool, error) {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return credentials, nil
	})
	if err != nil {
		return false, errcode.Wrap(err, errcode.Internal, "authenticate", "")
	}
	saslConversation := server.NewConversation()
	c.sendMessage(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	body, err := c.readSASLMessage()
	if err != nil {
		return false, err
	}
	var first pgproto3.SASLInitialResponse
	if err := first.Decode(body); err != nil || first.AuthMechanism != scramMechanism {
		return false, protocolError("authenticate")
	}
	challenge, err := saslConversation.Step(string(first.Data))
	if err != nil {
		return false, protocolError("authenticate")
	}
	c.sendMessage(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	if body, err = c.readSASLMessage(); err != nil {
		return false, err
	}
	final, proofErr := saslConversation.Step(string(body))
	valid := proofErr == nil && saslConversation.Valid()
	if valid {
		c.writer.writeMessage(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	}
	return valid, nil
}

func (c *caller) sendMessage(m pgproto3.BackendMessage) {
	c.writer.writeMessage(m)
	c.writer.flush()
}

// readSASLMessage reads one message of the SASL exchange.
func (c *caller) readSASLMessage() ([]byte, error) {
	messageType, message, err := c.reader.readMessage(maxStartupBytes)
	switch {
	case errors.Is(err, errOversize), errors.Is(err, errMalformed):
		return nil, errcode.Wrap(err, errcode.Protocol, "authenticate", "")
	case err != nil:
		return nil, err
	case messageType != msgPassword:
		return nil, protocolError("authenticate")
	}
	return message[headerBytes:], nil
}

// mockCredentials returns credentials that match no password. The salt of a user
// stays the same as long as the process runs.
func (s *Server) mockCredentials(user string) scram.StoredCredentials {
	mac := hmac.New(sha256.New, s.mockSecret[:])
	mac.Write([]byte(user))
	sum := mac.Sum(nil)
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(sum[:mockSaltBytes]), Iters: mockIterations},
		StoredKey:  sum,
		ServerKey:  sum,
	}
}

// parseVerifier parses SCRAM-SHA-256$iterations:salt$stored:server.
func parseVerifier(text string) (scram.StoredCredentials, error) {
	var invalid scram.StoredCredentials
	parts := strings.Split(text, "$")
	if len(parts) != 3 || parts[0] != scramMechanism {
		return invalid, errMalformedVerifier
	}
	iterations, salt, ok1 := strings.Cut(parts[1], ":")
	stored, server, ok2 := strings.Cut(parts[2], ":")
	if !ok1 || !ok2 {
		return invalid, errMalformedVerifier
	}
	count, err := strconv.Atoi(iterations)
	if err != nil || count < 1 {
		return invalid, errMalformedVerifier
	}
	decoded := make([][]byte, 0, 3)
	for _, part := range []string{salt, stored, server} {
		raw, err := base64.StdEncoding.DecodeString(part)
		if err != nil || len(raw) == 0 {
			return invalid, errMalformedVerifier
		}
		decoded = append(decoded, raw)
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(decoded[0]), Iters: count},
		StoredKey:  decoded[1],
		ServerKey:  decoded[2],
	}, nil
}
