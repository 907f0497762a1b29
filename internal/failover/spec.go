package failover

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
)

// defaultDetectAfter is the default time that a primary must fail before it is replaced.
const defaultDetectAfter = time.Second

// GroupSpec is the desired state of a group from the perspective of one warden.
type GroupSpec struct {
	Name    cluster.GroupName
	Servers []cluster.Server
	// Leaving marks servers whose VMs the platform is about to remove.
	Leaving map[cluster.ServerID]bool
	Policy  environment.Promotion
	// AckPrimary is set if the writes of some rank are acknowledged by the primary alone,
	// so that writes not stored by a majority may have been acknowledged.
	AckPrimary bool
	// Warden identifies this warden in seals and records.
	Warden string
	// StandbyIndex is this warden's index among those responsible for the group. The
	// warden with index zero acts first.
	StandbyIndex int
}

func ackPrimary(ranks environment.Ranks) bool {
	for rank := range cluster.Rank(cluster.RankCount) {
		if ranks.Policy(rank).Ack == environment.AckPrimary {
			return true
		}
	}
	return false
}

// SpecOf returns the spec of a group in a document. leaving reports whether the VM
// that hosts an address is leaving.
func SpecOf(g environment.Group, ranks environment.Ranks, warden string, standbyIndex int, leaving func(address string) bool) GroupSpec {
	spec := GroupSpec{
		AckPrimary: ackPrimary(ranks),
		Name:       g.Name, Policy: g.Promotion, Warden: warden, StandbyIndex: standbyIndex,
		Leaving: map[cluster.ServerID]bool{},
	}
	for _, s := range g.Servers {
		spec.Servers = append(spec.Servers, s.Cluster())
		if leaving(s.Address) {
			spec.Leaving[s.ID] = true
		}
	}
	return spec
}

func (s GroupSpec) majority() int { return cluster.Majority(len(s.Servers)) }

func (s GroupSpec) detectAfter() time.Duration {
	if s.Policy.DetectAfter > 0 {
		return s.Policy.DetectAfter
	}
	return defaultDetectAfter
}

// standbyDelay returns the additional time that this warden leaves to those ahead of it.
func (s GroupSpec) standbyDelay() time.Duration {
	return time.Duration(s.StandbyIndex) * standbyDelayStep
}

// server returns the server with the given ID, or the zero value if there is none.
func (s GroupSpec) server(id cluster.ServerID) cluster.Server {
	for _, server := range s.Servers {
		if server.ID == id {
			return server
		}
	}
	return cluster.Server{}
}
