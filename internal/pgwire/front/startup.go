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

// Request codes and protocol versions in the first message of a connection.
const (
	cancelRequestCode     = 80877102
	sslRequestCode        = 80877103
	gssEncRequestCode     = 80877104
	protocolMajor         = 3
	protocolVersion30     = protocolMajor << 16
	maxEncryptionRequests = 2
)

const (
	lengthBytes        = 4
	codeBytes          = 4
	cancelRequestBytes = codeBytes + 4 + cancelSecretBytes
)

// errNoSession is returned for a connection that ends normally without a session,
// such as one that carries a cancel request.
var errNoSession = errors.New("connection ended without a session")

// reportedSettings holds the settings that PostgreSQL reports to clients, with the
// values that are reported unless the startup message sets others.
var reportedSettings = []statement.Setting{
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

// handshake handles a connection up to the end of authentication. It closes the
// connection if it returns an error.
func (s *Server) handshake(conn net.Conn) (*caller, error) {
	if s.config.Admit != nil {
		if err := s.config.Admit(); err != nil {
			return nil, s.refuseConnection(conn, err)
		}
	}
	if s.unauthenticatedCount.Add(1) > int64(s.config.MaxUnauthenticated) {
		s.unauthenticatedCount.Add(-1)
		return nil, s.refuseConnection(conn, errcode.New(errcode.TooManyCallers, "accept", "connections before authentication"))
	}
	defer s.unauthenticatedCount.Add(-1)
	deadline := time.Now().Add(s.config.StartupTimeout)
	if !s.registerStarting(conn, deadline) {
		return nil, s.refuseConnection(conn, errcode.New(errcode.Draining, "startup", ""))
	}
	defer s.unregisterStarting(conn)
	ctx, cancel := context.WithDeadline(s.baseCtx, deadline)
	defer cancel()
	rawConn := conn
	stop := context.AfterFunc(s.baseCtx, func() { _ = rawConn.Close() })
	defer stop()
	conn, message, err := s.negotiateEncryption(ctx, conn)
	if errors.Is(err, errNoSession) {
		return nil, err
	}
	if err != nil {
		return nil, s.refuseConnection(conn, err)
	}
	c, err := s.openSession(conn, message)
	if err != nil {
		return nil, s.refuseConnection(conn, err)
	}
	return c, nil
}

// registerStarting registers a connection so that a drain can interrupt it. It
// returns false if the server is draining.
func (s *Server) registerStarting(conn net.Conn, deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() {
		return false
	}
	s.startingConns[conn] = struct{}{}
	return conn.SetDeadline(deadline) == nil
}

func (s *Server) unregisterStarting(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.startingConns, conn)
}

// refuseConnection sends a FATAL error if the protocol still allows it, and closes
// the connection.
func (s *Server) refuseConnection(conn net.Conn, err error) error {
	callersRefused.Inc()
	if errors.Is(err, os.ErrDeadlineExceeded) && s.draining.Load() {
		err = errcode.Wrap(err, errcode.Draining, "startup", "")
	}
	eventCallerRefused.Log(&s.logger).Stringer("caller", conn.RemoteAddr()).Err(err).Send()
	var sqlErr *sqlError
	var coded *errcode.Error
	if errors.As(err, &sqlErr) || errors.As(err, &coded) {
		_ = conn.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
		_, _ = conn.Write(encode(errorResponse(err, severityFatal, "")))
	}
	_ = conn.Close()
	return err
}

// negotiateEncryption handles encryption requests and returns the startup message.
func (s *Server) negotiateEncryption(ctx context.Context, conn net.Conn) (net.Conn, *pgproto3.StartupMessage, error) {
	for range maxEncryptionRequests + 1 {
		body, err := s.readStartupPacket(conn)
		if err != nil {
			return conn, nil, err
		}
		switch code := binary.BigEndian.Uint32(body); {
		case code == sslRequestCode:
			conn, err = s.upgradeToTLS(ctx, conn)
		case code == gssEncRequestCode:
			_, err = conn.Write([]byte{'N'})
		case code == cancelRequestCode:
			return conn, nil, s.handleCancelRequest(ctx, body)
		case code>>16 == protocolMajor:
			message, err := s.decodeStartup(conn, body)
			return conn, message, err
		default:
			return conn, nil, protocolError("startup")
		}
		if err != nil {
			return conn, nil, err
		}
	}
	return conn, nil, protocolError("startup")
}

// readStartupPacket reads a message that has no type byte.
func (s *Server) readStartupPacket(conn net.Conn) ([]byte, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(conn, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size < lengthBytes+codeBytes {
		return nil, protocolError("startup")
	}
	if size > maxStartupBytes {
		return nil, errcode.Wrap(errOversize, errcode.Protocol, "startup", "")
	}
	body := make([]byte, size-lengthBytes)
	_, err := io.ReadFull(conn, body)
	return body, err
}

func (s *Server) handleCancelRequest(ctx context.Context, body []byte) error {
	if len(body) != cancelRequestBytes {
		return errNoSession
	}
	key := CancelKey{ProcessID: binary.BigEndian.Uint32(body[codeBytes:])}
	copy(key.Secret[:], body[codeBytes+4:])
	s.cancelOrForward(ctx, key)
	return errNoSession
}

func (s *Server) upgradeToTLS(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if s.config.TLSConfig == nil {
		_, err := conn.Write([]byte{'N'})
		return conn, err
	}
	if _, encrypted := conn.(*tls.Conn); encrypted {
		return conn, protocolError("startup")
	}
	if _, err := conn.Write([]byte{'S'}); err != nil {
		return conn, err
	}
	tlsConn := tls.Server(conn, s.config.TLSConfig())
	return tlsConn, tlsConn.HandshakeContext(ctx)
}

func (s *Server) decodeStartup(conn net.Conn, body []byte) (*pgproto3.StartupMessage, error) {
	if _, encrypted := conn.(*tls.Conn); s.config.RequireTLS && !encrypted {
		return nil, errcode.New(errcode.Unauthorized, "startup", "connections without TLS")
	}
	version := binary.BigEndian.Uint32(body)
	// Decode supports protocol 3.0 and 3.2 only; the parameters have the same
	// format in every minor version.
	binary.BigEndian.PutUint32(body, protocolVersion30)
	var message pgproto3.StartupMessage
	if err := message.Decode(body); err != nil {
		return nil, errcode.Wrap(err, errcode.Protocol, "startup", "")
	}
	return &message, negotiateProtocolVersion(conn, version, message.Parameters)
}

// negotiateProtocolVersion tells a caller that requested a later version or
// protocol options that it gets protocol 3.0 without options.
func negotiateProtocolVersion(conn net.Conn, version uint32, parameters map[string]string) error {
	var unknown []string
	for name := range parameters {
		if strings.HasPrefix(name, "_pq_.") {
			unknown = append(unknown, name)
			delete(parameters, name)
		}
	}
	if version == protocolVersion30 && len(unknown) == 0 {
		return nil
	}
	_, err := conn.Write(encode(&pgproto3.NegotiateProtocolVersion{
		NewestMinorProtocol: 0,
		UnrecognizedOptions: unknown,
	}))
	return err
}

// openSession authenticates and registers the caller and sends it the session's
// parameters.
func (s *Server) openSession(conn net.Conn, message *pgproto3.StartupMessage) (*caller, error) {
	c := s.newCaller(conn, message.Parameters)
	account, ok := s.directory.Account(c.user, c.group)
	if err := s.authenticate(c, account, ok); err != nil {
		return nil, err
	}
	c.account = account
	initial, err := c.applyStartupParameters(message.Parameters)
	if err != nil {
		return nil, err
	}
	c.settings = newSessionSettings(initial)
	if err := s.register(c); err != nil {
		return nil, err
	}
	c.sendSessionParameters()
	if c.writer.err != nil {
		s.unregister(c)
		return nil, c.writer.err
	}
	return c, nil
}

func (s *Server) newCaller(conn net.Conn, parameters map[string]string) *caller {
	c := &caller{server: s, conn: conn, txStatus: txIdle, options: defaultOptions()}
	c.state.Init(sessionChart)
	c.reader.source = conn
	c.reader.reserveMemory = c.reserveMemory
	c.writer = responseWriter{conn: conn, timeout: s.config.WriteTimeout}
	c.user = parameters["user"]
	c.group = cluster.GroupName(parameters["database"])
	if c.group == "" {
		c.group = cluster.GroupName(c.user)
	}
	return c
}

// applyStartupParameters sets the proxy's own options from the startup parameters
// and returns the others as session settings.
func (c *caller) applyStartupParameters(parameters map[string]string) ([]statement.Setting, error) {
	delete(parameters, "user")
	delete(parameters, "database")
	if _, ok := parameters["replication"]; ok {
		return nil, unsupported("replication")
	}
	fromOptions, err := parseOptionsParameter(parameters["options"])
	if err != nil {
		return nil, err
	}
	delete(parameters, "options")
	var rest []statement.Setting
	for _, name := range slices.Sorted(maps.Keys(parameters)) {
		rest = append(rest, statement.Setting{Name: name, Value: parameters[name]})
	}
	var initial []statement.Setting
	for _, setting := range append(fromOptions, rest...) {
		name := strings.ToLower(setting.Name)
		if option, ok := strings.CutPrefix(name, sqlclass.HintPrefix); ok {
			if err := c.setOption(option, setting.Value); err != nil {
				return nil, err
			}
			continue
		}
		initial = withSetting(initial, statement.Setting{Name: name, Value: setting.Value})
	}
	c.startupOptions = c.options
	return slices.DeleteFunc(initial, isRedundant), nil
}

// isRedundant reports whether a setting has the value that every server uses by
// default.
func isRedundant(setting statement.Setting) bool {
	return setting.Name == "client_encoding" && strings.EqualFold(setting.Value, "UTF8")
}

// parseOptionsParameter parses the "-c name=value" and "--name=value" forms of the
// options parameter. A backslash escapes the character after it.
func parseOptionsParameter(text string) ([]statement.Setting, error) {
	var settings []statement.Setting
	words := splitOptionsParameter(text)
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
			return nil, &sqlError{sqlState: "42601", message: "invalid command-line argument: " + word}
		}
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			return nil, &sqlError{sqlState: "42601", message: "option without a value: " + word}
		}
		name = strings.ReplaceAll(name, "-", "_")
		settings = append(settings, statement.Setting{Name: name, Value: value})
	}
	return settings, nil
}

func splitOptionsParameter(text string) []string {
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

// sendSessionParameters sends the messages that a caller expects between
// authentication and its first statement.
func (c *caller) sendSessionParameters() {
	c.writer.writeMessage(&pgproto3.AuthenticationOk{})
	c.writer.writeMessage(&pgproto3.ParameterStatus{Name: "server_version", Value: c.server.config.ServerVersion})
	c.writer.writeMessage(&pgproto3.ParameterStatus{Name: "session_authorization", Value: c.user})
	for _, setting := range reportedSettings {
		if i := settingIndex(c.settings.initial, strings.ToLower(setting.Name)); i >= 0 {
			setting.Value = c.settings.initial[i].Value
		}
		c.writer.writeMessage(&pgproto3.ParameterStatus{Name: setting.Name, Value: setting.Value})
	}
	c.writer.writeMessage(&pgproto3.BackendKeyData{ProcessID: c.key.ProcessID, SecretKey: c.key.Secret[:]})
	c.sendReady(txIdle)
}
