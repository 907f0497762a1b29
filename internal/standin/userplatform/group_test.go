package userplatform

import "testing"

// A primary that crashed comes back as a replica if another server was promoted
// meanwhile, also when that one is down: the servers know the promotion, not only those
// that run. Otherwise it would acknowledge writes on a branch that is lost.
func TestCrashedPrimaryReturnsAsReplicaAfterAPromotion(t *testing.T) {
	g, err := NewGroup("g", 3, NewStore())
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	g.Kill("g-0")
	g.promote(g.findServer("g-1"))
	g.Kill("g-1")
	if _, err := g.Restart("g-0"); err != nil {
		t.Fatal(err)
	}
	if primary := g.Primary(); primary != "" {
		t.Errorf("the primary is %s, want none", primary)
	}
	if _, err := g.Restart("g-1"); err != nil {
		t.Fatal(err)
	}
	if primary := g.Primary(); primary != "g-1" {
		t.Errorf("the primary is %q, want g-1", primary)
	}
}
