package integration

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/rattancove/rattancove/internal/standin/userplatform"
)

// drawnBeforeOrganisations is the hash of what seeds drew, and of the configuration and the
// settings of their runs, before there were organisations.
const drawnBeforeOrganisations uint64 = 11474256507584320306

// TestSeedsWithoutOrganisationsAreUnchanged guards against seeds below firstOrganisationSeed
// that no longer reproduce what they have found.
func TestSeedsWithoutOrganisationsAreUnchanged(t *testing.T) {
	h := fnv.New64a()
	for seed := range uint64(1000) {
		s := &soak{t: t, seed: seed, plannedOnly: seed%3 == 2, groups: []*userplatform.Group{{Name: "group0"}, {Name: "group1"}}}
		r := rand.New(rand.NewPCG(seed, 5))
		for range 100 {
			_, _ = fmt.Fprintln(h, r.ExpFloat64(), s.drawFault(r).name, r.Int64N(int64(maxFaultDuration)))
		}
		s.history = newCallerHistory(s)
		s.edges = []*soakEdge{{name: "a"}, {name: "b"}, {name: "c"}}
		s.edges[1].inRotation.Store(true)
		for i := range soakCallers {
			c := s.newCaller(fmt.Sprintf("c%d", i), i)
			c.replaceItems()
			_, _ = fmt.Fprintln(h, c.name, c.kind, c.group, c.single, c.connect(), c.edge.name, c.random.Uint64())
		}
	}
	s := &soak{t: t, dir: t.TempDir(), store: userplatform.NewStore(), groups: []*userplatform.Group{{Name: "group0"}, {Name: "group1"}}}
	for range 3 {
		s.putConfiguration()
		_, _ = fmt.Fprintf(h, "%s\n", s.store.Rows()[0].Value)
	}
	e := &soakEdge{soak: s, name: "front-0", peerRelay: startRelay(t, ""), storeRelay: startRelay(t, ""), promotionRelay: startRelay(t, "")}
	s.edges = []*soakEdge{e}
	e.writeSettings()
	settings, err := os.ReadFile(filepath.Join(s.dir, "front-0.conf"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = h.Write(regexp.MustCompile(`(127\.0\.0\.1:|port_range=)[0-9,]+`).ReplaceAll(settings, nil))
	if got := h.Sum64(); got != drawnBeforeOrganisations {
		t.Errorf("the hash is %d, want %d", got, drawnBeforeOrganisations)
	}
}
