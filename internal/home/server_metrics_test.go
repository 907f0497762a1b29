package home

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rattancove/rattancove/internal/cluster"
)

// TestServerMetrics guards against metrics that do not show which server is loaded, that
// remain after the group has moved, and that appear where they were not before.
func TestServerMetrics(t *testing.T) {
	scrape := func() string {
		var all bytes.Buffer
		metrics.WritePrometheus(&all, false)
		return all.String()
	}
	for _, even := range []bool{false, true} {
		inBubble(t, nil, func(t *testing.T, b *testBench) {
			terms := &testTerms{}
			terms.uses.Store(always)
			h := New(Config{ID: "p1", NoClaims: true, ExactClasses: true, Terms: terms, EvenLoad: even}, b.group.Dialer("p1"))
			h.SetOrganisations(map[string]cluster.Rank{"a": cluster.RankNormal})
			b.own(h)
			b.mustWrite(h, "", "put k v1")
			time.Sleep(time.Second)
			var running sync.WaitGroup
			for range 4 {
				running.Go(func() { _, _, _ = run(h, b.readOf("a", "work 200ms get k")) })
			}
			time.Sleep(150 * time.Millisecond)
			text := scrape()
			for _, want := range []string{
				`rattan_home_server_running{group="orders",server="s1"} 0`, `rattan_home_server_running{group="orders",server="s2"} 2`,
				`rattan_home_server_waiting{group="orders",server="s3"} 0`, `rattan_home_server_statements_total{group="orders",server="s3"} 2`,
				`rattan_home_server_refused_total{group="orders",server="s2"} 0`, `rattan_home_busiest_to_mean{group="orders"} 1.`,
			} {
				if strings.Contains(text, want) != even {
					t.Errorf("even load %v: %s: %v", even, want, !even)
				}
			}
			running.Wait()
			h.Close(context.Background())
			if strings.Contains(scrape(), `group="orders"`) {
				t.Error("metrics of a group that has moved")
			}
		})
	}
}

// TestLabelsAreEscaped guards against names of servers that end the label.
func TestLabelsAreEscaped(t *testing.T) {
	if got := escapeLabel.Replace("a\\\"b\n"); got != `a\\\"b\n` {
		t.Errorf("label %s", got)
	}
}
