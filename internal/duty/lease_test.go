package duty

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/provider/providertest"
)

// fakeProcess is a process that runs a Lease until stop is called.
type fakeProcess struct {
	lease *Lease
	stop  context.CancelFunc
}

func startProcess(t *testing.T, table *providertest.Table, name string, index int, clockStart time.Time) *fakeProcess {
	log := zerolog.Nop()
	p := &fakeProcess{}
	p.lease = New(Config{
		Holder: name, Key: "duty", Table: table, CandidateIndex: func() int { return index }, Log: &log,
		Clock: func() time.Duration { return time.Since(clockStart) },
	})
	ctx, stop := context.WithCancel(t.Context())
	p.stop = stop
	go func() { _ = p.lease.Run(ctx) }()
	return p
}

func TestAnotherTakesOverWithAHigherToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, clockStart := providertest.NewTable(), time.Now()
		first := startProcess(t, table, "a", 0, clockStart)
		time.Sleep(time.Second)
		token, held := first.lease.Held()
		if !held {
			t.Fatal("no process holds the lease")
		}
		second := startProcess(t, table, "b", 1, clockStart)
		defer second.stop()
		time.Sleep(10 * time.Second)
		if _, held := second.lease.Held(); held {
			t.Fatal("two processes hold the lease")
		}
		if again, _ := first.lease.Held(); again != token {
			t.Errorf("the token changed from %d to %d by renewals", token, again)
		}
		first.stop() // stops without a release
		time.Sleep(leaseTTL + 2*maxPollInterval)
		next, held := second.lease.Held()
		if !held || next <= token {
			t.Errorf("token %d after %d, held %v", next, token, held)
		}
	})
}

// TestRestartedHolderTakesOverAtOnce restarts the holder, which then need not wait for the
// lease of its earlier process to expire.
func TestRestartedHolderTakesOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, clockStart := providertest.NewTable(), time.Now()
		first := startProcess(t, table, "a", 0, clockStart)
		time.Sleep(time.Second)
		token, _ := first.lease.Held()
		first.stop() // stops without a release
		other := startProcess(t, table, "b", 1, clockStart)
		defer other.stop()
		restarted := startProcess(t, table, "a", 0, clockStart)
		defer restarted.stop()
		time.Sleep(100 * time.Millisecond)
		if next, held := restarted.lease.Held(); !held || next <= token {
			t.Errorf("token %d after %d, held %v", next, token, held)
		}
		if ended := restarted.lease.Predecessor(); ended != token {
			t.Errorf("the earlier process held token %d, not %d", ended, token)
		}
		if _, held := other.lease.Held(); held {
			t.Error("two processes hold the lease")
		}
	})
}

// TestCheckSoonFindsNewHolder changes the holder while another process polls the row
// at the longest interval: that process finds the new holder soon after CheckSoon.
func TestCheckSoonFindsNewHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, clockStart := providertest.NewTable(), time.Now()
		first := startProcess(t, table, "a", 0, clockStart)
		time.Sleep(time.Second)
		second := startProcess(t, table, "b", 1, clockStart)
		defer second.stop()
		rarePoller := startProcess(t, table, "c", frequentPollers+1, clockStart)
		defer rarePoller.stop()
		time.Sleep(2 * time.Second)
		first.stop()
		time.Sleep(leaseTTL + 3*pollInterval)
		if known := rarePoller.lease.KnownHolder(); known != "a" {
			t.Fatalf("known holder is %q before CheckSoon, want a", known)
		}
		rarePoller.lease.CheckSoon()
		time.Sleep(minCheckInterval)
		if known := rarePoller.lease.KnownHolder(); known != "b" {
			t.Errorf("known holder is %q, want b", known)
		}
	})
}

func TestReleaseHandsOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, clockStart := providertest.NewTable(), time.Now()
		first := startProcess(t, table, "a", 0, clockStart)
		defer first.stop()
		time.Sleep(time.Second)
		second := startProcess(t, table, "b", 0, clockStart)
		defer second.stop()
		time.Sleep(time.Second)
		first.lease.Release(t.Context())
		time.Sleep(2 * pollInterval)
		if _, held := second.lease.Held(); !held {
			t.Error("the lease was not acquired after its release")
		}
		if _, held := first.lease.Held(); held {
			t.Error("the process that released the lease holds it")
		}
	})
}

// TestSeededNeverTwoHolders runs three processes, which restart at times, against a
// table that is sometimes down or loses answers. It checks every 20 ms that at most
// one process holds the lease and that tokens increase from holder to holder.
func TestSeededNeverTwoHolders(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				table, clockStart := providertest.NewTable(), time.Now()
				processes := make([]*fakeProcess, 3)
				for i := range processes {
					processes[i] = startProcess(t, table, fmt.Sprint("p", i), i, clockStart)
				}
				var highest Token
				lastHolder, changes := -1, 0
				for range 3000 {
					time.Sleep(20 * time.Millisecond)
					injectFault(random, table)
					if random.IntN(200) == 0 {
						i := random.IntN(len(processes))
						processes[i].stop()
						processes[i] = startProcess(t, table, fmt.Sprint("p", i), i, clockStart)
						if lastHolder == i {
							lastHolder = -1
						}
					}
					holders := 0
					for i, p := range processes {
						token, held := p.lease.Held()
						if !held {
							continue
						}
						holders++
						if token < highest || token == highest && lastHolder != i && lastHolder != -1 {
							t.Fatalf("process %d holds token %d after %d", i, token, highest)
						}
						if lastHolder != i {
							changes++
						}
						highest, lastHolder = token, i
					}
					if holders > 1 {
						t.Fatalf("%d processes hold the lease", holders)
					}
				}
				table.SetDown(false)
				for _, p := range processes {
					p.stop()
				}
				if changes == 0 {
					t.Error("no process ever held the lease")
				}
			})
		})
	}
}

func injectFault(random *rand.Rand, table *providertest.Table) {
	switch random.IntN(150) {
	case 0:
		table.SetDown(true)
	case 1, 2, 3:
		table.SetDown(false)
	case 4, 5:
		table.LoseResponses(1)
	}
}

// TestHintNamesTheNewestHolder guards against a process that cannot read the row and keeps
// asking an earlier holder for grants, and against hints that replace newer knowledge.
func TestHintNamesTheNewestHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := zerolog.Nop()
		l := New(Config{Holder: "a", Key: "duty", Table: providertest.NewTable(), CandidateIndex: func() int { return 9 }, Log: &log})
		for _, step := range []struct {
			holder string
			token  Token
			want   string
		}{{"", 3, ""}, {"b", 4, "b"}, {"c", 3, "b"}, {"a", 6, "b"}, {"c", 5, "c"}, {"b", 5, "c"}} {
			l.Learn(step.holder, step.token)
			if got := l.KnownHolder(); got != step.want {
				t.Errorf("after the hint %s %d: %q, want %q", step.holder, step.token, got, step.want)
			}
		}
		l.recordHeld(7, 7, l.config.Clock()+leaseTTL)
		l.Learn("b", 6)
		if holder, token := l.Hint(); holder != "a" || token != 7 {
			t.Errorf("the hint of a holder is %s %d", holder, token)
		}
		l.Learn("b", 8)
		if _, held := l.Held(); held || l.KnownHolder() != "b" {
			t.Error("a holder with a lower token than another one considers its lease valid")
		}
	})
}
