package home

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/route"
	"github.com/rattancove/rattancove/internal/statement"
)

// TestLagEstimateExcludesStatusInterval polls, every 200 ms, a replica that is 50 ms
// behind, with commits 200 ms apart. The interval between the status calls must not
// be taken for lag.
func TestLagEstimateExcludesStatusInterval(t *testing.T) {
	start := time.Unix(1000, 0)
	commits := route.NewHistory(64, time.Millisecond)
	var l lagEstimate
	l.observe(cluster.Position{Term: 1, Offset: 1}, start, start, commits)
	for i := 1; i <= 10; i++ {
		committed := start.Add(time.Duration(i) * 200 * time.Millisecond)
		commits = commits.With(route.Sample{At: committed, Position: cluster.Position{Term: 1, Offset: uint64(i + 1)}})
		polled := committed.Add(199 * time.Millisecond)
		l.observe(cluster.Position{Term: 1, Offset: uint64(i + 1)}, polled, polled, commits)
	}
	if l.value > 50*time.Millisecond {
		t.Fatalf("estimate %v for a lag of at most 50 ms", l.value)
	}
}

func TestLagEstimateRisesToLowerBound(t *testing.T) {
	l := lagEstimate{}
	l.moveWithin(0, 300*time.Millisecond)
	for range 20 {
		l.moveWithin(400*time.Millisecond, 500*time.Millisecond)
	}
	if l.value < 350*time.Millisecond {
		t.Fatalf("estimate %v for a lag of at least 400 ms", l.value)
	}
}

// TestReadsDoNotWaitForReplicaThatFellBehind stops replay on the replicas after
// the home has estimated their lag. Reads must go to the primary without waiting
// for a replica.
func TestReadsDoNotWaitForReplicaThatFellBehind(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		h := b.home("p1")
		for range 20 {
			b.mustWrite(h, "s", "put k v")
			time.Sleep(replayLag)
		}
		for _, id := range []cluster.ServerID{"s2", "s3"} {
			b.group.SetReplayLag(id, time.Hour)
		}
		b.mustWrite(h, "s", "put k v")
		time.Sleep(time.Second)
		var slowest time.Duration
		for range 10 {
			r := b.request(statement.ClassRead, "get k")
			r.Freshness.Mode = statement.FreshnessLatest
			begun := time.Now()
			_, result, err := run(h, r)
			if err != nil || !result.Primary {
				t.Fatalf("%+v %v", result, err)
			}
			slowest = max(slowest, time.Since(begun))
		}
		t.Logf("slowest read %v", slowest)
		if slowest > route.DefaultReplicaWait/2 {
			t.Errorf("a read took %v", slowest)
		}
	})
}

// logBuffer collects the log lines of a home.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// TestReplicaThatFallsBehindIsLogged stops and resumes the replay of a replica
// during a series of writes. Each change is logged once.
func TestReplicaThatFallsBehindIsLogged(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		out := &logBuffer{}
		log := zerolog.New(out)
		h := New(Config{ID: "p1", Log: &log}, b.group.Dialer("p1"))
		b.own(h)
		write := func(times int) {
			for range times {
				b.mustWrite(h, "s", "put k v")
				time.Sleep(100 * time.Millisecond)
			}
		}
		count := func(name string) int { return strings.Count(out.String(), name) }
		write(10)
		if count("replica_behind") != 0 {
			t.Errorf("logged as behind at its usual lag:\n%s", out.String())
		}
		b.group.SetReplayLag("s2", time.Hour)
		write(30)
		if count("replica_behind") != 1 || count("replica_caught_up") != 0 {
			t.Errorf("%d lines, want one for s2:\n%s", count("replica_behind"), out.String())
		}
		b.group.SetReplayLag("s2", replayLag)
		write(30)
		if count("replica_behind") != 1 || count("replica_caught_up") != 1 {
			t.Errorf("want one more line, for the recovery:\n%s", out.String())
		}
	})
}
