package front

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/sqlclass"
	"github.com/rattancove/rattancove/internal/statement"
)

// Codes in place of a protocol version in the first message.
const (
	codeCancel     = 80877102
	codeSSL        = 80877103
	codeGSS        = 80877104
	protocolMajor  = 3
	protocol30     = protocolMajor << 16
	maxNegotiation = 2
)

const (
	lengthBytes = 4
	codeBytes   = 4
	cancelBytes = codeBytes + 4 + secretBytes
)

// errServed marks a connection that ended well before any statement, such as
// a cancel request.
var errServed = errors.New("connection served")

// reported holds the settings that PostgreSQL reports to its callers, with
// the values that callers see unless their start-up message sets others.
var reported = []statement.Setting{
	{Name: "application_name"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "default_transaction_read_only", Value: "off"},
	{Name: "in_hot_standby", Value: "off"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "IntervalStyle", Value: "postgres"},
	{Name: "is_superuser", Value: "off"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "standard_conforming_strings", Value: "on"},
	{Name: "TimeZone", Value: "UTC"},
}

// start takes a connection from its first byte to the end of authentication.
// It closes the connection when it returns an error.
func (s *Server) start(conn net.Conn) (*caller, error) {
	if s.config.Admit != nil {
		if err := s.config.Admit(); err != nil {
			return nil, s.refuse(conn, err)
		}
	}
	if s.unverified.Add(1) > int64(s.config.MaxUnauthorized) {
		s.unverified.Add(-1)
		return nil, s.refuse(conn, errcode.New(errcode.TooManyCallers, "accept", "connections before authentication"))
	}
	defer s.unverified.Add(-1)
	deadline := time.Now().Add(s.config.StartupTime)
	if !s.beginStartup(conn, deadline) {
		return nil, s.refuse(conn, errcode.New(errcode.Draining, "startup", ""))
	}
	defer s.endStartup(conn)
	ctx, cancel := context.WithDeadline(s.base, deadline)
	defer cancel()
	raw := conn
	stop := context.AfterFunc(s.base, func() { _ = raw.Close() })
	defer stop()
	conn, message, err := s.negotiate(ctx, conn)
	if errors.Is(err, errServed) {
		return nil, err
	}
	if err != nil {
		return nil, s.refuse(conn, err)
	}
	c, err := s.welcome(conn, message)
	if err != nil {
		return nil, s.refuse(conn, err)
	}
	return c, nil
}

// beginStartup notes a connection, so that a drain can interrupt it. It
// reports false when the server drains.
func (s *Server) beginStartup(conn net.Conn, deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() {
		return false
	}
	s.starting[conn] = struct{}{}
	return conn.SetDeadline(deadline) == nil
}

func (s *Server) endStartup(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.starting, conn)
}

// refuse answers a FATAL error where the connection still allows it.
func (s *Server) refuse(conn net.Conn, err error) error {
	callersRefused.Inc()
	if errors.Is(err, os.ErrDeadlineExceeded) && s.draining.Load() {
		err = errcode.Wrap(err, errcode.Draining, "startup", "")
	}
	eventCallerRefused.Log(&s.logger).Stringer("caller", conn.RemoteAddr()).Err(err).Send()
	var own *sqlError
	var coded *errcode.Error
	if errors.As(err, &own) || errors.As(err, &coded) {
		_ = conn.SetWriteDeadline(time.Now().Add(farewellTime))
		_, _ = conn.Write(encode(errorResponse(err, severityFatal, "")))
	}
	_ = conn.Close()
	return err
}

// negotiate answers encryption requests and returns the start-up message.
func (s *Server) negotiate(ctx context.Context, conn net.Conn) (net.Conn, *pgproto3.StartupMessage, error) {
	for range maxNegotiation + 1 {
		body, err := s.readStartup(conn)
		if err != nil {
			return conn, nil, err
		}
		switch code := binary.BigEndian.Uint32(body); {
		case code == codeSSL:
			conn, err = s.answerTLS(ctx, conn)
		case code == codeGSS:
			_, err = conn.Write([]byte{'N'})
		case code == codeCancel:
			return conn, nil, s.takeCancel(ctx, body)
		case code>>16 == protocolMajor:
			m, err := s.decodeStartup(conn, body)
			return conn, m, err
		default:
			return conn, nil, protocolError("startup")
		}
		if err != nil {
			return conn, nil, err
		}
	}
	return conn, nil, protocolError("startup")
}

// readStartup reads one message without a type.
func (s *Server) readStartup(conn net.Conn) ([]byte, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(conn, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size < lengthBytes+codeBytes {
		return nil, protocolError("startup")
	}
	if size > DefaultStartupBytes {
		return nil, errcode.Wrap(errOversize, errcode.Protocol, "startup", "")
	}
	body := make([]byte, size-lengthBytes)
	_, err := io.ReadFull(conn, body)
	return body, err
}

func (s *Server) takeCancel(ctx context.Context, body []byte) error {
	if len(body) != cancelBytes {
		return errServed
	}
	key := CancelKey{Process: binary.BigEndian.Uint32(body[codeBytes:])}
	copy(key.Secret[:], body[codeBytes+4:])
	s.cancelOrForward(ctx, key)
	return errServed
}

func (s *Server) answerTLS(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if s.config.TLS == nil {
		_, err := conn.Write([]byte{'N'})
		return conn, err
	}
	if _, encrypted := conn.(*tls.Conn); encrypted {
		return conn, protocolError("startup")
	}
	if _, err := conn.Write([]byte{'S'}); err != nil {
		return conn, err
	}
	secure := tls.Server(conn, s.config.TLS())
	return secure, secure.HandshakeContext(ctx)
}

func (s *Server) decodeStartup(conn net.Conn, body []byte) (*pgproto3.StartupMessage, error) {
	if _, encrypted := conn.(*tls.Conn); s.config.RequireTLS && !encrypted {
		return nil, errcode.New(errcode.Unauthorized, "startup", "connections without TLS")
	}
	version := binary.BigEndian.Uint32(body)
	// Decode knows protocol 3.0 and 3.2 only; the parameters are the same.
	binary.BigEndian.PutUint32(body, protocol30)
	var m pgproto3.StartupMessage
	if err := m.Decode(body); err != nil {
		return nil, errcode.Wrap(err, errcode.Protocol, "startup", "")
	}
	return &m, negotiateVersion(conn, version, m.Parameters)
}

// negotiateVersion tells a caller that asked for more that it gets protocol 3.0.
func negotiateVersion(conn net.Conn, version uint32, parameters map[string]string) error {
	var unknown []string
	for name := range parameters {
		if strings.HasPrefix(name, "_pq_.") {
			unknown = append(unknown, name)
			delete(parameters, name)
		}
	}
	if version == protocol30 && len(unknown) == 0 {
		return nil
	}
	_, err := conn.Write(encode(&pgproto3.NegotiateProtocolVersion{
		NewestMinorProtocol: 0,
		UnrecognizedOptions: unknown,
	}))
	return err
}

// welcome authenticates the caller and tells it the session's parameters.
func (s *Server) welcome(conn net.Conn, m *pgproto3.StartupMessage) (*caller, error) {
	c := s.newCaller(conn, m.Parameters)
	account, ok := s.directory.Account(c.user, c.group)
	if err := s.authenticate(c, account, ok); err != nil {
		return nil, err
	}
	c.account = account
	initial, err := c.takeParameters(m.Parameters)
	if err != nil {
		return nil, err
	}
	c.settings = newSettings(initial)
	if err := s.add(c); err != nil {
		return nil, err
	}
	c.greet()
	if c.writer.err != nil {
		s.remove(c)
		return nil, c.writer.err
	}
	return c, nil
}

func (s *Server) newCaller(conn net.Conn, parameters map[string]string) *caller {
	c := &caller{server: s, conn: conn, tx: txIdle, options: defaultOptions()}
	c.state.Init(sessionChart)
	c.reader.source = conn
	c.reader.reserve = c.reserve
	c.writer = answerWriter{conn: conn, timeout: s.config.WriteTime}
	c.user = parameters["user"]
	c.group = cluster.GroupName(parameters["database"])
	if c.group == "" {
		c.group = cluster.GroupName(c.user)
	}
	return c
}

// takeParameters reads the start-up parameters: options of the proxy are set,
// and the others are returned as session settings.
func (c *caller) takeParameters(parameters map[string]string) ([]statement.Setting, error) {
	delete(parameters, "user")
	delete(parameters, "database")
	if _, ok := parameters["replication"]; ok {
		return nil, unsupported("replication")
	}
	fromOptions, err := parseOptions(parameters["options"])
	if err != nil {
		return nil, err
	}
	delete(parameters, "options")
	var all []statement.Setting
	for _, name := range slices.Sorted(maps.Keys(parameters)) {
		all = append(all, statement.Setting{Name: name, Value: parameters[name]})
	}
	var initial []statement.Setting
	for _, v := range append(fromOptions, all...) {
		name := strings.ToLower(v.Name)
		if option, ok := strings.CutPrefix(name, sqlclass.HintPrefix); ok {
			if err := c.setOption(option, v.Value); err != nil {
				return nil, err
			}
			continue
		}
		initial = with(initial, statement.Setting{Name: name, Value: v.Value})
	}
	c.startup = c.options
	return slices.DeleteFunc(initial, isDefault), nil
}

// isDefault reports whether a setting only repeats what every server does.
func isDefault(v statement.Setting) bool {
	return v.Name == "client_encoding" && strings.EqualFold(v.Value, "UTF8")
}

// parseOptions reads the "-c name=value" and "--name=value" forms of the
// options parameter. A backslash keeps the character after it.
func parseOptions(text string) ([]statement.Setting, error) {
	var settings []statement.Setting
	words := splitOptions(text)
	for i := 0; i < len(words); i++ {
		word := words[i]
		switch {
		case word == "-c" && i+1 < len(words):
			i++
			word = words[i]
		case strings.HasPrefix(word, "--"):
			word = word[2:]
		case strings.HasPrefix(word, "-c"):
			word = word[2:]
		default:
			return nil, &sqlError{state: "42601", message: "invalid command-line argument: " + word}
		}
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			return nil, &sqlError{state: "42601", message: "option without a value: " + word}
		}
		name = strings.ReplaceAll(name, "-", "_")
		settings = append(settings, statement.Setting{Name: name, Value: value})
	}
	return settings, nil
}

func splitOptions(text string) []string {
	var words []string
	var word strings.Builder
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case c == '\\' && i+1 < len(text):
			i++
			word.WriteByte(text[i])
		case c == ' ' || c == '\t' || c == '\n':
			if word.Len() > 0 {
				words = append(words, word.String())
				word.Reset()
			}
		default:
			word.WriteByte(c)
		}
	}
	if word.Len() > 0 {
		words = append(words, word.String())
	}
	return words
}

// greet sends what a caller expects between authentication and its first statement.
func (c *caller) greet() {
	c.writer.message(&pgproto3.AuthenticationOk{})
	c.writer.message(&pgproto3.ParameterStatus{Name: "server_version", Value: c.server.config.ServerVersion})
	c.writer.message(&pgproto3.ParameterStatus{Name: "session_authorization", Value: c.user})
	for _, v := range reported {
		if i := indexOf(c.settings.initial, strings.ToLower(v.Name)); i >= 0 {
			v.Value = c.settings.initial[i].Value
		}
		c.writer.message(&pgproto3.ParameterStatus{Name: v.Name, Value: v.Value})
	}
	c.writer.message(&pgproto3.BackendKeyData{ProcessID: c.key.Process, SecretKey: c.key.Secret[:]})
	c.ready(txIdle)
}
