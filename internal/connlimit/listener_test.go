package connlimit

import (
	"net"
	"slices"
	"testing"
)

// pipes is a listener whose connections are made by dial.
type pipes struct{ net.Listener }

func (pipes) Accept() (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		for buf := make([]byte, 8); ; {
			if _, err := client.Read(buf); err != nil {
				return
			}
		}
	}()
	return server, nil
}

// TestOrderOfDisplacement guards against silent or new connections that displace those that
// are in use, and against a limit that is exceeded.
func TestOrderOfDisplacement(t *testing.T) {
	l := New(pipes{}, "test", func() int { return 4 })
	var conns []*Conn
	accept := func(answer bool) {
		c, _ := l.Accept()
		conns = append(conns, c.(*Conn))
		if answer {
			_, _ = c.Write([]byte("x"))
		}
	}
	accept(true)  // 0: used last
	accept(true)  // 1
	accept(false) // 2
	accept(false) // 3
	_, _ = conns[0].Write([]byte("x"))
	var open []int
	steps := [][]int{{0, 1, 3, 4}, {0, 1, 4, 5}, {0, 4, 5, 6}, {4, 5, 6, 7}}
	for _, want := range steps {
		accept(true)
		open = open[:0]
		for i, c := range conns {
			if _, ok := l.conns[c]; ok {
				open = append(open, i)
			}
		}
		if !slices.Equal(open, want) {
			t.Errorf("open are %v, want %v", open, want)
		}
	}
	for _, c := range conns {
		_ = c.Close()
	}
	if len(l.conns) != 0 {
		t.Errorf("%d connections are left", len(l.conns))
	}
}

// TestProvenConnectionsMayHaveNoLimit guards against requests that wait and are displaced by
// new connections, where only unproven ones are limited.
func TestProvenConnectionsMayHaveNoLimit(t *testing.T) {
	l := NewUnproven(pipes{}, "test", 2)
	var conns []*Conn
	for i := range 9 {
		c, _ := l.Accept()
		conns = append(conns, c.(*Conn))
		if i < 5 {
			conns[i].Prove()
		}
	}
	for i, c := range conns {
		if c.displaced != (i == 5 || i == 6) {
			t.Errorf("connection %d: displaced is %v", i, c.displaced)
		}
		_ = c.Close()
	}
	if len(l.conns) != 0 || l.ending != 0 {
		t.Errorf("%d connections and %d displaced ones are left", len(l.conns), l.ending)
	}
}
