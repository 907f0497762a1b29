package route

import (
	"sort"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

const (
	// historyLimit is the most samples that a History keeps.
	historyLimit = 1024
	// historySpacing is the least time between two kept samples.
	historySpacing = 20 * time.Millisecond
)

// Sample states that every write acknowledged before At lies at or before Position.
type Sample struct {
	At       time.Time
	Position cluster.Position
}

// History keeps proven positions of the primary by time. A replica that has
// replayed the position of a sample shows all data older than the sample. A
// History is immutable, so that it can be shared with decisions under way.
type History struct {
	samples []Sample
}

// With returns a History that has one more sample. Samples that are older than
// the last one, or too close to it, replace nothing and are left out.
func (h *History) With(s Sample) *History {
	if h == nil {
		return &History{samples: []Sample{s}}
	}
	last := h.samples[len(h.samples)-1]
	if s.At.Sub(last.At) < historySpacing {
		return h
	}
	from := max(0, len(h.samples)+1-historyLimit)
	samples := make([]Sample, 0, len(h.samples)+1-from)
	samples = append(samples, h.samples[from:]...)
	return &History{samples: append(samples, s)}
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
