package back

import (
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"
)

const scramMechanism = "SCRAM-SHA-256"

// authenticateSCRAM runs the SCRAM exchange and verifies the server's signature.
func authenticateSCRAM(f *pgproto3.Frontend, mechanisms []string, credentials Credentials) error {
	if !slices.Contains(mechanisms, scramMechanism) {
		return eris.Errorf("no common authentication mechanism in %v", mechanisms)
	}
	client, err := scram.SHA256.NewClient(credentials.User, credentials.Password, "")
	if err != nil {
		return eris.Wrap(err, "scram")
	}
	conversation := client.NewConversation()
	first, err := conversation.Step("")
	if err != nil {
		return eris.Wrap(err, "scram")
	}
	f.Send(&pgproto3.SASLInitialResponse{AuthMechanism: scramMechanism, Data: []byte(first)})
	challenge, err := receiveSASL[*pgproto3.AuthenticationSASLContinue](f)
	if err != nil {
		return err
	}
	last, err := conversation.Step(string(challenge.Data))
	if err != nil {
		return eris.Wrap(err, "scram challenge")
	}
	f.Send(&pgproto3.SASLResponse{Data: []byte(last)})
	final, err := receiveSASL[*pgproto3.AuthenticationSASLFinal](f)
	if err != nil {
		return err
	}
	_, err = conversation.Step(string(final.Data))
	return eris.Wrap(err, "scram proof of the server")
}

// receiveSASL flushes pending messages and waits for one message of type M.
func receiveSASL[M pgproto3.BackendMessage](f *pgproto3.Frontend) (M, error) {
	var zero M
	if err := f.Flush(); err != nil {
		return zero, eris.Wrap(err, "send")
	}
	m, err := f.Receive()
	if err != nil {
		return zero, eris.Wrap(err, "receive")
	}
	if e, ok := m.(*pgproto3.ErrorResponse); ok {
		return zero, newServerError(e)
	}
	message, ok := m.(M)
	if !ok {
		return zero, eris.Errorf("unexpected %T during authentication", m)
	}
	return message, nil
}
