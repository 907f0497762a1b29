package back

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
)

// Dialer opens connections to backend servers. It may be used concurrently.
type Dialer struct {
	cfg Config
}

var _ backend.Dialer = (*Dialer)(nil)

// New returns a Dialer.
func New(cfg Config) *Dialer { return &Dialer{cfg: cfg.withDefaults()} }

// Dial opens a data connection on behalf of claim. It ignores the organisation, because
// callers of this protocol have none. The error is an
// *errcode.Error: superseded if the server has accepted a higher claim,
// overloaded if it has reached its connection limit, connection lost
// otherwise. The caller owns the connection.
func (d *Dialer) Dial(ctx context.Context, s cluster.Server, group cluster.GroupName, _ string, claim backend.Claim) (backend.Conn, error) {
	params := map[string]string{}
	if claim.Epoch > 0 {
		params[ParamEpoch] = strconv.FormatUint(uint64(claim.Epoch), 10)
		params[ParamHome] = string(claim.Home)
	}
	p, err := d.open(ctx, s, group, params)
	if err != nil {
		return nil, err
	}
	return newConn(p, d.cfg.MaxPrepared), nil
}

// DialControl opens a control connection. The caller owns it.
func (d *Dialer) DialControl(ctx context.Context, s cluster.Server, group cluster.GroupName) (backend.Control, error) {
	p, err := d.open(ctx, s, group, map[string]string{ParamControl: "1"})
	if err != nil {
		return nil, err
	}
	return &Control{proto: p}, nil
}

// open connects, authenticates and waits until the server is ready for queries.
func (d *Dialer) open(ctx context.Context, s cluster.Server, group cluster.GroupName, params map[string]string) (*protocolConn, error) {
	opensTotal.Inc()
	ctx, cancel := context.WithTimeout(ctx, d.cfg.ConnectTimeout)
	defer cancel()
	p, err := d.connect(ctx, s, group, params)
	if err != nil {
		openErrors.Inc()
		if params[ParamControl] == "" {
			// A failed control connection is the result of a probe; the prober reports it.
			eventOpenFailed.Log(&d.cfg.Log).Str("server", string(s.ID)).Str("address", s.Address).Err(err).Send()
		}
		return nil, wrapError(err, unsentErrorCode(err), "dial", s)
	}
	return p, nil
}

func (d *Dialer) connect(ctx context.Context, s cluster.Server, group cluster.GroupName, params map[string]string) (*protocolConn, error) {
	conn, err := d.cfg.Dial(ctx, s.Address)
	if err != nil {
		return nil, eris.Wrap(err, "connect")
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	p, err := d.startup(conn, s, group, params)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	if !stop() {
		_ = conn.Close()
		return nil, ctx.Err()
	}
	return p, nil
}

func (d *Dialer) startup(raw net.Conn, s cluster.Server, group cluster.GroupName, params map[string]string) (*protocolConn, error) {
	conn, err := d.startTLS(raw, s)
	if err != nil {
		return nil, err
	}
	credentials := d.cfg.Credentials
	params["user"] = credentials.User
	params["database"] = credentials.Database
	if credentials.Database == "" {
		params["database"] = string(group)
	}
	params["application_name"] = "rattancove"
	f := pgproto3.NewFrontend(conn, conn)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: params})
	if err := f.Flush(); err != nil {
		return nil, eris.Wrap(err, "send startup")
	}
	p := newProtocolConn(d.cfg, conn, s)
	if err := p.awaitReady(f, credentials); err != nil {
		return nil, err
	}
	if f.ReadBufferLen() > 0 {
		return nil, eris.New("unexpected data after startup")
	}
	return p, nil
}

// startTLS negotiates TLS if the configuration requires it.
func (d *Dialer) startTLS(conn net.Conn, s cluster.Server) (net.Conn, error) {
	if d.cfg.TLS == nil {
		return conn, nil
	}
	sslRequest, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(sslRequest); err != nil {
		return nil, eris.Wrap(err, "request TLS")
	}
	response := make([]byte, 1)
	if _, err := io.ReadFull(conn, response); err != nil {
		return nil, eris.Wrap(err, "request TLS")
	}
	if response[0] != 'S' {
		return nil, eris.New("the server does not offer TLS")
	}
	host, _, err := net.SplitHostPort(s.Address)
	if err != nil {
		return nil, eris.Wrap(err, "server address")
	}
	return tls.Client(conn, d.cfg.TLS(host)), nil
}

// awaitReady handles the server's startup messages until it is ready for queries.
func (p *protocolConn) awaitReady(f *pgproto3.Frontend, credentials Credentials) error {
	for {
		m, err := f.Receive()
		if err != nil {
			return eris.Wrap(err, "startup")
		}
		switch m := m.(type) {
		case *pgproto3.AuthenticationOk, *pgproto3.NoticeResponse, *pgproto3.ParameterStatus:
		case *pgproto3.AuthenticationCleartextPassword:
			f.Send(&pgproto3.PasswordMessage{Password: credentials.Password})
			if err := f.Flush(); err != nil {
				return eris.Wrap(err, "send password")
			}
		case *pgproto3.AuthenticationSASL:
			if err := authenticateSCRAM(f, m.AuthMechanisms, credentials); err != nil {
				return err
			}
		case *pgproto3.BackendKeyData:
			p.pid = m.ProcessID
			p.secret = append([]byte{}, m.SecretKey...)
		case *pgproto3.ErrorResponse:
			return newServerError(m)
		case *pgproto3.ReadyForQuery:
			return nil
		default:
			return eris.Errorf("unexpected %T at startup", m)
		}
	}
}
