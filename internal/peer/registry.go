package peer

import "sync"

// Registry keeps one client for each peer address. It is safe for concurrent use.
type Registry struct {
	dial    DialFunc
	mu      sync.Mutex
	clients map[string]*Client
}

// NewRegistry returns an empty registry.
func NewRegistry(dial DialFunc) *Registry {
	return &Registry{dial: dial, clients: map[string]*Client{}}
}

// Client returns the client of the peer at address.
func (r *Registry) Client(address string) *Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.clients[address]
	if c == nil {
		c = NewClient(address, r.dial)
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
