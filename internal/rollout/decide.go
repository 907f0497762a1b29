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
	// Active is the version in force.
	Active Version
	// Latest is the newest version known to exist, and WantedAt when it became known.
	Latest   Version
	LatestAt time.Time
	// LatestFromPointer is set when the pointer row named Wanted, not only a peer.
	LatestFromPointer bool
	// ProvenAt is when the last look began that showed nothing newer than Held.
	ProvenAt time.Time
	// Peers holds the last word of each peer.
	Peers map[cluster.ProxyID]PeerVersion
}

// PeerVersion is the version that a peer held at a time.
type PeerVersion struct {
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
	// StartedAt is when the read was sent.
	StartedAt time.Time
}

// PeerReport is the version that a peer holds.
type PeerReport struct {
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
func (PeerReport) observation()  {}
func (Installed) observation()   {}
func (Tick) observation()        {}

// Decide returns the state after an observation. It does not change s.
func Decide(s State, o Observation) State {
	switch o := o.(type) {
	case PointerRead:
		return s.onPointerRead(o)
	case PeerReport:
		return s.onPeerReport(o)
	case Installed:
		return s.onInstalled(o)
	case Tick:
		return s.onTick(o)
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

func (s State) onPointerRead(o PointerRead) State {
	// The row only rises, so a later look that shows less refutes what a peer said.
	if o.Version.Revision < s.Latest.Revision && o.StartedAt.After(s.LatestAt) && s.Latest.Revision > s.Active.Revision {
		s.Latest, s.LatestAt, s.LatestFromPointer = o.Version, o.StartedAt, true
	}
	if o.Version == s.Latest && o.StartedAt.After(s.LatestAt) {
		s.LatestAt, s.LatestFromPointer = o.StartedAt, true
	}
	s = s.recordLatest(o.Version, o.StartedAt, true)
	if o.Version == s.Active || o.Version.Revision == 0 && s.Active.Revision == 0 {
		s = s.recordProof(o.StartedAt)
	}
	return s
}

// recordLatest notes a version that is newer than all known ones.
func (s State) recordLatest(v Version, at time.Time, fromPointer bool) State {
	if v.Revision <= s.Latest.Revision || v.Revision <= s.Active.Revision {
		return s
	}
	s.Latest, s.LatestAt, s.LatestFromPointer = v, at, fromPointer
	return s.fire("seen")
}

func (s State) recordProof(at time.Time) State {
	if s.Status == StatusEmpty || s.Latest.Revision > s.Active.Revision {
		return s
	}
	if at.After(s.ProvenAt) {
		s.ProvenAt = at
	}
	return s.fire("proven")
}

func (s State) onPeerReport(o PeerReport) State {
	s.Peers = maps.Clone(s.Peers)
	if s.Peers == nil {
		s.Peers = map[cluster.ProxyID]PeerVersion{}
	}
	s.Peers[o.Peer] = PeerVersion{Version: o.Version, At: o.At}
	s = s.recordLatest(o.Version, o.At, false)
	if agreed, ok := s.majorityAgreement(max(o.Members, len(s.Peers)+1), o.At); ok && agreed.After(s.ProvenAt) {
		s = s.recordProof(agreed)
	}
	return s
}

// majorityAgreement returns the time since which a majority of the members, this
// process included, has said that it holds nothing newer.
func (s State) majorityAgreement(members int, now time.Time) (time.Time, bool) {
	if s.Active.Revision == 0 {
		return time.Time{}, false
	}
	times := []time.Time{now}
	for _, peer := range s.Peers {
		if peer.Version == s.Active {
			times = append(times, peer.At)
		}
	}
	majority := cluster.Majority(members)
	if members < 2 || len(times) < majority {
		return time.Time{}, false
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[majority-1], true
}

func (s State) onInstalled(o Installed) State {
	if s.Status != StatusEmpty && o.Version.Revision <= s.Active.Revision {
		return s
	}
	s.Active = o.Version
	if s.Active.Revision < s.Latest.Revision {
		return s.fire("superseded")
	}
	if s.Active == s.Latest && s.LatestFromPointer && s.LatestAt.After(s.ProvenAt) {
		s.ProvenAt = s.LatestAt
	}
	s.Latest = s.Active
	return s.fire("installed")
}

func (s State) onTick(o Tick) State {
	age := o.Now.Sub(s.ProvenAt)
	switch {
	case age > o.Bounds.Expired:
		return s.fire("expired")
	case age > o.Bounds.Unproven:
		return s.fire("unproven")
	default:
		return s
	}
}

// VersionToFetch returns the version to fetch. The second result is false when the
// newest known version is held.
func (s State) VersionToFetch() (Version, bool) {
	return s.Latest, s.Latest.Revision > s.Active.Revision
}

// ForgetPeers drops the words of peers heard before t. It drops none while there is
// no proof: the peers that fell silent count among the members until then, so
// that a cut-off minority does not come to pass for the whole.
func (s State) ForgetPeers(t time.Time) State {
	if s.Status != StatusCurrent {
		return s
	}
	s.Peers = maps.Clone(s.Peers)
	maps.DeleteFunc(s.Peers, func(_ cluster.ProxyID, peer PeerVersion) bool { return peer.At.Before(t) })
	return s
}
