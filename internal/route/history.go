package route

import (
	"sort"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Sample states that every write acknowledged before At lies at or before Position.
type Sample struct {
	At       time.Time
	Position cluster.Position
}

// History records positions of the primary over time. A replica that has replayed
// the position of a sample has all data that was committed before the sample.
//
// A History is immutable and may be shared with concurrent decisions. With must
// only be called on the newest History, because successive ones share memory.
type History struct {
	samples []Sample
	limit   int
	spacing time.Duration
}

// NewHistory returns an empty History that keeps the newest limit samples, each
// taken at least spacing after the previous one.
func NewHistory(limit int, spacing time.Duration) *History {
	return &History{limit: limit, spacing: spacing}
}

// With returns a History with one more sample. A sample that is older than the
// last one, or less than the spacing after it, is ignored.
func (h *History) With(s Sample) *History {
	n := len(h.samples)
	if n > 0 && s.At.Sub(h.samples[n-1].At) < h.spacing {
		return h
	}
	from := max(0, n+1-h.limit)
	return &History{samples: append(h.samples[from:], s), limit: h.limit, spacing: h.spacing}
}

// AtOrAfter returns the position of the first sample taken at t or later. The
// second result is false when there is none.
func (h *History) AtOrAfter(t time.Time) (cluster.Position, bool) {
	if h == nil {
		return cluster.Position{}, false
	}
	i := sort.Search(len(h.samples), func(i int) bool { return !h.samples[i].At.Before(t) })
	if i == len(h.samples) {
		return cluster.Position{}, false
	}
	return h.samples[i].Position, true
}

// ReachedAt returns a time at which the primary had reached p: that of the first
// sample whose position is p or later. The second result is false when there is
// none.
func (h *History) ReachedAt(p cluster.Position) (time.Time, bool) {
	if h == nil {
		return time.Time{}, false
	}
	i := sort.Search(len(h.samples), func(i int) bool { return !h.samples[i].Position.Less(p) })
	if i == len(h.samples) {
		return time.Time{}, false
	}
	return h.samples[i].At, true
}
