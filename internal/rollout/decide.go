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

// Chart returns the state chart of a document's rollout in one process.
func Chart() *statechart.Chart { return chart }

// Status is a state of the chart.
type Status string

// States of the chart.
const (
	// StatusEmpty means that no document is in force yet.
	StatusEmpty Status = "empty"
	// StatusCurrent means that the document in force is proven to be the newest.
	StatusCurrent Status = "current"
	// StatusUnproven means that the last proof is older than Bounds.Unproven.
	StatusUnproven Status = "unproven"
	// StatusBehind means that a newer revision exists and is not in force yet.
	StatusBehind Status = "behind"
	// StatusProofExpired means that the last proof is older than Bounds.Expired.
	StatusProofExpired Status = "old"
)

// Version identifies one revision of the environment document.
type Version struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
}

// State is the state of a document's rollout in one process. It is immutable.
type State struct {
	Status Status
	// InForce is the version of the document in force.
	InForce Version
	// Latest is the newest version known to exist, and LatestAt the time at which
	// it was last learned.
	Latest   Version
	LatestAt time.Time
	// LatestFromPointer is set when Latest was read from the pointer row, and not
	// only reported by a peer.
	LatestFromPointer bool
	// ProvenAt is the time for which the last proof showed nothing newer than InForce.
	ProvenAt time.Time
	// Peers holds the last report of each peer.
	Peers map[cluster.ProxyID]PeerVersion
}

// PeerVersion is the version that a peer held at a time.
type PeerVersion struct {
	Version Version
	At      time.Time
}

// Bounds are limits on the age of the last proof.
type Bounds struct {
	// Unproven is the age above which the document is reported as unproven.
	Unproven time.Duration
	// MaxProofAge is the age above which new callers should be refused.
	MaxProofAge time.Duration
}

// Observation is an input of Decide: a PointerRead, PeerReport, Installed or
// Tick.
type Observation interface{ observation() }

// PointerRead is a read of the pointer row. Version is zero if the row is missing.
type PointerRead struct {
	Version Version
	// StartedAt is the time at which the request was sent.
	StartedAt time.Time
}

// PeerReport is the version that a peer holds.
type PeerReport struct {
	Peer    cluster.ProxyID
	Version Version
	At      time.Time
	// Members is the number of known members, including this process.
	Members int
}

// Installed reports that a document was verified and put in force.
type Installed struct {
	Version Version
}

// Tick reports the current time.
type Tick struct {
	Now    time.Time
	Bounds Bounds
}

func (PointerRead) observation() {}
func (PeerReport) observation()  {}
func (Installed) observation()   {}
func (Tick) observation()        {}

// Decide returns the state after an observation. It does not modify s.
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

// fire applies an event of the chart to the status, which stays the same if there
// is no transition.
func (s State) fire(event string) State {
	if to, err := chart.Next(string(s.Status), event); err == nil {
		s.Status = Status(to)
	}
	return s
}

func (s State) onPointerRead(o PointerRead) State {
	// The revision in the row never decreases, so a later read of a lower revision
	// refutes a peer's report.
	if o.Version.Revision < s.Latest.Revision && o.StartedAt.After(s.LatestAt) && s.Latest.Revision > s.InForce.Revision {
		s.Latest, s.LatestAt, s.LatestFromPointer = o.Version, o.StartedAt, true
	}
	if o.Version == s.Latest && o.StartedAt.After(s.LatestAt) {
		s.LatestAt, s.LatestFromPointer = o.StartedAt, true
	}
	s = s.recordLatest(o.Version, o.StartedAt, true)
	if o.Version == s.InForce || o.Version.Revision == 0 && s.InForce.Revision == 0 {
		s = s.recordProof(o.StartedAt)
	}
	return s
}

// recordLatest records a version if it is newer than all known ones.
func (s State) recordLatest(v Version, at time.Time, fromPointer bool) State {
	if v.Revision <= s.Latest.Revision || v.Revision <= s.InForce.Revision {
		return s
	}
	s.Latest, s.LatestAt, s.LatestFromPointer = v, at, fromPointer
	return s.fire("seen")
}

func (s State) recordProof(at time.Time) State {
	if s.Status == StatusEmpty || s.Latest.Revision > s.InForce.Revision {
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

// majorityAgreement returns the time since which a majority of the members,
// including this process, has reported the version in force. The second result is
// false when there is no such majority.
func (s State) majorityAgreement(members int, now time.Time) (time.Time, bool) {
	if s.InForce.Revision == 0 {
		return time.Time{}, false
	}
	times := []time.Time{now}
	for _, peer := range s.Peers {
		if peer.Version == s.InForce {
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
	if s.Status != StatusEmpty && o.Version.Revision <= s.InForce.Revision {
		return s
	}
	s.InForce = o.Version
	if s.InForce.Revision < s.Latest.Revision {
		return s.fire("superseded")
	}
	if s.InForce == s.Latest && s.LatestFromPointer && s.LatestAt.After(s.ProvenAt) {
		s.ProvenAt = s.LatestAt
	}
	s.Latest = s.InForce
	return s.fire("installed")
}

func (s State) onTick(o Tick) State {
	age := o.Now.Sub(s.ProvenAt)
	switch {
	case age > o.Bounds.MaxProofAge:
		return s.fire("expired")
	case age > o.Bounds.Unproven:
		return s.fire("unproven")
	default:
		return s
	}
}

// VersionToFetch returns the latest version. The second result is false when it
// is already in force.
func (s State) VersionToFetch() (Version, bool) {
	return s.Latest, s.Latest.Revision > s.InForce.Revision
}

// ForgetPeers removes the reports of peers that were received before t. It removes
// none unless the document is proven current: until then, peers that no longer
// report count as members, so that a partitioned minority does not consider
// itself the majority.
func (s State) ForgetPeers(t time.Time) State {
	if s.Status != StatusCurrent {
		return s
	}
	s.Peers = maps.Clone(s.Peers)
	maps.DeleteFunc(s.Peers, func(_ cluster.ProxyID, peer PeerVersion) bool { return peer.At.Before(t) })
	return s
}
