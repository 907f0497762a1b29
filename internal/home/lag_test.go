package home

import (
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/route"
)

// TestLagIsNotTakenForThePauseBetweenStatusCalls lets a replica that is 50 ms
// behind be looked at once in 200 ms, after commits that are 200 ms apart.
func TestLagIsNotTakenForThePauseBetweenStatusCalls(t *testing.T) {
	start := time.Unix(1000, 0)
	commits := route.NewHistory(64, time.Millisecond)
	var l lagEstimate
	l.observe(cluster.Position{Term: 1, Offset: 1}, start, start, commits)
	for i := 1; i <= 10; i++ {
		committed := start.Add(time.Duration(i) * 200 * time.Millisecond)
		commits = commits.With(route.Sample{At: committed, Position: cluster.Position{Term: 1, Offset: uint64(i + 1)}})
		looked := committed.Add(199 * time.Millisecond)
		l.observe(cluster.Position{Term: 1, Offset: uint64(i + 1)}, looked, looked, commits)
	}
	if l.value > 50*time.Millisecond {
		t.Fatalf("estimate %v for a lag of at most 50 ms", l.value)
	}
}

func TestLagRisesWithItsLowerBound(t *testing.T) {
	l := lagEstimate{}
	l.within(0, 300*time.Millisecond)
	for range 20 {
		l.within(400*time.Millisecond, 500*time.Millisecond)
	}
	if l.value < 350*time.Millisecond {
		t.Fatalf("estimate %v for a lag of at least 400 ms", l.value)
	}
}
