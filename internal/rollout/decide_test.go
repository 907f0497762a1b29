package rollout

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/rattancove/rattancove/internal/cluster"
)

var (
	epoch = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	v1    = Version{Revision: 1, Digest: "a"}
	v2    = Version{Revision: 2, Digest: "b"}
	v3    = Version{Revision: 3, Digest: "c"}
)

func at(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

func tickAt(seconds int) Tick {
	return Tick{Now: at(seconds), Bounds: Bounds{Unproven: 6 * time.Second, MaxProofAge: time.Minute}}
}

func reportFrom(peer string, v Version, seconds, members int) PeerReport {
	return PeerReport{Peer: cluster.ProxyID(peer), Version: v, At: at(seconds), Members: members}
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name         string
		observations []Observation
		want         State
	}{
		{
			"a read of the pointer finds the first document",
			[]Observation{PointerRead{v1, at(1)}},
			State{Status: StatusEmpty, Latest: v1, LatestAt: at(1)},
		},
		{
			"a fetched document is proven by the read that found it",
			[]Observation{PointerRead{v1, at(1)}, Installed{v1}, tickAt(2)},
			State{Status: StatusCurrent, InForce: v1, Latest: v1, LatestAt: at(1), ProvenAt: at(1)},
		},
		{
			"a peer reports a newer version",
			[]Observation{PointerRead{v1, at(1)}, Installed{v1}, reportFrom("p", v2, 2, 8), tickAt(3)},
			State{Status: StatusBehind, InForce: v1, Latest: v2, LatestAt: at(2), ProvenAt: at(1)},
		},
		{
			"the process is behind when a newer revision appears during a fetch",
			[]Observation{reportFrom("p", v1, 1, 8), reportFrom("q", v2, 2, 8), Installed{v1}},
			State{Status: StatusBehind, InForce: v1, Latest: v2, LatestAt: at(2)},
		},
		{
			"an older revision is never installed",
			[]Observation{PointerRead{v2, at(1)}, Installed{v2}, reportFrom("p", v1, 2, 8), PointerRead{v1, at(3)}, Installed{v1}},
			State{Status: StatusCurrent, InForce: v2, Latest: v2, LatestAt: at(1), ProvenAt: at(1)},
		},
		{
			"a later read refutes a peer",
			[]Observation{PointerRead{v1, at(1)}, Installed{v1}, reportFrom("p", v3, 2, 8), PointerRead{v1, at(3)}},
			State{Status: StatusCurrent, InForce: v1, Latest: v1, LatestAt: at(3), ProvenAt: at(3)},
		},
		{
			"an earlier read does not refute a peer",
			[]Observation{PointerRead{v1, at(1)}, Installed{v1}, reportFrom("p", v2, 4, 8), PointerRead{v1, at(3)}},
			State{Status: StatusBehind, InForce: v1, Latest: v2, LatestAt: at(4), ProvenAt: at(1)},
		},
		{
			"without a proof the document becomes unproven",
			[]Observation{PointerRead{v1, at(1)}, Installed{v1}, tickAt(8)},
			State{Status: StatusUnproven, InForce: v1, Latest: v1, LatestAt: at(1), ProvenAt: at(1)},
		},
		{
			"the last proof expires after the second limit",
			[]Observation{PointerRead{v1, at(1)}, Installed{v1}, tickAt(8), tickAt(62)},
			State{Status: StatusProofExpired, InForce: v1, Latest: v1, LatestAt: at(1), ProvenAt: at(1)},
		},
		{
			"a minority of the members is no proof",
			[]Observation{PointerRead{v1, at(1)}, Installed{v1}, reportFrom("p", v1, 50, 5), tickAt(62)},
			State{Status: StatusProofExpired, InForce: v1, Latest: v1, LatestAt: at(1), ProvenAt: at(1)},
		},
		{
			"a majority of the members is a proof as of its oldest report",
			[]Observation{PointerRead{v1, at(1)}, Installed{v1}, reportFrom("p", v1, 50, 5), reportFrom("q", v1, 55, 5), tickAt(56)},
			State{Status: StatusCurrent, InForce: v1, Latest: v1, LatestAt: at(1), ProvenAt: at(50)},
		},
		{
			"peers that no longer report still count as members",
			[]Observation{PointerRead{v1, at(1)}, Installed{v1}, reportFrom("p", v1, 2, 5), reportFrom("q", v1, 2, 5), reportFrom("r", v1, 2, 5), reportFrom("p", v1, 65, 2), tickAt(66)},
			State{Status: StatusProofExpired, InForce: v1, Latest: v1, LatestAt: at(1), ProvenAt: at(2)},
		},
		{
			"the report of a single peer is no proof",
			[]Observation{reportFrom("p", v1, 1, 3), Installed{v1}, tickAt(2)},
			State{Status: StatusProofExpired, InForce: v1, Latest: v1, LatestAt: at(1)},
		},
		{
			"the report of a majority is a proof",
			[]Observation{reportFrom("p", v1, 1, 3), Installed{v1}, tickAt(2), reportFrom("p", v1, 3, 3)},
			State{Status: StatusCurrent, InForce: v1, Latest: v1, LatestAt: at(1), ProvenAt: at(3)},
		},
		{
			"another document of the same revision is no proof and is not fetched",
			[]Observation{PointerRead{v1, at(1)}, Installed{v1}, PointerRead{Version{Revision: 1, Digest: "z"}, at(5)}, tickAt(8)},
			State{Status: StatusUnproven, InForce: v1, Latest: v1, LatestAt: at(1), ProvenAt: at(1)},
		},
		{
			"the proof of a bootstrap document is expired until a read finds no pointer",
			[]Observation{Installed{Version{Digest: "x"}}, tickAt(1)},
			State{Status: StatusProofExpired, InForce: Version{Digest: "x"}, Latest: Version{Digest: "x"}},
		},
		{
			"a bootstrap document is current after a read finds no pointer",
			[]Observation{Installed{Version{Digest: "x"}}, tickAt(1), PointerRead{Version{}, at(2)}},
			State{Status: StatusCurrent, InForce: Version{Digest: "x"}, Latest: Version{Digest: "x"}, ProvenAt: at(2)},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := State{Status: StatusEmpty}
			for _, o := range test.observations {
				s = Decide(s, o)
			}
			if diff := cmp.Diff(test.want, s, cmpopts.IgnoreFields(State{}, "Peers", "LatestFromPointer")); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestStatusesMatchChart(t *testing.T) {
	want := []string{string(StatusEmpty), string(StatusCurrent), string(StatusUnproven), string(StatusBehind), string(StatusProofExpired)}
	if diff := cmp.Diff(want, Chart().States()); diff != "" {
		t.Error(diff)
	}
}
