package home

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

// evenWorkload is the load of organisations of uneven size on one group.
type evenWorkload struct {
	lag time.Duration
	// rate is the number of statements a second, one in five of which is a write.
	rate float64
	// keys is whether the statements belong to organisations.
	keys bool
}

// evenResult counts what a workload took.
type evenResult struct {
	reads, opens, statusCalls, refused int
	byServer                           map[cluster.ServerID]int
	latencies                          []time.Duration
}

func (w evenWorkload) run(t *testing.T, config Config, ranks map[string]cluster.Rank) (res evenResult) {
	t.Helper()
	change := func(d *environment.Document) {
		d.Ranks.Normal.Ack = environment.AckServer
		for i := range d.Groups[0].Servers {
			d.Groups[0].Servers[i].Slots, d.Groups[0].Servers[i].Connections = 4, 50
		}
	}
	inBubble(t, change, func(t *testing.T, b *testBench) {
		for _, id := range []cluster.ServerID{"s2", "s3"} {
			b.group.SetReplayLag(id, w.lag)
		}
		terms := &testTerms{}
		terms.uses.Store(always)
		config.ID, config.NoClaims, config.ExactClasses, config.Terms = "p1", true, true, terms
		h := New(config, b.group.Dialer("p1"))
		h.SetOrganisations(ranks)
		b.own(h)
		b.mustWrite(h, "s", "put k v")
		time.Sleep(4 * time.Second)
		calls := statusCallsTotal.Get()
		res = evenResult{byServer: map[cluster.ServerID]int{}}
		random := rand.New(rand.NewPCG(workloadSeed, 7))
		var mu sync.Mutex
		floors := map[string]cluster.Position{}
		var running sync.WaitGroup
		for begun := time.Now(); time.Since(begun) < 20*time.Second; {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / w.rate))
			// Squaring makes the lowest numbers the most frequent ones.
			session := int(random.Float64() * random.Float64() * 40)
			cost := time.Duration(random.ExpFloat64() * float64(5*time.Millisecond))
			r := b.request(statement.ClassRead, fmt.Sprintf("work %v get k%d", cost, session))
			if random.IntN(5) == 0 {
				r = b.request(statement.ClassWrite, fmt.Sprintf("work %v put k%d v", cost, session))
			}
			r.Session, r.FloorExact = fmt.Sprint(session), true
			mu.Lock()
			r.Floor = floors[r.Session]
			mu.Unlock()
			if session%2 == 0 {
				r.Freshness = statement.Freshness{Mode: statement.FreshnessBounded, MaxAge: time.Second}
			}
			if w.keys {
				r.Organisation = fmt.Sprint("o", session/4)
			}
			running.Go(func() {
				arrived := time.Now()
				_, result, err := run(h, r)
				mu.Lock()
				defer mu.Unlock()
				floors[r.Session] = cluster.MaxPosition(floors[r.Session], result.Position)
				switch {
				case err != nil:
					res.refused++
				case r.First.Class == statement.ClassRead:
					res.reads++
					res.byServer[result.Server]++
					res.latencies = append(res.latencies, time.Since(arrived))
				}
			})
		}
		running.Wait()
		res.statusCalls = int(statusCallsTotal.Get() - calls)
		for _, id := range allServers {
			res.opens += b.group.Usage(id).Opens
		}
	})
	return res
}

// TestEvenLoadAsksServersNothingMore guards against choices that need more status calls or
// connections than those before.
func TestEvenLoadAsksServersNothingMore(t *testing.T) {
	organisations := map[string]cluster.Rank{"o0": cluster.RankNormal}
	opens := map[bool]int{}
	for _, w := range []evenWorkload{
		{5 * time.Millisecond, 100, true},
		{50 * time.Millisecond, 800, true},
		{150 * time.Millisecond, 300, true},
		{5 * time.Millisecond, 100, false},
	} {
		calls := map[bool]int{}
		for _, even := range []bool{false, true} {
			r := w.run(t, Config{EvenLoad: even}, organisations)
			opens[even] += r.opens
			calls[even] = r.statusCalls
			t.Logf("lag %v, %v/s, keys %v, even %v: reads by server %v, p50 %v p99 %v, %d refused, %d connections opened, %d status calls",
				w.lag, w.rate, w.keys, even, r.byServer, percentile(r.latencies, 50).Round(100*time.Microsecond),
				percentile(r.latencies, 99).Round(100*time.Microsecond), r.refused, r.opens, r.statusCalls)
			ratio := float64(r.byServer["s2"]) / float64(r.byServer["s3"])
			if even && (ratio < 0.8 || ratio > 1.25) {
				t.Errorf("%+v: reads by server %v", w, r.byServer)
			}
			if r.refused > 0 {
				t.Errorf("%+v, even %v: %d refused", w, even, r.refused)
			}
		}
		if calls[true] > calls[false] {
			t.Errorf("%+v: %d status calls, %d before", w, calls[true], calls[false])
		}
	}
	if opens[true] > opens[false] {
		t.Errorf("%d connections opened, %d before", opens[true], opens[false])
	}
}

// TestNoEvenLoadWithoutOrganisations guards against other choices than before where the
// configuration lists no organisations, and in programs that do not ask for even load.
func TestNoEvenLoadWithoutOrganisations(t *testing.T) {
	w := evenWorkload{5 * time.Millisecond, 100, false}
	for _, after := range []evenResult{w.run(t, Config{EvenLoad: true}, nil), w.run(t, Config{}, map[string]cluster.Rank{"a": cluster.RankNormal})} {
		if after.byServer["s2"] < 2*after.byServer["s3"] || after.byServer["s1"] > 0 {
			t.Errorf("reads by server %v", after.byServer)
		}
	}
}

// TestEvenLoadWithUnequalVMs guards against owners that keep the choice that they began with
// when the VMs turn out to be of unequal capacity, or no longer to be.
func TestEvenLoadWithUnequalVMs(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		h := New(Config{ID: "p1", EvenLoad: true}, b.group.Dialer("p1"))
		b.own(h)
		spread := func() bool {
			b.fullGroup(h, "")() // for idle connections to both replicas
			reads := map[cluster.ServerID]int{}
			for range 20 {
				_, result, err := run(h, b.request(statement.ClassRead, "get k"))
				if err != nil {
					t.Fatal(err)
				}
				reads[result.Server]++
			}
			return reads["s2"] > 5 && reads["s3"] > 5
		}
		for _, unequal := range []bool{false, true, false} {
			h.SetUnequalVMs(unequal)
			time.Sleep(time.Second)
			if got := spread(); got != unequal {
				t.Errorf("unequal VMs %v: reads are spread: %v", unequal, got)
			}
		}
	})
}

// fullGroup occupies all slots of the replicas with reads and returns what ends them.
func (b *testBench) fullGroup(h *Home, organisation string) func() {
	var running sync.WaitGroup
	for range 4 {
		running.Go(func() { _, _, _ = run(h, b.readOf(organisation, "work 200ms get k")) })
	}
	time.Sleep(50 * time.Millisecond)
	return running.Wait
}

func (b *testBench) readOf(organisation, text string) *statement.Request {
	r := b.request(statement.ClassRead, text)
	r.Organisation, r.FloorExact = organisation, true
	return r
}

// TestReadTakesSpareSlotOfPrimary guards against reads that wait for full replicas while the
// primary is idle, and against spare slots that cost a connection, a proof or a slot that
// is not spare.
func TestReadTakesSpareSlotOfPrimary(t *testing.T) {
	for name, tt := range map[string]struct {
		even, idle, current bool
		busy, behind        bool
		want                bool
	}{
		"replicas catch up":         {even: true, idle: true, current: true, behind: true},
		"spare slot":                {even: true, idle: true, current: true, want: true},
		"no connection":             {even: true, current: true},
		"term needs a proof":        {even: true, idle: true},
		"the only slot beside busy": {even: true, idle: true, current: true, busy: true},
		"as before":                 {idle: true, current: true},
	} {
		withGrants(t, func(t *testing.T, b *testBench, h *Home, terms *testTerms) {
			h.config.EvenLoad = tt.even
			h.SetOrganisations(map[string]cluster.Rank{"a": cluster.RankNormal})
			organisation := "b"
			if tt.idle {
				organisation = "a"
			}
			for range 2 {
				w := b.request(statement.ClassWrite, "put k v2")
				w.Organisation = "a"
				if _, _, err := run(h, w); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(300 * time.Millisecond)
			read := b.readOf(organisation, "get k")
			if tt.behind {
				w := b.request(statement.ClassWrite, "put k v3")
				w.Organisation = "a"
				_, result, err := run(h, w)
				if err != nil {
					t.Fatal(err)
				}
				read.Floor = result.Position
			} else {
				defer b.fullGroup(h, organisation)()
			}
			if tt.busy {
				go func() { _, _, _ = run(h, b.request(statement.ClassWrite, "work 40ms put k v3")) }()
				time.Sleep(time.Millisecond)
			}
			if !tt.current {
				terms.uses.Store(0)
			}
			begun := time.Now()
			_, result, err := run(h, read)
			took := time.Since(begun)
			if atOnce := result.Primary && took < 30*time.Millisecond; err != nil || atOnce != tt.want {
				t.Errorf("%s: %+v after %v, %v", name, result, took, err)
			}
		})
	}
}

// errorDialer opens connections to one server that refuse every statement with an error,
// or none at all where the code is empty.
type errorDialer struct {
	backend.Dialer
	server cluster.ServerID
	code   errcode.Code
}

type errorConn struct {
	backend.Conn
	err error
}

func (d *errorDialer) Dial(ctx context.Context, s cluster.Server, g cluster.GroupName, organisation string, c backend.Claim) (backend.Conn, error) {
	if s.ID == d.server && d.code.Name == "" {
		return nil, errcode.New(errcode.ConnectionLost, "connect", string(s.ID))
	}
	conn, err := d.Dialer.Dial(ctx, s, g, organisation, c)
	if s.ID != d.server || err != nil {
		return conn, err
	}
	return &errorConn{conn, errcode.New(d.code, "execute", string(s.ID))}, nil
}

func (c *errorConn) Exchange(context.Context, *backend.Exchange, statement.Conversation) (backend.Result, error) {
	return backend.Result{}, c.err
}

// TestRefusalsOfServersAreRecorded guards against a server that looks free because it refuses
// or fails its statements at once, and against one that counts as full because it is behind.
func TestRefusalsOfServersAreRecorded(t *testing.T) {
	for name, tt := range map[string]struct {
		code   errcode.Code
		server cluster.ServerID
		class  statement.Class
		marked bool
	}{
		"busy replica":         {errcode.ServerBusy, "s2", statement.ClassRead, true},
		"busy primary":         {errcode.ServerBusy, "s1", statement.ClassWrite, true},
		"failing replica":      {errcode.ServerFailed, "s2", statement.ClassRead, true},
		"no connection":        {errcode.Code{}, "s2", statement.ClassRead, true},
		"replica behind":       {errcode.ReplicaBehind, "s2", statement.ClassRead, false},
		"primary that was one": {errcode.NotPrimary, "s1", statement.ClassWrite, false},
	} {
		inBubble(t, nil, func(t *testing.T, b *testBench) {
			d := &errorDialer{b.group.Dialer("p1"), tt.server, tt.code}
			h := New(Config{ID: "p1", EvenLoad: true}, d)
			h.SetOrganisations(map[string]cluster.Rank{"a": cluster.RankNormal})
			b.own(h)
			time.Sleep(time.Second)
			r := b.request(tt.class, "get k")
			r.FloorExact, r.Timeout = true, time.Second
			_, _, _ = run(h, r)
			if refused := h.owners["orders"].dispatcher.Load(tt.server).Refused; refused > 0 != tt.marked {
				t.Errorf("%s: %d refusals recorded", name, refused)
			}
		})
	}
}

// TestTurnsOpenNoConnections guards against reads without an organisation that open a connection
// to each replica in turn while one of them has an idle one.
func TestTurnsOpenNoConnections(t *testing.T) {
	withGrants(t, func(t *testing.T, b *testBench, h *Home, _ *testTerms) {
		h.config.EvenLoad = true
		h.SetOrganisations(map[string]cluster.Rank{"a": cluster.RankNormal})
		time.Sleep(time.Second)
		for range 6 {
			if _, _, err := run(h, b.readOf("", "get k")); err != nil {
				t.Fatal(err)
			}
		}
		if opens := b.group.Usage("s2").Opens + b.group.Usage("s3").Opens; opens != 1 {
			t.Errorf("%d connections opened to replicas", opens)
		}
	})
}
