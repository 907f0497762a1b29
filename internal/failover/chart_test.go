package failover

import (
	"os"
	"strings"
	"testing"
)

func TestDesignNoteShowsTheChart(t *testing.T) {
	note, err := os.ReadFile("../../docs/design/failover.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(note), Chart().Mermaid()) {
		t.Errorf("docs/design/failover.md does not show the chart:\n%s", Chart().Mermaid())
	}
}

// TestChartHasEveryName checks that the code and the chart use the same names.
func TestChartHasEveryName(t *testing.T) {
	phases := []Phase{
		PhaseHealthy, PhaseSuspected, PhaseSwitchover, PhaseSealing, PhaseElecting,
		PhasePromoting, PhaseFollowing, PhaseWaitingMajority, PhaseBackoff,
	}
	events := []string{
		eventFailing, eventLeaving, eventRecovered, eventConfirmed, eventNoMajority, eventMajority,
		eventCaughtUp, eventElected, eventPromoted, eventConverged, eventSuperseded, eventFailed, eventRetry,
	}
	known := map[string]bool{}
	for _, name := range append(Chart().States(), Chart().Events()...) {
		known[name] = true
	}
	for _, p := range phases {
		if !known[string(p)] {
			t.Errorf("the chart has no state %q", p)
		}
	}
	for _, e := range events {
		if !known[e] {
			t.Errorf("the chart has no event %q", e)
		}
	}
	if len(known) != len(phases)+len(events) {
		t.Errorf("the chart has %d names, the code %d", len(known), len(phases)+len(events))
	}
}
