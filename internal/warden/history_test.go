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
	writeInterval        = 40 * time.Millisecond
	primaryCheckInterval = 5 * time.Millisecond
	ackTimeout           = 100 * time.Millisecond
)

// writeHistory writes to every server that is a primary, records which writes a
// majority stored, and records which server was primary of which term.
type writeHistory struct {
	f    *fixture
	done chan struct{}
	wg   sync.WaitGroup

	mu sync.Mutex
	// committed holds the writes that a primary acknowledged, and acked those that a
	// majority stored.
	committed  []string
	acked      []string
	primaries  map[cluster.Term]cluster.ServerID
	violations []string
}

func (f *fixture) startHistory() *writeHistory {
	h := &writeHistory{f: f, done: make(chan struct{}), primaries: map[cluster.Term]cluster.ServerID{}}
	for _, s := range f.servers {
		h.wg.Go(func() { h.write(s) })
	}
	h.wg.Go(h.monitorPrimaries)
	return h
}

// stopAndCheck stops the writes and checks that every acknowledged write is in the log of
// the primary.
func (h *writeHistory) stopAndCheck() {
	h.f.t.Helper()
	h.stop()
	checkedWrites += len(h.acked)
	h.expectStored(h.acked)
}

// stop stops the writes and fails the test if a term had two primaries.
func (h *writeHistory) stop() {
	h.f.t.Helper()
	close(h.done)
	h.wg.Wait()
	for _, violation := range h.violations {
		h.f.t.Errorf("seed %d: %s", h.f.seed, violation)
	}
}

// expectStored fails the test if any of the writes is not in the log of the primary.
func (h *writeHistory) expectStored(writes []string) {
	h.f.t.Helper()
	primary, ok := h.f.writable()
	if !ok {
		h.f.t.Fatalf("seed %d: no primary at the end: %s", h.f.seed, h.f.describe())
	}
	stored := map[string]bool{}
	for _, v := range h.f.group.CommittedValues(primary, "k") {
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

// checkedWrites counts the writes that the tests have checked.
var checkedWrites int

func (h *writeHistory) write(s cluster.Server) {
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
		if h.waitForMajority(position) {
			h.mu.Lock()
			h.acked = append(h.acked, value)
			h.mu.Unlock()
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

func (h *writeHistory) put(conn *backend.Conn, s cluster.Server, value string) (cluster.Position, error) {
	ctx, cancel := context.WithTimeout(context.Background(), ackTimeout)
	defer cancel()
	if *conn == nil {
		c, err := h.f.group.Dialer("client").Dial(ctx, s, h.f.name, "", backend.Claim{Epoch: 1, Home: "p"})
		if err != nil {
			return cluster.Position{}, err
		}
		*conn = c
	}
	x := &backend.Exchange{Batch: &statement.Batch{Messages: []byte("put k " + value)}, WantPosition: true}
	answer, err := (*conn).Exchange(ctx, x, discardConversation{})
	if err != nil || answer.SQLState != "" {
		_ = (*conn).Close()
		*conn = nil
		return cluster.Position{}, fmt.Errorf("state %q: %w", answer.SQLState, err)
	}
	return answer.Position, nil
}

// waitForMajority waits until a majority has stored the position and is at its term.
func (h *writeHistory) waitForMajority(p cluster.Position) bool {
	for began := time.Now(); time.Since(began) < ackTimeout; time.Sleep(2 * time.Millisecond) {
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

// monitorPrimaries records a violation if a term has two primaries.
func (h *writeHistory) monitorPrimaries() {
	for h.sleep(primaryCheckInterval) {
		for _, s := range h.f.servers {
			status := h.f.group.Status(s.ID)
			if status.Role != cluster.RolePrimary {
				continue
			}
			if known, ok := h.primaries[status.Term]; ok && known != s.ID {
				h.violations = append(h.violations, fmt.Sprintf("term %d has the primaries %s and %s", status.Term, known, s.ID))
			}
			h.primaries[status.Term] = s.ID
		}
	}
}

func (h *writeHistory) sleep(d time.Duration) bool {
	select {
	case <-h.done:
		return false
	case <-time.After(d):
		return true
	}
}
