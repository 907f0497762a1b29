package front_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/pgwire/front"
)

// waitTimeout bounds each wait for the server.
const waitTimeout = time.Minute

// sslRequest is an SSLRequest message.
var sslRequest = []byte{0, 0, 0, 8, 0x04, 0xd2, 0x16, 0x2f}

func verifier(t *testing.T, password string) string {
	t.Helper()
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		t.Fatal(err)
	}
	c, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "sixteen bytes!!!", Iters: 4096})
	if err != nil {
		t.Fatal(err)
	}
	b64 := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s", c.Iters, b64([]byte(c.Salt)), b64(c.StoredKey), b64(c.ServerKey))
}

func TestAuthentication(t *testing.T) {
	d := fakeDirectory{verifiers: map[string]string{"clerk": verifier(t, "pw"), "broken": "SCRAM-SHA-256$x"}}
	ts := startTestServer(t, d, front.Config{})
	cases := map[string]struct{ user, password, group, want string }{
		"right password":                {"clerk", "pw", "orders", ""},
		"wrong password":                {"clerk", "guess", "orders", "28P01"},
		"account without a verifier":    {"cook", "", "orders", ""},
		"unknown group":                 {"clerk", "pw", "closed", "28P01"},
		"unknown group with a password": {"cook", "pw", "closed", "28P01"},
		"malformed verifier":            {"broken", "pw", "orders", "28000"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			url := fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", c.user, c.password, ts.address, c.group)
			conn, err := pgx.Connect(t.Context(), url)
			if sqlState(err) != c.want || (c.want == "") != (err == nil) {
				t.Fatalf("error %v, want %q", err, c.want)
			}
			if err == nil {
				_ = conn.Close(t.Context())
			}
		})
	}
}

func TestCallerLimits(t *testing.T) {
	for name, d := range map[string]fakeDirectory{
		"proxy":    {limits: environment.Limits{CallersPerProxy: 1}},
		"customer": {maxCallers: 1},
	} {
		t.Run(name, func(t *testing.T) {
			ts := startTestServer(t, d, front.Config{})
			first := ts.connect(t, "")
			_, err := pgx.Connect(t.Context(), ts.url(""))
			if sqlState(err) != "53300" {
				t.Fatalf("second caller: %v", err)
			}
			_ = first.Close(t.Context())
			waitFor(t, func() bool { return ts.Callers() == 0 })
			ts.connect(t, "")
		})
	}
}

func TestRevokeRemovedAccounts(t *testing.T) {
	d := &revocableDirectory{}
	ts := startTestServer(t, d, front.Config{})
	idle, open := ts.connect(t, ""), ts.connect(t, "")
	if _, err := open.Exec(t.Context(), "begin"); err != nil {
		t.Fatal(err)
	}
	if n := ts.RevokeRemovedAccounts(); n != 0 {
		t.Errorf("%d callers revoked without a change", n)
	}
	d.revoked.Store(true)
	if n := ts.RevokeRemovedAccounts(); n != 2 {
		t.Errorf("%d callers revoked, want 2", n)
	}
	if _, err := idle.Exec(t.Context(), "select 1"); sqlState(err) != "28000" {
		t.Errorf("idle caller: %v", err)
	}
	if _, err := open.Exec(t.Context(), "commit"); err != nil {
		t.Errorf("open transaction: %v", err)
	}
	if _, err := open.Exec(t.Context(), "select 1"); sqlState(err) != "28000" {
		t.Errorf("statement after the transaction: %v", err)
	}
}

// revocableDirectory has no accounts once revoked is set.
type revocableDirectory struct {
	fakeDirectory
	revoked atomic.Bool
}

func (d *revocableDirectory) Account(user string, group cluster.GroupName) (front.Account, bool) {
	a, ok := d.fakeDirectory.Account(user, group)
	return a, ok && !d.revoked.Load()
}

func TestUnauthenticatedLimit(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{MaxUnauthenticated: 1, StartupTimeout: waitTimeout})
	silent := dial(t, ts)
	// After the response to the encryption request, the connection is known to be
	// counted.
	if _, err := silent.Write(sslRequest); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(silent, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	_, err := pgx.Connect(t.Context(), ts.url(""))
	if sqlState(err) != "53300" {
		t.Errorf("a second connection before authentication: %v", err)
	}
}

func TestSilentConnectionIsClosed(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{StartupTimeout: 200 * time.Millisecond})
	if _, err := io.ReadAll(dial(t, ts)); err != nil {
		t.Errorf("the silent connection was not closed: %v", err)
	}
}

func TestTLS(t *testing.T) {
	config := &tls.Config{Certificates: []tls.Certificate{selfSigned(t)}}
	ts := startTestServer(t, fakeDirectory{}, front.Config{TLSConfig: func() *tls.Config { return config }, RequireTLS: true})
	_, err := pgx.Connect(t.Context(), ts.url(""))
	if sqlState(err) != "28000" {
		t.Errorf("connection without TLS: %v", err)
	}
	conn, err := pgx.Connect(t.Context(), fmt.Sprintf("postgres://clerk@%s/orders?sslmode=require", ts.address))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close(t.Context())
	for range 2 {
		if _, err := conn.Exec(t.Context(), "select 1"); err != nil {
			t.Error(err)
		}
	}
}

func selfSigned(t *testing.T) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// startupBytes returns an encoded startup message for protocol 3.minor.
func startupBytes(minor uint32, parameters string) []byte {
	body := binary.BigEndian.AppendUint32(nil, 3<<16|minor)
	body = append(body, parameters+"\x00"...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...)
}

const plainStartup = "user\x00clerk\x00database\x00orders\x00"

func dial(t *testing.T, ts *testServer) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", ts.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	return conn
}

// session opens a session and returns its connection after the first ReadyForQuery.
func session(t *testing.T, ts *testServer) (net.Conn, *pgproto3.Frontend) {
	t.Helper()
	conn := dial(t, ts)
	_, _ = conn.Write(startupBytes(0, plainStartup))
	f := pgproto3.NewFrontend(conn, conn)
	receiveUntil(t, f, &pgproto3.ReadyForQuery{})
	return conn, f
}

// receiveUntil skips to the next message of the type of want and returns it.
func receiveUntil[T pgproto3.BackendMessage](t *testing.T, f *pgproto3.Frontend, want T) T {
	t.Helper()
	for {
		m, err := f.Receive()
		if err != nil {
			t.Fatalf("no %T: %v", want, err)
		}
		if got, ok := m.(T); ok {
			return got
		}
	}
}

func TestBadStartup(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	cases := map[string]struct {
		bytes []byte
		want  string
	}{
		"old protocol":                   {[]byte{0, 0, 0, 8, 0, 2, 0, 0}, "08P01"},
		"message too short":              {[]byte{0, 0, 0, 5, 0}, "08P01"},
		"message too long":               {[]byte{0, 1, 0, 0, 0, 3, 0, 0}, "08P01"},
		"parameter without a terminator": {[]byte{0, 0, 0, 12, 0, 3, 0, 0, 'u', 's', 'e', 'r'}, "08P01"},
		"unknown option":                 {startupBytes(0, plainStartup+"rattancove.rang\x00urgent\x00"), "42704"},
		"invalid option":                 {startupBytes(0, plainStartup+"options\x00-c rattancove.rank=first\x00"), "22023"},
		"replication":                    {startupBytes(0, plainStartup+"replication\x00true\x00"), "0A000"},
		"repeated encryption requests":   {[]byte("\x00\x00\x00\x08\x04\xd2\x16\x30\x00\x00\x00\x08\x04\xd2\x16\x30\x00\x00\x00\x08\x04\xd2\x16\x30"), "08P01"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, ts)
			_, _ = conn.Write(c.bytes)
			if name == "repeated encryption requests" {
				_, _ = io.ReadFull(conn, make([]byte, 3))
			}
			e := receiveUntil(t, pgproto3.NewFrontend(conn, conn), &pgproto3.ErrorResponse{})
			if e.Code != c.want || e.Severity != "FATAL" {
				t.Errorf("%s %s: %s", e.Severity, e.Code, e.Message)
			}
		})
	}
}

func TestNewerProtocolIsNegotiated(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	conn := dial(t, ts)
	_, _ = conn.Write(startupBytes(2, plainStartup+"_pq_.feature\x00on\x00"))
	f := pgproto3.NewFrontend(conn, conn)
	n := receiveUntil(t, f, &pgproto3.NegotiateProtocolVersion{})
	if n.NewestMinorProtocol != 0 || len(n.UnrecognizedOptions) != 1 {
		t.Errorf("%+v", n)
	}
	receiveUntil(t, f, &pgproto3.ReadyForQuery{})
}

func TestBadMessageEndsOnlyItsConnection(t *testing.T) {
	d := fakeDirectory{limits: environment.Limits{MessageBytes: 1000}}
	ts := startTestServer(t, d, front.Config{MessageTimeout: 200 * time.Millisecond})
	other := ts.connect(t, "")
	cases := map[string]struct {
		bytes []byte
		want  string
	}{
		"oversize":                   {[]byte{'Q', 0, 0, 4, 0}, "54000"},
		"length field too small":     {[]byte{'Q', 0, 0, 0, 3}, "08P01"},
		"unknown type":               {[]byte{'?', 0, 0, 0, 4}, "08P01"},
		"query without a terminator": {[]byte{'Q', 0, 0, 0, 5, 'x'}, "08P01"},
		"truncated parse":            {[]byte{'P', 0, 0, 0, 6, 0, 0}, "08P01"},
		"incomplete message":         {[]byte{'Q', 0, 0, 0, 9, 'x'}, "08P01"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conn, f := session(t, ts)
			_, _ = conn.Write(c.bytes)
			e := receiveUntil(t, f, &pgproto3.ErrorResponse{})
			if e.Code != c.want || e.Severity != "FATAL" {
				t.Errorf("%s %s: %s", e.Severity, e.Code, e.Message)
			}
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("the connection was not closed: %v", err)
			}
		})
	}
	if _, err := other.Exec(t.Context(), "select 1"); err != nil {
		t.Errorf("another caller: %v", err)
	}
}

func TestCancel(t *testing.T) {
	forwarded := make(chan front.CancelKey, 1)
	ts := startTestServer(t, fakeDirectory{}, front.Config{ForwardCancel: func(_ context.Context, k front.CancelKey) { forwarded <- k }})
	running := make(chan struct{}, 1)
	ts.runner.beforeExecute = func(ctx context.Context, _ int, sql string) error {
		if sql != "select sleep" {
			return nil
		}
		running <- struct{}{}
		<-ctx.Done()
		return ctx.Err()
	}
	conn := ts.connect(t, "")
	failed := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "select sleep")
		failed <- err
	}()
	<-running
	if err := conn.PgConn().CancelRequest(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := <-failed; sqlState(err) != "57014" {
		t.Errorf("canceled statement: %v", err)
	}
	if _, err := conn.Exec(t.Context(), "select 1"); err != nil {
		t.Errorf("statement after the cancel request: %v", err)
	}
	if _, err := conn.Exec(t.Context(), "begin"); err != nil {
		t.Fatal(err)
	}
	if err := conn.PgConn().CancelRequest(t.Context()); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Exec(t.Context(), "insert 1"); err != nil {
		t.Errorf("a cancel request without a running statement ended the transaction: %v", err)
	}
	raw := dial(t, ts)
	_, _ = raw.Write([]byte{0, 0, 0, 16, 0x04, 0xd2, 0x16, 0x2e, 0, 0, 0, 1, 1, 2, 3, 4})
	if k := <-forwarded; k.ProcessID != 1 || k.Secret != [4]byte{1, 2, 3, 4} {
		t.Errorf("forwarded %v", k)
	}
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within the timeout")
		}
	}
}

// TestCancelAfterResponseKeepsTransaction sends a cancel request after the response
// to BEGIN has arrived and before the home asks for the next batch. The transaction
// must stay open.
func TestCancelAfterResponseKeepsTransaction(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	responded, canceled := make(chan struct{}), make(chan struct{})
	ts.runner.beforeNext = func(ctx context.Context) (context.Context, error) {
		select {
		case <-canceled:
		default:
			close(responded)
			<-canceled
		}
		return ctx, ctx.Err()
	}
	conn := ts.connect(t, "")
	if _, err := conn.Exec(t.Context(), "begin"); err != nil {
		t.Fatal(err)
	}
	<-responded
	if err := conn.PgConn().CancelRequest(t.Context()); err != nil {
		t.Fatal(err)
	}
	close(canceled)
	if _, err := conn.Exec(t.Context(), "insert 1"); err != nil {
		t.Fatalf("the transaction ended: %v", err)
	}
}
