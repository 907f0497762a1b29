package home

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/route"
	"github.com/rattancove/rattancove/internal/statement"
)

const workloadSeed = 31

// TestReadsServedByReplicas measures the share of reads of a mixed workload that
// run on replicas. Half of them accept data that is one second old, the others
// need the writes of their session. RATTAN_EXPERIMENTS=1 also compares limits of
// the time that a read waits for a replica.
func TestReadsServedByReplicas(t *testing.T) {
	readMostly := workloadProfile{meanPause: 300 * time.Millisecond, writeFraction: 0.05}
	dataEntry := workloadProfile{meanPause: 60 * time.Millisecond, writeFraction: 0.2}
	for _, tt := range []struct {
		workload workloadProfile
		lag      time.Duration
		want     float64
	}{{readMostly, 50 * time.Millisecond, 0.95}, {readMostly, 500 * time.Millisecond, 0.80}, {dataEntry, 50 * time.Millisecond, 0.95}, {dataEntry, 500 * time.Millisecond, 0}} {
		if share := replicaShare(t, tt.workload, tt.lag, route.DefaultReplicaWait); share < tt.want {
			t.Errorf("lag %v: share %.3f, want %.2f", tt.lag, share, tt.want)
		}
		if os.Getenv("RATTAN_EXPERIMENTS") == "" {
			continue
		}
		for _, replicaWait := range []time.Duration{0, 25 * time.Millisecond, time.Second} {
			replicaShare(t, tt.workload, tt.lag, replicaWait)
		}
	}
}

func replicaShare(t *testing.T, workload workloadProfile, lag, replicaWait time.Duration) (share float64) {
	t.Helper()
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		for _, id := range []cluster.ServerID{"s2", "s3"} {
			b.group.SetReplayLag(id, lag)
		}
		h := New(Config{ID: "p1"}, b.group.Dialer("p1"))
		h.replicaWait = replicaWait
		b.own(h)
		b.mustWrite(h, "", "put k v")
		time.Sleep(2 * time.Second)
		m := &mixedWorkload{testBench: b, home: h, workloadProfile: workload}
		calls := statusCallsTotal.Get()
		m.run(t)
		share = float64(m.replicas) / float64(len(m.latency))
		t.Logf("writes %.2f, lag %v, replica wait %v: %.3f of %d reads on replicas, p50 %v, p99 %v, %d status calls", m.writeFraction, lag, replicaWait, share,
			len(m.latency), percentile(m.latency, 50).Round(100*time.Microsecond), percentile(m.latency, 99).Round(100*time.Microsecond), statusCallsTotal.Get()-calls)
	})
	return share
}

// workloadProfile describes the statements of each session of a workload.
type workloadProfile struct {
	// meanPause is the average time between two statements of a session.
	meanPause time.Duration
	// writeFraction is the fraction of the statements that write.
	writeFraction float64
}

// mixedWorkload runs sessions that read and occasionally write. It fails the test
// on a stale read.
type mixedWorkload struct {
	*testBench
	home *Home
	workloadProfile

	mu       sync.Mutex
	replicas int
	latency  []time.Duration
}

func (m *mixedWorkload) run(t *testing.T) {
	const sessions = 40
	var wg sync.WaitGroup
	for i := range sessions {
		random := rand.New(rand.NewPCG(workloadSeed, uint64(i)))
		wg.Go(func() { m.session(t, fmt.Sprint("session", i), random) })
	}
	wg.Wait()
}

func (m *mixedWorkload) session(t *testing.T, name string, random *rand.Rand) {
	const steps = 50
	written := ""
	for step := range steps {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(m.meanPause)))
		if random.Float64() < m.writeFraction {
			written = fmt.Sprint("v", step)
			m.mustWrite(m.home, name, "work 2ms put "+name+" "+written)
			continue
		}
		r := m.request(statement.ClassRead, "work 2ms get "+name)
		r.Session = name
		if random.Float64() < 0.5 {
			r.Freshness = statement.Freshness{Mode: statement.FreshnessBounded, MaxAge: time.Second}
		}
		begun := time.Now()
		text, result, err := run(m.home, r)
		if err != nil || text != written {
			t.Errorf("%s read %q, wrote %q: %+v %v", name, text, written, result, err)
		}
		m.record(time.Since(begun), result)
	}
}

func (m *mixedWorkload) record(latency time.Duration, r statement.Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latency = append(m.latency, latency)
	if !r.Primary {
		m.replicas++
	}
}

// TestUrgentLatencyDuringBackgroundFlood overloads the group with background reads
// and measures the latency of urgent orders, with a simulated network, connections
// and replication.
func TestUrgentLatencyDuringBackgroundFlood(t *testing.T) {
	change := func(d *environment.Document) {
		d.Ranks.Background = environment.RankPolicy{Floor: 0.1, Queue: 200, MaxWait: time.Second}
		d.Ranks.Urgent = environment.RankPolicy{Floor: 0.5, Queue: 200, MaxWait: time.Second}
	}
	inBubble(t, change, func(t *testing.T, b *testBench) {
		h := b.home("p1")
		b.mustWrite(h, "", "put k v0")
		time.Sleep(time.Second)
		alone := urgentWriteP99(t, h)
		ctx, stop := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { flood(ctx, &wg, h) })
		time.Sleep(time.Second)
		before := h.Status().Groups[0]
		begun := time.Now()
		flooded := urgentWriteP99(t, h)
		after := h.Status().Groups[0]
		stop()
		wg.Wait()
		used := 0.0
		for r := range after.Ranks {
			used += after.Ranks[r].SlotSeconds - before.Ranks[r].SlotSeconds
		}
		busy := used / (6 * time.Since(begun).Seconds())
		opens, statements := 0, uint64(0)
		for i, id := range allServers {
			opens += b.group.Usage(id).Opens
			statements += after.Ranks[i].Granted
		}
		t.Logf("urgent p99 %v alone, %v in the flood; slots busy %.3f; %d connections opened for %d statements; %+v",
			alone, flooded, busy, opens, statements, after.Ranks[2])
		if flooded > 3*alone {
			t.Errorf("urgent p99 %v in the flood, %v alone", flooded, alone)
		}
		for _, id := range []cluster.ServerID{"s1", "s2", "s3"} {
			if u := b.group.Usage(id); u.MaxBusy > 2 || u.MaxConns > 12 {
				t.Errorf("%s: %+v", id, u)
			}
		}
	})
}

// flood sends background reads at ten times the capacity of the group.
func flood(ctx context.Context, wg *sync.WaitGroup, h *Home) {
	random := rand.New(rand.NewPCG(workloadSeed, 1))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(5*time.Millisecond) / 60))
		cost := time.Duration(random.ExpFloat64() * float64(5*time.Millisecond))
		wg.Go(func() {
			r := &statement.Request{ID: "flood", Group: "orders", Rank: cluster.RankBackground, FloorExact: true, Timeout: 5 * time.Second}
			r.First = statement.Batch{Messages: []byte("work " + cost.String() + " get k"), Class: statement.ClassRead}
			_, _, _ = run(h, r)
		})
	}
}

// urgentWriteP99 returns the p99 latency of a light load of urgent orders.
func urgentWriteP99(t *testing.T, h *Home) time.Duration {
	const orders = 600
	random := rand.New(rand.NewPCG(workloadSeed, 2))
	var mu sync.Mutex
	var wg sync.WaitGroup
	var latencies []time.Duration
	for range orders {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(8*time.Millisecond)))
		cost := time.Duration(random.ExpFloat64() * float64(5*time.Millisecond))
		wg.Go(func() {
			begun := time.Now()
			r := &statement.Request{ID: "order", Group: "orders", Rank: cluster.RankUrgent, Timeout: 5 * time.Second}
			r.First = statement.Batch{Messages: []byte("work " + cost.String() + " put k v")}
			if _, _, err := run(h, r); err != nil {
				t.Errorf("urgent order: %v", err)
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, time.Since(begun))
		})
	}
	wg.Wait()
	return percentile(latencies, 99)
}

func percentile(latencies []time.Duration, p int) time.Duration {
	slices.Sort(latencies)
	return latencies[len(latencies)*p/100]
}
