package proof

import (
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/document"
)

const (
	// rolloutBound is the time within which a document is in force at every
	// process in contact.
	rolloutBound = 4 * time.Second
	// sampleInterval is the time between two looks at the documents in force.
	sampleInterval = 250 * time.Millisecond
)

// contact tells for how long something has been in reach.
type contact struct {
	mu sync.Mutex
	// cuts counts the faults that keep it out of reach.
	cuts int
	// from is when the last one ended.
	from time.Time
}

func (c *contact) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts++
}

func (c *contact) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts--
	c.from = time.Now()
}

func (c *contact) isCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cuts > 0
}

// since returns the time that it has been in reach, zero if it is not.
func (c *contact) since(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cuts > 0 {
		return 0
	}
	return now.Sub(c.from)
}

// sample is which revisions were in force at one time.
type sample struct {
	at time.Time
	// newest is the revision in the table; zero while the platform fails.
	newest uint64
	held   map[*node]uint64
}

// watchDocuments compares the revisions in force at all processes with what
// was in force before the bound, at the platform and at peers.
func (f *fleet) watchDocuments() {
	store := document.NewStore(f.table, f.objects)
	var samples []sample
	for f.ctx.Err() == nil {
		now := sample{held: map[*node]uint64{}}
		if f.platform.since(time.Now()) > 0 {
			r, _ := store.Current(f.ctx, environmentName)
			now.newest = r.Revision
		}
		now.at = time.Now()
		for _, n := range f.nodes() {
			now.held[n] = n.revision()
		}
		samples = append(samples, now)
		for len(samples) > 1 && now.at.Sub(samples[1].at) >= rolloutBound {
			samples = samples[1:]
		}
		f.compare(samples[0], now)
		delay.Sleep(f.ctx, sampleInterval)
	}
}

// compare checks the processes that were in contact from before to now.
func (f *fleet) compare(before, now sample) {
	span := now.at.Sub(before.at)
	if span < rolloutBound {
		return
	}
	for n, held := range now.held {
		if n.stopped() || now.at.Sub(n.started) < span {
			continue
		}
		f.documents.count("checked")
		if f.platform.since(now.at) >= span && n.store.since(now.at) >= span && held < before.newest {
			f.documents.broke(guaranteeRolloutTime, "%s holds revision %d, %v after %d was in force", n.name, held, span, before.newest)
		}
		for peer, known := range before.held {
			if known > held && !peer.stopped() && peer != n && f.net.joined(n.address, peer.address, now.at) >= span {
				f.documents.broke(guaranteeRolloutTime, "%s holds revision %d, %v after %s held %d", n.name, held, span, peer.name, known)
			}
		}
	}
}

// revision returns the revision in force: at a proxy, the one that its home has.
func (n *node) revision() uint64 {
	if n.home != nil {
		return n.applied.Load()
	}
	if current := n.documents.Current(); current != nil {
		return current.Version.Revision
	}
	return 0
}
