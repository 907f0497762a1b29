package hostile

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// proxyRAMMB is the memory of the rattan-proxy's VM in these tests, and goMemoryLimit the
	// limit that the process is given for it: the share that rattan-edge takes of its own.
	proxyRAMMB    = 128
	goMemoryLimit = "76MiB"
	// proxyCallers is the bound of callers in the document, and proxyDescriptors what the
	// process may have open: the callers, 256 connections that have not authenticated, 64
	// requests at the administration API, and 128 others.
	proxyCallers     = 200
	proxyDescriptors = proxyCallers + 256 + 64 + 128
	// sqlBytes is the length of long statements; the document allows messages of 4 MiB.
	sqlBytes = 3 << 20
)

// postgres is a rattan-proxy with a group of three servers.
type postgres struct {
	t                              *testing.T
	dir                            string
	callers, peers, admin, metrics string
	proxy                          *process
}

func deployPostgres(t *testing.T) *postgres {
	t.Helper()
	if os.Getenv(enableEnv) == "" {
		t.Skipf("%s is not set: the test must run apart from other load", enableEnv)
	}
	d := &postgres{t: t, dir: t.TempDir(), callers: freeAddress(t), peers: freeAddress(t), admin: freeAddress(t), metrics: freeAddress(t)}
	build := exec.Command("go", "build", "-o", d.dir, "../../cmd/rattan-proxy", "../../cmd/rattan-standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	table, objects, vms := freeAddress(t), freeAddress(t), freeAddress(t)
	d.start("rattan-standin", nil, "platform", "--table", table, "--objects", objects, "--vms", vms)
	document := "name: trial\ncustomers:\n  - {name: shop, users: [{name: web}]}\ngroups:\n  - name: orders\n    customers: [shop]\n    servers:\n"
	leader := ""
	for _, id := range []string{"a", "b", "c"} {
		address := freeAddress(t)
		d.start("rattan-standin", nil, "backend", "--id", id, "--listen", address, "--group-leader", leader, "--log-level", "error")
		if leader == "" {
			leader = id + "@" + address
		}
		document += fmt.Sprintf("      - {id: %s, address: %q, failure_domain: d-%s, slots: 2, connections: 16}\n", id, address, id)
	}
	document += fmt.Sprintf("limits: {callers_per_proxy: %d}\n", proxyCallers)
	settings := fmt.Sprintf(`id: entry-1
failure_domain: d-a
environment: trial
peer: {listen: %q}
platform:
  table: {address: %q, user: rattancove, database: platform}
  objects: {endpoint: %q, bucket: rattancove}
  vms: {url: "http://%s/vms"}
document: {bootstrap_file: %s}
admin: {listen: %q, keys_file: %s}
metrics: {listen: %q}
callers: {listen: %q}
`, d.peers, table, objects, vms, d.write("document.yaml", document), d.admin,
		d.write("keys.yaml", fmt.Sprintf("keys: [{name: ops, sha256: %x, rights: [admin]}]\n", sha256.Sum256([]byte("x")))), d.metrics, d.callers)
	d.proxy = d.start("rattan-proxy", []string{"GOMEMLIMIT=" + goMemoryLimit}, "--settings", d.write("proxy.yaml", settings))
	go d.proxy.sampleDescriptors()
	d.serveOrdinary("before the crowd")
	return d
}

func (d *postgres) write(name, text string) string {
	path := filepath.Join(d.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path
}

// start starts a program until the end of the test.
func (d *postgres) start(program string, env []string, args ...string) *process {
	d.t.Helper()
	p := &process{name: program, cmd: exec.Command(filepath.Join(d.dir, program), args...), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	if err := p.cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	go func() { _ = p.cmd.Wait(); close(p.ended) }()
	d.t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.ended
	})
	return p
}

// serveOrdinary waits until the proxy has answered an ordinary statement.
func (d *postgres) serveOrdinary(when string) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(d.t.Context(), waitTimeout)
	defer cancel()
	for {
		err := d.ask(ctx)
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			d.t.Errorf("no ordinary statement is served %s: %v", when, err)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (d *postgres) ask(ctx context.Context) error {
	conn, err := pgx.Connect(ctx, "postgres://web@"+d.callers+"/orders?sslmode=disable")
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	var one int
	return conn.QueryRow(ctx, "SELECT 1").Scan(&one)
}

func (d *postgres) check() {
	d.t.Helper()
	d.serveOrdinary("after the crowd")
	select {
	case <-d.proxy.ended:
		d.t.Fatalf("the proxy has ended: %v", d.proxy.cmd.ProcessState)
	default:
	}
	resident := d.proxy.peakResidentMB(d.t)
	d.proxy.mu.Lock()
	descriptors := d.proxy.peakDescriptors
	d.proxy.mu.Unlock()
	d.t.Logf("at most %d MB resident and %d descriptors", resident, descriptors)
	if resident > proxyRAMMB || descriptors > proxyDescriptors {
		d.t.Errorf("%d MB resident, limit %d; %d descriptors, limit %d", resident, proxyRAMMB, descriptors, proxyDescriptors)
	}
}

// session opens a session that is closed with the crowd.
func (d *postgres) session(c *crowd) (net.Conn, *pgproto3.Frontend, error) {
	conn, err := c.dial(d.callers)
	if err != nil {
		return nil, nil, err
	}
	f := pgproto3.NewFrontend(conn, conn)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "web", "database": "orders"}})
	return conn, f, readyAfter(f, f.Flush())
}

// readyAfter reads messages until the server is ready for the next statement.
func readyAfter(f *pgproto3.Frontend, err error) error {
	for err == nil {
		var message pgproto3.BackendMessage
		message, err = f.Receive()
		if _, ready := message.(*pgproto3.ReadyForQuery); ready {
			return nil
		}
	}
	return err
}

// postgresCrowd is the number of clients; with sqlBytes each, 192 MiB.
const postgresCrowd = 64

// TestPostgresLongStatements guards against memory that grows with the long statements that
// are read at a time, whole or without an end.
func TestPostgresLongStatements(t *testing.T) {
	for name, missing := range map[string]int{"whole": 0, "never ended": 1} {
		t.Run(name, func(t *testing.T) {
			d := deployPostgres(t)
			message, err := (&pgproto3.Query{String: "SELECT '" + strings.Repeat("x", sqlBytes) + "'"}).Encode(nil)
			if err != nil {
				t.Fatal(err)
			}
			c := newCrowd(t)
			c.run(postgresCrowd, func(int) error {
				conn, f, err := d.session(c)
				if err == nil {
					_, err = conn.Write(message[:len(message)-missing])
				}
				if missing == 0 {
					err = readyAfter(f, err)
				}
				return err
			})
			time.Sleep(settleTime)
			d.check()
		})
	}
}

// TestPostgresAnswersThatNobodyReads guards against memory that is held for answers of 4 MiB.
func TestPostgresAnswersThatNobodyReads(t *testing.T) {
	d := deployPostgres(t)
	c := newCrowd(t)
	c.run(postgresCrowd, func(int) error {
		_, f, err := d.session(c)
		if err == nil {
			f.Send(&pgproto3.Query{String: "SELECT hex(zeroblob(2097152))"})
			err = f.Flush()
		}
		return err
	})
	time.Sleep(settleTime)
	d.check()
}

// TestPostgresIdleSessionsWithLongTexts guards against memory that sessions hold without
// limit for prepared statements and settings.
func TestPostgresIdleSessionsWithLongTexts(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	for name, text := range map[string]func(client, n int) pgproto3.FrontendMessage{
		"prepared statements": func(client, n int) pgproto3.FrontendMessage {
			return &pgproto3.Parse{Name: fmt.Sprint(n), Query: fmt.Sprintf("SELECT '%d-%d-%s'", client, n, long)}
		},
		"settings": func(client, n int) pgproto3.FrontendMessage {
			return &pgproto3.Query{String: fmt.Sprintf("SET rattan.s%d = '%d-%s'", n, client, long)}
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := deployPostgres(t)
			c := newCrowd(t)
			c.run(8, func(client int) error {
				_, f, err := d.session(c)
				for n := 0; n < 32 && err == nil; n++ {
					f.Send(text(client, n))
					f.Send(&pgproto3.Sync{})
					err = readyAfter(f, f.Flush())
				}
				return err
			})
			time.Sleep(settleTime)
			d.check()
		})
	}
}

// TestPostgresConnections guards against descriptors and memory that are held for clients
// that stop half-way at any address.
func TestPostgresConnections(t *testing.T) {
	for name, address := range map[string]func(*postgres) (string, string){
		"callers":        func(d *postgres) (string, string) { return d.callers, "\x00\x00\x00\x40\x00\x03" },
		"peers":          func(d *postgres) (string, string) { return d.peers, "\x03\x01" },
		"administration": func(d *postgres) (string, string) { return d.admin, "GET /v1/status HTTP/1.1\r\nHost:" },
		"metrics":        func(d *postgres) (string, string) { return d.metrics, "GET /metrics HTTP/1.1\r\nHost:" },
	} {
		t.Run(name, func(t *testing.T) {
			d := deployPostgres(t)
			c := newCrowd(t)
			to, start := address(d)
			c.run(2*proxyDescriptors, func(i int) error {
				conn, err := c.dial(to)
				if err == nil && i%2 == 0 {
					_, err = io.WriteString(conn, start)
				}
				return err
			})
			time.Sleep(settleTime)
			d.check()
		})
	}
}

// TestPostgresPeerFramesThatNeverEnd guards against memory that is held for incomplete
// frames of clients of the peer address.
func TestPostgresPeerFramesThatNeverEnd(t *testing.T) {
	d := deployPostgres(t)
	c := newCrowd(t)
	c.sendFramesWithoutEnd(d.peers)
	time.Sleep(settleTime)
	d.check()
}
