package dbserver

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

const (
	scramMechanism  = "SCRAM-SHA-256"
	scramIterations = 4096
)

var errPassword = newError("28P01", "password authentication failed")

// authenticate verifies the client with the configured method. Connections of
// replicas are not authenticated.
func (c *session) authenticate(user string) error {
	switch {
	case c.replication || c.server.cfg.Auth == AuthTrust:
		return nil
	case c.server.cfg.Auth == AuthCleartext:
		return c.checkCleartextPassword(user)
	default:
		return c.checkSCRAM()
	}
}

func (c *session) checkCleartextPassword(user string) error {
	response, err := c.requestPassword(&pgproto3.AuthenticationCleartextPassword{}, pgproto3.AuthTypeCleartextPassword)
	if err != nil {
		return err
	}
	m, ok := response.(*pgproto3.PasswordMessage)
	if !ok || user != c.server.cfg.User || m.Password != c.server.cfg.Password {
		return errPassword
	}
	return nil
}

func (c *session) requestPassword(m pgproto3.BackendMessage, authType uint32) (pgproto3.FrontendMessage, error) {
	c.backend.Send(m)
	if err := c.backend.Flush(); err != nil {
		return nil, err
	}
	if err := c.backend.SetAuthType(authType); err != nil {
		return nil, err
	}
	return c.backend.Receive()
}

func (c *session) checkSCRAM() error {
	cfg := c.server.cfg
	client, err := scram.SHA256.NewClient(cfg.User, cfg.Password, "")
	if err != nil {
		return err
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "rattan-standin-salt", Iters: scramIterations})
	if err != nil {
		return err
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	if err != nil {
		return err
	}
	conversation := server.NewConversation()
	m, err := c.requestPassword(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}}, pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	first, ok := m.(*pgproto3.SASLInitialResponse)
	if !ok {
		return errPassword
	}
	challenge, err := conversation.Step(string(first.Data))
	if err != nil {
		return errPassword
	}
	m, err = c.requestPassword(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}, pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	last, ok := m.(*pgproto3.SASLResponse)
	if !ok {
		return errPassword
	}
	final, err := conversation.Step(string(last.Data))
	if err != nil || !conversation.Valid() {
		return errPassword
	}
	c.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return nil
}
