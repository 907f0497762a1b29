package rollout

import (
	"embed"
	"maps"
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/statechart"
)

//go:embed charts/document_rollout.yaml
var chartFiles embed.FS

var chart = statechart.MustLoad(chartFiles, "charts/document_rollout.yaml")

// Chart returns the state chart of the document's rollout in one process.
func Chart() *statechart.Chart { return chart }

// Status is a state of the chart.
type Status string

// States of the chart.
const (
	// StatusEmpty means that no document is held yet.
	StatusEmpty Status = "empty"
	// StatusCurrent means that the document held is proven to be the newest.
	StatusCurrent Status = "current"
	// StatusUnproven means that the last proof is older than a few looks.
	StatusUnproven Status = "unproven"
	// StatusBehind means that a newer revision exists and is not held yet.
	StatusBehind Status = "behind"
	// StatusOld means that the last proof is older than the bound.
	StatusOld Status = "old"
)

// Version names one revision of the environment's document.
type Version struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
}

// State is what a process knows of its document. It is a value.
type State struct {
	Status Status
	// Held is the version in force.
	Held Version
	// Wanted is the newest version known to exist, and WantedAt when it became known.
	Wanted   Version
	WantedAt time.Time
	// WantedProven is set when the pointer row named Wanted, not only a peer.
	WantedProven bool
	// Proof is when the last look began that showed nothing newer than Held.
	Proof time.Time
	// Heard holds the last word of each peer.
	Heard map[cluster.ProxyID]Word
}

// Word is the version that a peer held at a time.
type Word struct {
	Version Version
	At      time.Time
}

// Bounds on the age of the last proof.
type Bounds struct {
	// Unproven is the age past which the document is reported as unproven.
	Unproven time.Duration
	// Expired is the age past which new callers should be refused.
	Expired time.Duration
}

// Observation is something that a process learned. It is one of PointerRead,
// PeerHeard, Installed and Tick.
type Observation interface{ observation() }

// PointerRead is an answer of the table service. A missing row is the zero version.
type PointerRead struct {
	Version Version
	// Begun is when the read was sent.
	Begun time.Time
}

// PeerHeard is the version that a peer holds.
type PeerHeard struct {
	Peer    cluster.ProxyID
	Version Version
	At      time.Time
	// Members is the number of members known, this process included.
	Members int
}

// Installed tells that a document was checked and put in force.
type Installed struct {
	Version Version
}

// Tick tells the time.
type Tick struct {
	Now    time.Time
	Bounds Bounds
}

func (PointerRead) observation() {}
func (PeerHeard) observation()   {}
func (Installed) observation()   {}
func (Tick) observation()        {}

// Decide returns the state after an observation. It does not change s.
func Decide(s State, o Observation) State {
	switch o := o.(type) {
	case PointerRead:
		return s.pointerRead(o)
	case PeerHeard:
		return s.peerHeard(o)
	case Installed:
		return s.installed(o)
	case Tick:
		return s.tick(o)
	default:
		return s
	}
}

// fire moves the status along the chart; an event without a transition leaves it.
func (s State) fire(event string) State {
	if to, err := chart.Next(string(s.Status), event); err == nil {
		s.Status = Status(to)
	}
	return s
}

func (s State) pointerRead(o PointerRead) State {
	// The row only rises, so a later look that shows less refutes what a peer said.
	if o.Version.Revision < s.Wanted.Revision && o.Begun.After(s.WantedAt) && s.Wanted.Revision > s.Held.Revision {
		s.Wanted, s.WantedAt, s.WantedProven = o.Version, o.Begun, true
	}
	if o.Version == s.Wanted && o.Begun.After(s.WantedAt) {
		s.WantedAt, s.WantedProven = o.Begun, true
	}
	s = s.want(o.Version, o.Begun, true)
	if o.Version == s.Held || o.Version.Revision == 0 && s.Held.Revision == 0 {
		s = s.prove(o.Begun)
	}
	return s
}

// want notes a version that is newer than all known ones.
func (s State) want(v Version, at time.Time, proven bool) State {
	if v.Revision <= s.Wanted.Revision || v.Revision <= s.Held.Revision {
		return s
	}
	s.Wanted, s.WantedAt, s.WantedProven = v, at, proven
	return s.fire("seen")
}

func (s State) prove(begun time.Time) State {
	if s.Status == StatusEmpty || s.Wanted.Revision > s.Held.Revision {
		return s
	}
	if begun.After(s.Proof) {
		s.Proof = begun
	}
	return s.fire("proven")
}

func (s State) peerHeard(o PeerHeard) State {
	s.Heard = maps.Clone(s.Heard)
	if s.Heard == nil {
		s.Heard = map[cluster.ProxyID]Word{}
	}
	s.Heard[o.Peer] = Word{Version: o.Version, At: o.At}
	s = s.want(o.Version, o.At, false)
	if at, ok := s.agreedAt(max(o.Members, len(s.Heard)+1), o.At); ok && at.After(s.Proof) {
		s = s.prove(at)
	}
	return s
}

// agreedAt returns the time since which a majority of the members, this
// process included, has said that it holds nothing newer.
func (s State) agreedAt(members int, now time.Time) (time.Time, bool) {
	if s.Held.Revision == 0 {
		return time.Time{}, false
	}
	times := []time.Time{now}
	for _, word := range s.Heard {
		if word.Version == s.Held {
			times = append(times, word.At)
		}
	}
	need := cluster.Majority(members)
	if members < 2 || len(times) < need {
		return time.Time{}, false
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[need-1], true
}

func (s State) installed(o Installed) State {
	if s.Status != StatusEmpty && o.Version.Revision <= s.Held.Revision {
		return s
	}
	s.Held = o.Version
	if s.Held.Revision < s.Wanted.Revision {
		return s.fire("superseded")
	}
	if s.Held == s.Wanted && s.WantedProven && s.WantedAt.After(s.Proof) {
		s.Proof = s.WantedAt
	}
	s.Wanted = s.Held
	return s.fire("installed")
}

func (s State) tick(o Tick) State {
	age := o.Now.Sub(s.Proof)
	switch {
	case age > o.Bounds.Expired:
		return s.fire("expired")
	case age > o.Bounds.Unproven:
		return s.fire("unproven")
	default:
		return s
	}
}

// Missing returns the version to fetch. The second result is false when the
// newest known version is held.
func (s State) Missing() (Version, bool) {
	return s.Wanted, s.Wanted.Revision > s.Held.Revision
}

// Forget drops the words of peers heard before t. It drops none while there is
// no proof: the peers that fell silent count among the members until then, so
// that a cut-off minority does not come to pass for the whole.
func (s State) Forget(t time.Time) State {
	if s.Status != StatusCurrent {
		return s
	}
	s.Heard = maps.Clone(s.Heard)
	maps.DeleteFunc(s.Heard, func(_ cluster.ProxyID, w Word) bool { return w.At.Before(t) })
	return s
}
