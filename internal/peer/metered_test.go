package peer

import (
	"io"
	"math/rand/v2"
	"net"
	"testing"

	"storj.io/drpc/drpcwire"

	"github.com/rattancove/rattancove/internal/memory"
)

// appendPacket appends a packet of the given sizes of frames.
func appendPacket(data []byte, message uint64, frames ...int) []byte {
	for i, n := range frames {
		data = drpcwire.AppendFrame(data, drpcwire.Frame{
			Data: make([]byte, n), ID: drpcwire.ID{Stream: 300, Message: message}, Kind: drpcwire.KindMessage, Done: i == len(frames)-1,
		})
	}
	return data
}

// TestPacketScanner guards against packets that are taken for complete too early, or never,
// however they are divided.
func TestPacketScanner(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		var data []byte
		ends := map[int]bool{0: true}
		for message := range uint64(4) {
			var frames []int
			for range 1 + r.IntN(3) {
				frames = append(frames, r.IntN(400)*r.IntN(2))
			}
			data = appendPacket(data, message, frames...)
			ends[len(data)] = true
		}
		var s packetScanner
		for at := 0; at < len(data); {
			next := min(len(data), at+1+r.IntN(300))
			s.scan(data[at:next])
			if at = next; s.partial() == ends[at] {
				t.Fatalf("partial is %v after %d of %d bytes, ends are %v", s.partial(), at, len(data), ends)
			}
		}
	}
}

// TestMeteredConnTakesAndReturnsMemory guards against large requests that are read without
// memory, and against memory that is not returned with the answer or at the end.
func TestMeteredConnTakesAndReturnsMemory(t *testing.T) {
	budget := memory.NewBudget(1) // the smallest limits
	client, server := net.Pipe()
	conn := newMeteredConn(server, budget, budget.Peers)
	send := func(data []byte) {
		go func() { _, _ = client.Write(data) }()
		if _, err := io.ReadFull(conn, make([]byte, len(data))); err != nil {
			t.Fatal(err)
		}
	}
	send(appendPacket(nil, 1, 4<<10))
	if used := budget.Peers.Used(); used != 0 {
		t.Errorf("a short request takes %d bytes", used)
	}
	packet := appendPacket(nil, 2, 64<<10, 64<<10)
	send(packet)
	if used := budget.Peers.Used(); used < copies*int64(len(packet)) || used > copies*int64(len(packet)+4200) {
		t.Errorf("a request of %d bytes takes %d", len(packet), used)
	}
	go func() { _, _ = client.Read(make([]byte, 8)) }()
	if _, err := conn.Write([]byte("answer")); err != nil || budget.Peers.Used() != 0 {
		t.Errorf("%d bytes are taken after the answer, %v", budget.Peers.Used(), err)
	}
	send(packet[:len(packet)-1])
	_ = conn.Close()
	if used := budget.Peers.Used(); used != 0 {
		t.Errorf("%d bytes are taken after the end", used)
	}
	if !conn.grown.Load() {
		t.Error("a connection with large buffers would be kept")
	}
}

// TestConnectionsToAllPeersAreBounded guards against as many connections as requests wait.
func TestConnectionsToAllPeersAreBounded(t *testing.T) {
	b := &boundedConns{bounds: Bounds{Connections: func() int { return 2 }}}
	idle := 0
	b.closeIdle = func() bool {
		if idle == 0 {
			return false
		}
		idle--
		b.free()
		return true
	}
	for i, want := range []bool{true, true, false} {
		if b.reserve() != want {
			t.Fatalf("connection %d: the bound is not two", i)
		}
	}
	idle = 1
	if !b.reserve() || idle != 0 {
		t.Error("an idle connection keeps a new one from being opened")
	}
}
