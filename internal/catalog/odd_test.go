package catalog

import (
	"testing"

	"github.com/rattancove/rattancove/internal/oddinput"
)

// A peer sends an odd catalog. The import fails or changes nothing that could harm, and
// the process goes on.
func TestOddCatalogOfAPeerDoesNotEndTheProcess(t *testing.T) {
	tracker := newTracker()
	tracker.SetConfiguration(configuration(3, "d"), OriginStore)
	tracker.SetServers([]Server{{ID: "s1", Group: "g"}}, coverageUpTo(10), OriginStore)
	valid, err := tracker.Export(Known{})
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range oddinput.Documents(string(valid)) {
		_ = tracker.Import([]byte(text))
		if version, _ := tracker.Versions(); version < 3 {
			t.Fatalf("version %d after %.100s", version, text)
		}
	}
}
