package home

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/statement"
)

// refusalLine is the log line of a refusal.
type refusalLine struct {
	Event                         int
	Cause, Lane, Rank             string
	Organisation                  string
	Queued                        int
	Own                           int `json:"queued_own"`
	Omitted                       int
	Servers                       []refusalServer
	Group, Request, Name, Message string
}

type refusalServer struct {
	Server      string
	Primary     bool
	Busy, Slots int
	Behind      float64
	Excluded    string
}

// TestRefusalIsExplained guards against a refusal that leaves no trace, against one log
// line for each refusal of a flood, and against organisations as labels of a metric.
func TestRefusalIsExplained(t *testing.T) {
	change := func(d *environment.Document) { d.Ranks.Normal.Queue = 5 }
	inBubble(t, change, func(t *testing.T, b *testBench) {
		var written bytes.Buffer
		log := zerolog.New(zerolog.SyncWriter(&written))
		h := New(Config{ID: "p1", Log: &log}, b.group.Dialer("p1"))
		b.own(h)
		b.mustWrite(h, "", "put k v")
		time.Sleep(time.Second)
		flood := func() {
			var running sync.WaitGroup
			for range 50 {
				running.Go(func() {
					r := b.request(statement.ClassPrimaryRead, "work 100ms get k")
					r.Organisation = "acme"
					_, _, _ = run(h, r)
				})
			}
			running.Wait()
		}
		flood()
		time.Sleep(refusalLineInterval)
		flood()
		lines := refusalLines(t, written.String())
		if len(lines) != 2 {
			t.Fatalf("%d lines for the refusals of two seconds: %s", len(lines), written.String())
		}
		slots := b.document.Groups[0].Servers[0].Slots
		want := refusalLine{
			Cause: "queue_full", Lane: "primary", Rank: "normal", Organisation: "acme", Queued: 5, Own: 5, Omitted: 50 - 5 - slots - 1,
			Servers: []refusalServer{
				{Server: "s1", Primary: true, Busy: slots, Slots: slots},
				{Server: "s2", Slots: slots, Excluded: "needs the primary"},
				{Server: "s3", Slots: slots, Excluded: "needs the primary"},
			},
		}
		got := lines[1]
		got.Event, got.Group, got.Request, got.Name = 0, "", "", ""
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
		var all bytes.Buffer
		metrics.WritePrometheus(&all, false)
		if text := all.String(); strings.Contains(text, "acme") || !strings.Contains(text, `rattan_home_refusals_total{rank="normal",lane="primary",cause="queue_full"}`) {
			t.Error("the metric of refusals is missing or names the organisation")
		}
	})
}

func refusalLines(t *testing.T, log string) []refusalLine {
	t.Helper()
	var lines []refusalLine
	for text := range strings.Lines(log) {
		var line refusalLine
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatal(err)
		}
		if line.Event == eventRequestRefused.Number {
			lines = append(lines, line)
		}
	}
	return lines
}

// TestRefusalNamesReplicasBehind guards against an explanation that does not tell why a
// replica with free slots did not serve a read.
func TestRefusalNamesReplicasBehind(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		h := b.home("p1")
		b.mustWrite(h, "", "put k v")
		time.Sleep(time.Second)
		for _, id := range []cluster.ServerID{"s2", "s3"} {
			b.group.SetReplayLag(id, time.Hour)
		}
		written := b.mustWrite(h, "", "put k w")
		time.Sleep(3 * time.Second)
		o := b.ownerOf(h)
		r := o.newRequest(b.request(statement.ClassRead, "get k"), nil)
		r.Floor, r.FloorExact = written.Position, true
		q, err := o.routeQuery(r)
		if err != nil {
			t.Fatal(err)
		}
		var line refusalLine
		var text bytes.Buffer
		log := zerolog.New(&text)
		log.Info().Array("servers", o.explainServers(&q, time.Now())).Send()
		if err := json.Unmarshal(text.Bytes(), &line); err != nil {
			t.Fatal(err)
		}
		for _, s := range line.Servers {
			if behind := s.Excluded == "not fresh enough" && s.Behind > 2000; behind == s.Primary {
				t.Errorf("%+v", s)
			}
		}
	})
}
