package integration

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// delayRelay forwards the connections of callers with a delay, half-closes included. It
// passes a reset on at once, without the data that is still under way.
type delayRelay struct {
	target string
	delay  time.Duration
}

func startDelayRelay(t testing.TB, target string, delay time.Duration) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	r := &delayRelay{target: target, delay: delay}
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			go r.relay(client.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

func (r *delayRelay) relay(client *net.TCPConn) {
	defer client.Close()
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer server.Close()
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(server.(*net.TCPConn), client) })
	directions.Go(func() { r.forward(client, server.(*net.TCPConn)) })
	directions.Wait()
}

type delayedChunk struct {
	data []byte
	due  time.Time
}

// forward copies one direction until its end.
func (r *delayRelay) forward(dst, src *net.TCPConn) {
	const maxChunks = 1024
	chunks := make(chan delayedChunk, maxChunks)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, 4<<10)
			n, err := src.Read(buf)
			if n > 0 {
				chunks <- delayedChunk{buf[:n], time.Now().Add(r.delay)}
			}
			if err != nil && !errors.Is(err, io.EOF) {
				reset(dst, err)
				return
			}
			if err != nil {
				return
			}
		}
	}()
	for chunk := range chunks {
		time.Sleep(time.Until(chunk.due))
		if _, err := dst.Write(chunk.data); err != nil {
			reset(src, err)
		}
	}
	_ = dst.CloseWrite()
}

// reset closes a connection in the way in which the other one has ended.
func reset(conn *net.TCPConn, cause error) {
	if errors.Is(cause, syscall.ECONNRESET) || errors.Is(cause, syscall.EPIPE) {
		_ = conn.SetLinger(0)
	}
	_ = conn.Close()
}
