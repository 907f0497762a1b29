package member

import "slices"

// What a VM needs for one unit of its capacity for homes. The ratio of processor to link is
// that of the smallest VMs in use (0.192 of a core, 10 Mbit/s): in small fleets their processor
// is the scarcer of the two, in large ones their link (CAPACITY.md). Memory depends on the
// members more than on the homes. It counts only where a VM has less than half as much for its
// processor share as the smallest ones (184 MB).
const (
	cpuSharePerUnit = 0.01
	linkMbpsPerUnit = 0.5
	ramBytesPerUnit = 4 << 20
)

// maxWeight is far above the weight of any VM.
const maxWeight = 1 << 20

// Capacity holds the limits of the VM of a process; zero for those that are not known.
type Capacity struct {
	CPUShare float64 // of a core
	LinkMbps float64
	RAMBytes int64
}

// Weight returns the weight of the VM for the assignment of homes and the limit that it
// follows from, the scarcest one. Without a processor share and a link the weight is
// unknown, which is zero.
//
// Weights are 2^n or 1.5 x 2^n. A finer scale would make VMs of nearly equal size differ,
// which leaves the rendezvous order nothing to decide and moves more homes at each change.
func (c Capacity) Weight() (weight uint32, limit string) {
	if !(c.CPUShare > 0) && !(c.LinkMbps > 0) {
		return 0, "unknown"
	}
	units, limit := float64(maxWeight), ""
	for _, l := range []struct {
		name  string
		units float64
	}{
		{"cpu_share", c.CPUShare / cpuSharePerUnit},
		{"link_mbps", c.LinkMbps / linkMbpsPerUnit},
		{"ram_mb", float64(c.RAMBytes) / ramBytesPerUnit},
	} {
		if l.units > 0 && (l.units < units || limit == "") {
			units, limit = min(l.units, units), l.name
		}
	}
	weight = 1
	for next := uint32(2); float64(next) <= units; next *= 2 {
		weight = next
		if float64(next)*1.5 <= units {
			weight = next / 2 * 3
		}
	}
	return weight, limit
}

// knownWeightOr returns the weight of a member, or another one if it is unknown.
func (m Member) knownWeightOr(other uint32) uint32 {
	if m.Weight == 0 {
		return other
	}
	return m.Weight
}

// medianWeight returns the lower median of the known weights of the proxies, or 1 if none is
// known. Suspect and leaving members count as well, so that the weight of those without one
// does not change while others are in doubt.
func (s *Snapshot) medianWeight() uint32 {
	s.medianOnce.Do(func() {
		var known []uint32
		for i := range s.entries {
			if e := &s.entries[i]; e.Member.Role == RoleProxy && e.State != StateDead && e.Member.Weight != 0 {
				known = append(known, e.Member.Weight)
			}
		}
		s.median = 1
		if len(known) > 0 {
			slices.Sort(known)
			s.median = known[(len(known)-1)/2]
			s.unequal = known[0] != known[len(known)-1]
		}
	})
	return s.median
}

// UnequalWeights reports whether the known weights of the proxies differ.
func (s *Snapshot) UnequalWeights() bool {
	s.medianWeight()
	return s.unequal
}
