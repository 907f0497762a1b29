package hostile

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// messageBytes is the length of the crowds' long messages, a little less than the 1 MiB
	// that the protocol allows.
	messageBytes = 1<<20 - 1<<10
	// pieceBytes is the size of the pieces in which some messages are sent.
	pieceBytes = 16 << 10
	// settleTime is how long a crowd that neither sends nor reads is left alone.
	settleTime = 4 * time.Second
)

// crowd is a set of connections of clients that are not controlled. They are closed at the
// end of the test, unless closed before.
type crowd struct {
	members sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

func newCrowd(t *testing.T) *crowd {
	c := &crowd{}
	t.Cleanup(c.close)
	return c
}

// run lets n members act at once and waits for them. Errors are no faults: the system may
// refuse or close the connections of a crowd.
func (c *crowd) run(n int, act func(i int) error) {
	for i := range n {
		c.members.Go(func() { _ = act(i) })
	}
	c.members.Wait()
}

// dial opens a connection that is closed with the crowd.
func (c *crowd) dial(address string) (net.Conn, error) {
	conn, err := dial(address)
	if err == nil {
		c.mu.Lock()
		c.conns = append(c.conns, conn)
		c.mu.Unlock()
	}
	return conn, err
}

// session opens a session that is closed with the crowd.
func (c *crowd) session(p *process) (*client, error) {
	s, err := connect(p.callers)
	if err == nil {
		c.mu.Lock()
		c.conns = append(c.conns, s.conn)
		c.mu.Unlock()
	}
	return s, err
}

func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// longQuery returns a legal statement of messageBytes bytes.
func longQuery() string {
	const start = "QUERY long READ "
	return start + strings.Repeat("x", messageBytes-len(start))
}

// writeInPieces sends data in pieces with pauses.
func writeInPieces(conn net.Conn, data string, pause time.Duration) error {
	for len(data) > 0 {
		n := min(pieceBytes, len(data))
		if _, err := io.WriteString(conn, data[:n]); err != nil {
			return err
		}
		data = data[n:]
		time.Sleep(pause)
	}
	return nil
}
