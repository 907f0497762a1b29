package rank

import "time"

// preferredServer returns the server on which a read is to run that s, which has a free
// slot, may run, and the reason: another replica with as many free slots if the request
// prefers that one to s. The server that Eligible accepts last is the one returned.
func (d *Dispatcher) preferredServer(w *waiter, s *server, reason string, c candidate, now time.Time) (*server, string) {
	prefers := w.request.Prefers
	if prefers == nil || w.request.Lane != LaneRead || s.id == d.primary {
		return s, reason
	}
	chosen, highest := s, prefers(s.id)
	for _, other := range d.servers {
		if other == s || !d.mayReplace(other, s, c) {
			continue
		}
		preference := prefers(other.id)
		if preference <= highest {
			continue
		}
		if eligibility := w.request.Eligible(other.id, now); eligibility.OK {
			chosen, highest, reason = other, preference, eligibility.Reason
		}
	}
	return chosen, reason
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
