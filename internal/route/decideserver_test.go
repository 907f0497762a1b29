package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/statement"
)

// TestDecideServerAgreesWithDecide checks that both functions give the same options
// for random groups and requests.
func TestDecideServerAgreesWithDecide(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	oneInThree := func() bool { return random.IntN(3) == 0 }
	for range 5000 {
		g := &Group{Term: 2, ReplicaWait: DefaultReplicaWait, History: NewHistory(10, 0), Commits: NewHistory(10, 0)}
		for i := range 3 {
			id := cluster.ServerID(fmt.Sprint("s", i))
			if i == 0 && !oneInThree() {
				g.Primary = id
			}
			g.Servers = append(g.Servers, Server{
				ID: id, Term: 2, Replayed: cluster.Position{Term: 2, Offset: uint64(random.IntN(5))}, Observed: now.Add(-time.Duration(random.IntN(100)) * time.Millisecond),
				Lag: time.Duration(random.IntN(50)) * time.Millisecond, Ejected: oneInThree(), Leaving: oneInThree(), Reachable: !oneInThree(), Diverged: oneInThree(),
			})
		}
		if !oneInThree() {
			g.History = g.History.With(Sample{At: now.Add(-50 * time.Millisecond), Position: cluster.Position{Term: 2, Offset: 3}})
			g.Commits = g.History
		}
		q := Query{
			Class: []statement.Class{statement.ClassRead, statement.ClassWrite, statement.ClassBegin, statement.ClassBeginReadOnly}[random.IntN(4)],
			Floor: cluster.Position{Term: 2, Offset: uint64(random.IntN(5))}, FloorKnown: !oneInThree(), PrimaryOnly: oneInThree(),
			Freshness: statement.Freshness{Mode: statement.FreshnessMode(random.IntN(3)), MaxAge: 100 * time.Millisecond},
			Arrived:   now.Add(-time.Duration(random.IntN(80)) * time.Millisecond),
		}
		decision := Decide(q, g, now)
		for _, s := range g.Servers {
			want, wanted := decision.Option(s.ID)
			got, ok := DecideServer(&q, g, s.ID, now)
			if ok != wanted || got != want {
				t.Fatalf("server %s: DecideServer returned %+v %v, Decide %+v %v\nquery %+v\ngroup %+v", s.ID, got, ok, want, wanted, q, g)
			}
		}
	}
}
