package rank

import "github.com/rattancove/rattancove/internal/cluster"

// Stats holds the counters and the present state of a Dispatcher, by rank.
type Stats struct {
	// Granted counts requests that got a slot.
	Granted [cluster.RankCount]uint64
	// Refused counts requests that were not admitted to their queue.
	Refused [cluster.RankCount]uint64
	// Expired counts requests that left their queue without a slot.
	Expired [cluster.RankCount]uint64
	// SlotSeconds is the slot time that statements used until they ended.
	SlotSeconds [cluster.RankCount]float64
	// Queued and Running are the present numbers of requests.
	Queued  [cluster.RankCount]int
	Running [cluster.RankCount]int
	// QueuedBytes is the memory that waiting requests hold.
	QueuedBytes int64
}

// Stats returns the counters and the present state.
func (d *Dispatcher) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	stats := d.stats
	stats.QueuedBytes = d.queuedBytes
	for r := range cluster.Rank(cluster.RankCount) {
		stats.Queued[r] = d.queued(r)
		for _, s := range d.servers {
			stats.Running[r] += s.running[r]
		}
	}
	return stats
}
