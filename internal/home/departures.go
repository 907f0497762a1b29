package home

import (
	"maps"
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/grant"
)

// departures holds when servers were removed from a group in which they are not listed
// again. The entry without an id is the time at which the process first knew the group:
// others may have been removed before.
type departures map[cluster.ServerID]time.Time

// update records a change of the group and returns the departures, which are new if d is
// nil. Those that no longer matter are removed.
func (d departures) update(before, after environment.Group) departures {
	now := time.Now()
	if d == nil {
		return departures{"": now}
	}
	for _, s := range before.Servers {
		if !slices.ContainsFunc(after.Servers, func(other environment.Server) bool { return other.ID == s.ID }) {
			d[s.ID] = now
		}
	}
	for _, s := range after.Servers {
		delete(d, s.ID)
	}
	maps.DeleteFunc(d, func(_ cluster.ServerID, at time.Time) bool { return now.Sub(at) >= grant.DepartureDelay })
	return d
}

// last returns the time of the last departure.
func (d departures) last() time.Time {
	var last time.Time
	for _, at := range d {
		if at.After(last) {
			last = at
		}
	}
	return last
}
