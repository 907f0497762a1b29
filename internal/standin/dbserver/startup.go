package dbserver

import (
	"crypto/tls"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/pgwire/back"
)

// reportedParameters are the parameters that the server reports to every new
// connection.
var reportedParameters = []struct{ name, value string }{
	{"server_version", "16.0 (rattan-standin)"},
	{"client_encoding", "UTF8"},
	{"server_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
	{"TimeZone", "UTC"},
}

// negotiateStartup handles the messages up to the end of the start-up. It reports
// whether the session was established.
func (c *session) negotiateStartup() bool {
	for {
		m, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest:
			if !c.negotiateTLS() {
				return false
			}
		case *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write([]byte("N")); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			c.server.cancelRequest(m)
			return false
		case *pgproto3.StartupMessage:
			return c.acceptClient(m.Parameters)
		}
	}
}

// negotiateTLS handles a request for TLS. It reports whether to continue.
func (c *session) negotiateTLS() bool {
	if c.server.cfg.TLS == nil {
		_, err := c.conn.Write([]byte("N"))
		return err == nil
	}
	if _, err := c.conn.Write([]byte("S")); err != nil {
		return false
	}
	c.conn = tls.Server(c.conn, c.server.cfg.TLS)
	c.backend = pgproto3.NewBackend(c.conn, c.conn)
	return true
}

func (c *session) acceptClient(params map[string]string) bool {
	s := c.server
	if c.waitWhileHung() {
		return false
	}
	if !delay.Sleep(c.ctx, s.cfg.ConnectDelay) {
		return false
	}
	mergeOptions(params)
	c.control = params[back.ParamControl] == "1"
	if s.currentFaults().down && !c.control {
		return false
	}
	c.replication = params[paramReplication] == "1"
	epoch, _ := strconv.ParseUint(params[back.ParamEpoch], 10, 64)
	c.epoch = cluster.Epoch(epoch)
	err := c.authenticate(params["user"])
	if err == nil {
		err = s.register(c, cluster.ProxyID(params[back.ParamHome]))
	}
	if err != nil {
		e := *asServerError(err)
		e.fatal = true
		c.backend.Send(e.response())
		_ = c.backend.Flush()
		return false
	}
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range reportedParameters {
		c.backend.Send(&pgproto3.ParameterStatus{Name: p.name, Value: p.value})
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.processID, SecretKey: secretKeyBytes(c.secretKey)})
	c.sendReadyForQuery()
	if c.backend.Flush() != nil {
		s.unregister(c)
		return false
	}
	return true
}

// mergeOptions adds the settings that the options parameter has in the form
// "-c name=value", as psql passes them, to params.
func mergeOptions(params map[string]string) {
	for _, option := range strings.Split(params["options"], "-c") {
		if name, v, ok := strings.Cut(strings.TrimSpace(option), "="); ok {
			params[name] = v
		}
	}
}

func secretKeyBytes(secret uint32) []byte {
	return []byte{byte(secret >> 24), byte(secret >> 16), byte(secret >> 8), byte(secret)}
}
