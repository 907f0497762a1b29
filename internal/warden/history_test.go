package warden

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/statement"
)

const (
	writeInterval = 40 * time.Millisecond
	watchInterval = 5 * time.Millisecond
	ackWait       = 100 * time.Millisecond
)

// history writes through every server that calls itself primary, remembers
// what a majority stored, and notes which server was primary of which term.
type history struct {
	f    *fleet
	done chan struct{}
	wg   sync.WaitGroup

	mu sync.Mutex
	// committed holds what a primary answered, acked what a majority stored.
	committed []string
	acked     []string
	primaries map[cluster.Term]cluster.ServerID
	faults    []string
}

func (f *fleet) record() *history {
	h := &history{f: f, done: make(chan struct{}), primaries: map[cluster.Term]cluster.ServerID{}}
	for _, s := range f.servers {
		h.wg.Go(func() { h.write(s) })
	}
	h.wg.Go(h.watch)
	return h
}

// check stops the history and compares what was acknowledged with the log of
// the primary.
func (h *history) check() {
	h.f.t.Helper()
	h.stop()
	ackedWrites += len(h.acked)
	h.compare(h.acked)
}

// stop ends the writes and reports a second primary of one term.
func (h *history) stop() {
	h.f.t.Helper()
	close(h.done)
	h.wg.Wait()
	for _, fault := range h.faults {
		h.f.t.Errorf("seed %d: %s", h.f.seed, fault)
	}
}

// compare reports how many of the writes are not in the log of the primary.
func (h *history) compare(writes []string) {
	h.f.t.Helper()
	primary, ok := h.f.writable()
	if !ok {
		h.f.t.Fatalf("seed %d: no primary at the end: %s", h.f.seed, h.f.describe())
	}
	stored := map[string]bool{}
	for _, v := range h.f.group.Values(primary, "k") {
		stored[v] = true
	}
	lost := 0
	for _, v := range writes {
		if !stored[v] {
			lost++
		}
	}
	if lost > 0 {
		h.f.t.Errorf("seed %d: %d of %d acknowledged writes lost", h.f.seed, lost, len(writes))
	}
}

// ackedWrites counts the writes that the tests checked.
var ackedWrites int

func (h *history) write(s cluster.Server) {
	var conn backend.Conn
	for i := 0; h.sleep(writeInterval); i++ {
		if h.f.group.Status(s.ID).Role != cluster.RolePrimary {
			continue
		}
		value := fmt.Sprintf("%s-%d", s.ID, i)
		position, err := h.put(&conn, s, value)
		if err != nil {
			continue
		}
		h.mu.Lock()
		h.committed = append(h.committed, value)
		h.mu.Unlock()
		if h.stored(position) {
			h.mu.Lock()
			h.acked = append(h.acked, value)
			h.mu.Unlock()
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

func (h *history) put(conn *backend.Conn, s cluster.Server, value string) (cluster.Position, error) {
	ctx, cancel := context.WithTimeout(context.Background(), ackWait)
	defer cancel()
	if *conn == nil {
		c, err := h.f.group.Dialer("client").Dial(ctx, s, h.f.name, backend.Claim{Epoch: 1, Home: "p"})
		if err != nil {
			return cluster.Position{}, err
		}
		*conn = c
	}
	x := &backend.Exchange{Batch: &statement.Batch{Messages: []byte("put k " + value)}, WantPosition: true}
	answer, err := (*conn).Exchange(ctx, x, discard{})
	if err != nil || answer.SQLState != "" {
		_ = (*conn).Close()
		*conn = nil
		return cluster.Position{}, fmt.Errorf("state %q: %w", answer.SQLState, err)
	}
	return answer.Position, nil
}

// stored waits until a majority has the position under its term.
func (h *history) stored(p cluster.Position) bool {
	for began := time.Now(); time.Since(began) < ackWait; time.Sleep(2 * time.Millisecond) {
		count := 0
		for _, s := range h.f.servers {
			status := h.f.group.Status(s.ID)
			if status.Term == p.Term && !status.Received.Less(p) {
				count++
			}
		}
		if count >= cluster.Majority(len(h.f.servers)) {
			return true
		}
	}
	return false
}

// watch notes a second primary of one term.
func (h *history) watch() {
	for h.sleep(watchInterval) {
		for _, s := range h.f.servers {
			status := h.f.group.Status(s.ID)
			if status.Role != cluster.RolePrimary {
				continue
			}
			if known, ok := h.primaries[status.Term]; ok && known != s.ID {
				h.faults = append(h.faults, fmt.Sprintf("term %d has the primaries %s and %s", status.Term, known, s.ID))
			}
			h.primaries[status.Term] = s.ID
		}
	}
}

func (h *history) sleep(d time.Duration) bool {
	select {
	case <-h.done:
		return false
	case <-time.After(d):
		return true
	}
}
