package failover

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
)

// defaultDetectAfter is how long a primary must fail when the document does not say.
const defaultDetectAfter = time.Second

// GroupSpec is the desired state of a group as one warden sees it.
type GroupSpec struct {
	Name    cluster.GroupName
	Servers []cluster.Server
	// Leaving marks servers whose VMs the platform is about to take away.
	Leaving map[cluster.ServerID]bool
	Policy  environment.Promotion
	// AckPrimary is set when some rank is acknowledged by the primary alone, so
	// that writes which no majority stored may have been acknowledged.
	AckPrimary bool
	// Warden names this warden in seals and records.
	Warden string
	// StandbyIndex is this warden's place among those responsible for the group;
	// zero acts first.
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

// SpecOf returns the spec of a group in a document. leaving tells whether the
// VM with the host of an address is leaving.
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

// standbyDelay is the extra time that this warden leaves to those before it.
func (s GroupSpec) standbyDelay() time.Duration {
	return time.Duration(s.StandbyIndex) * standbyDelayStep
}

// server returns a server by id, or the zero value for an unknown id.
func (s GroupSpec) server(id cluster.ServerID) cluster.Server {
	for _, server := range s.Servers {
		if server.ID == id {
			return server
		}
	}
	return cluster.Server{}
}
