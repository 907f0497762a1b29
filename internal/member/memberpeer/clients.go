package memberpeer

import (
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/peer"
)

// idleAfter is the time after which an unused client is closed.
const idleAfter = time.Minute

// Clients keeps one client for each peer address in use. It is safe for
// concurrent use.
type Clients struct {
	dial peer.DialFunc

	mu      sync.Mutex
	clients map[string]*entry
	swept   time.Time
}

type entry struct {
	client *peer.Client
	used   time.Time
}

// NewClients returns an empty set of clients that connect by dial.
func NewClients(dial peer.DialFunc) *Clients {
	return &Clients{dial: dial, clients: map[string]*entry{}, swept: time.Now()}
}

// Client returns the client of the peer at address. It stays open while it is
// used at least once in idleAfter.
func (c *Clients) Client(address string) *peer.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.sweep(now)
	e, ok := c.clients[address]
	if !ok {
		e = &entry{client: peer.NewClient(address, c.dial)}
		c.clients[address] = e
	}
	e.used = now
	return e.client
}

func (c *Clients) sweep(now time.Time) {
	if now.Sub(c.swept) < idleAfter {
		return
	}
	c.swept = now
	for address, e := range c.clients {
		if now.Sub(e.used) >= idleAfter {
			e.client.Close()
			delete(c.clients, address)
		}
	}
}

// Close closes all clients. Running calls end by their contexts.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, e := range c.clients {
		e.client.Close()
		delete(c.clients, address)
	}
}
