package hostile

import (
	"io"
	"strings"
	"testing"
	"time"

	"storj.io/drpc/drpcwire"
)

// TestPeerFramesThatNeverEnd guards against memory that is held for incomplete frames of
// clients of the peer address.
func TestPeerFramesThatNeverEnd(t *testing.T) {
	d := deploy(t)
	c := newCrowd(t)
	c.sendFramesWithoutEnd(d.processes[home].peers)
	time.Sleep(settleTime)
	d.check()
}

// sendFramesWithoutEnd sends 16 frames of 16 MiB to a peer address, without their last byte.
func (c *crowd) sendFramesWithoutEnd(address string) {
	frame := drpcwire.AppendFrame(nil, drpcwire.Frame{
		Data: make([]byte, 16<<20), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Done: true,
	})
	c.run(16, func(int) error {
		conn, err := c.dial(address)
		if err == nil {
			_, err = conn.Write(frame[:len(frame)-1])
		}
		return err
	})
}

// TestMoreConnectionsThanDescriptors guards against clients that take all descriptors of a
// process through an address that is not for callers. Half of them are silent, the others
// send the beginning of a request.
func TestMoreConnectionsThanDescriptors(t *testing.T) {
	for _, address := range []struct {
		name, start string
		of          func(*process) string
	}{
		{"peers", "\x03\x01", func(p *process) string { return p.peers }},
		{"readiness", "GET /ready HTTP/1.1\r\nHost:", func(p *process) string { return p.ready }},
		{"metrics", "GET /metrics HTTP/1.1\r\nHost:", func(p *process) string { return p.metrics }},
	} {
		t.Run(address.name, func(t *testing.T) {
			d := deploy(t)
			c := newCrowd(t)
			c.run(slowCrowd, func(i int) error {
				conn, err := c.dial(address.of(d.processes[home]))
				if err == nil && i%2 == 0 {
					_, err = io.WriteString(conn, address.start)
				}
				return err
			})
			time.Sleep(settleTime)
			d.check()
		})
	}
}

// TestLongHeadersThatNeverEnd guards against memory that is held for the headers of
// requests at the readiness and metrics addresses.
func TestLongHeadersThatNeverEnd(t *testing.T) {
	for name, address := range map[string]func(*process) string{
		"readiness": func(p *process) string { return p.ready },
		"metrics":   func(p *process) string { return p.metrics },
	} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t)
			c := newCrowd(t)
			headers := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("A: "+strings.Repeat("x", 8<<10)+"\r\n", 120)
			c.run(longMessageCrowd, func(int) error {
				conn, err := c.dial(address(d.processes[home]))
				if err == nil {
					_, err = io.WriteString(conn, headers)
				}
				return err
			})
			time.Sleep(settleTime)
			d.check()
		})
	}
}
