package quota

import "time"

// ring counts events by the slice of time in which they happened.
type ring struct {
	slice  time.Duration
	counts []uint32
	// newest is the number of the newest slice.
	newest int64
	total  uint64
}

// newRing returns a ring of n slices.
func newRing(slice time.Duration, n int) ring {
	return ring{slice: slice, counts: make([]uint32, n)}
}

// advance drops the slices that are too old.
func (r *ring) advance(now time.Duration) {
	slice := int64(now / r.slice)
	n := int64(len(r.counts))
	if slice-r.newest >= n {
		clear(r.counts)
		r.total, r.newest = 0, slice
		return
	}
	for r.newest < slice {
		r.newest++
		count := &r.counts[r.newest%n]
		r.total -= uint64(*count)
		*count = 0
	}
}

// add counts events that happened at a time that is not after now.
func (r *ring) add(at, now time.Duration, events uint64) {
	r.advance(now)
	if slice := int64(at / r.slice); slice > r.newest-int64(len(r.counts)) {
		r.counts[slice%int64(len(r.counts))] += uint32(events)
		r.total += events
	}
}

// remove takes back one event that was counted at a time.
func (r *ring) remove(at, now time.Duration) {
	r.advance(now)
	slice := int64(at / r.slice)
	if slice <= r.newest-int64(len(r.counts)) {
		return
	}
	if count := &r.counts[slice%int64(len(r.counts))]; *count > 0 {
		*count--
		r.total--
	}
}

// recent returns the counts of the slices, newest first, without the oldest empty ones.
func (r *ring) recent(now time.Duration) []uint64 {
	r.advance(now)
	n := int64(len(r.counts))
	var counts []uint64
	for i := range n {
		if c := r.counts[(r.newest-i+n)%n]; c > 0 {
			counts = append(counts, make([]uint64, int(i)-len(counts))...)
			counts = append(counts, uint64(c))
		}
	}
	return counts
}

// within returns the number of events in the given number of newest slices.
func (r *ring) within(now time.Duration, slices int) uint64 {
	r.advance(now)
	n := int64(len(r.counts))
	var events uint64
	for i := range min(int64(slices), n) {
		events += uint64(r.counts[(r.newest-i+n)%n])
	}
	return events
}

// untilDropped returns the time until the given number of events has been dropped, at
// most the time that the ring covers.
func (r *ring) untilDropped(now time.Duration, events uint64) time.Duration {
	r.advance(now)
	n := int64(len(r.counts))
	var dropped uint64
	for i := n - 1; i >= 0; i-- {
		if dropped += uint64(r.counts[(r.newest-i+n)%n]); dropped >= events {
			return time.Duration(r.newest-i+n)*r.slice - now
		}
	}
	return time.Duration(n) * r.slice
}
