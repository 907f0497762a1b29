package rank

import "time"

// preferredServer returns the server on which a read is to run that s, which has a free
// slot, may run, and the reason: another replica with as many free slots if the request
// prefers that one and not s. Eligible is called last for the server that is returned.
func (d *Dispatcher) preferredServer(w *waiter, s *server, reason string, c candidate, now time.Time) (*server, string) {
	prefers := w.request.Prefers
	if prefers == nil || w.request.Lane != LaneRead || s.id == d.primary || prefers(s.id) {
		return s, reason
	}
	for _, other := range d.servers {
		if other == s || !d.mayReplace(other, s, c) || !prefers(other.id) {
			continue
		}
		if eligibility := w.request.Eligible(other.id, now); eligibility.OK {
			return other, eligibility.Reason
		}
	}
	return s, reason
}

// mayReplace reports whether a read of a rank may run on other instead of s without a
// disadvantage to other requests.
func (d *Dispatcher) mayReplace(other, s *server, c candidate) bool {
	if d.evenLoad() && other.expected > s.expected {
		return false
	}
	if other.id == d.primary || other.free() != s.free() || other.pinned.len() > 0 || !d.mayTakeSlot(other, c.rank) {
		return false
	}
	return !c.byShare || d.coversStatement(other, c.rank)
}
