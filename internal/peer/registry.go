package peer

import "sync"

// Registry keeps one client for each peer address. It is safe for concurrent use.
type Registry struct {
	dial    DialFunc
	bounds  *boundedConns
	mu      sync.Mutex
	clients map[string]*Client
}

// NewRegistry returns an empty registry.
func NewRegistry(dial DialFunc) *Registry {
	return &Registry{dial: dial, clients: map[string]*Client{}}
}

// NewBoundedRegistry returns an empty registry with bounds.
func NewBoundedRegistry(dial DialFunc, bounds Bounds) *Registry {
	r := NewRegistry(dial)
	r.bounds = &boundedConns{bounds: bounds, closeIdle: r.closeIdle}
	return r
}

// closeIdle closes an idle connection to any peer.
func (r *Registry) closeIdle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.clients {
		if c.pool.closeIdle() {
			return true
		}
	}
	return false
}

// Client returns the client of the peer at address.
func (r *Registry) Client(address string) *Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.clients[address]
	if c == nil {
		c = &Client{address: address, pool: newPool(address, r.dial, r.bounds)}
		r.clients[address] = c
	}
	return c
}

// Retain closes and removes the clients of all other addresses.
func (r *Registry) Retain(addresses map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, c := range r.clients {
		if !addresses[address] {
			c.Close()
			delete(r.clients, address)
		}
	}
}

// Close closes every client.
func (r *Registry) Close() { r.Retain(nil) }
