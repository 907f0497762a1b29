package userplatform

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// DefaultPromotionDelay is the time from the call until a promotion takes effect.
const DefaultPromotionDelay = 200 * time.Millisecond

// PromotionCall is a call that asked for a promotion.
type PromotionCall struct{ Server, Holder, Token string }

// Promotion is a promotion that took effect.
type Promotion struct {
	At     time.Time
	Server string
	Term   uint64
	// Log holds the data of the records in the server's log at that time.
	Log []string
}

// SetPromotionDelay sets the time from the next calls until promotions take effect.
func (g *Group) SetPromotionDelay(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.promotionDelay = d
}

// Promotions returns the number of promotions that took effect and the fencing tokens of
// all calls.
func (g *Group) Promotions() (int, []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var tokens []string
	for _, call := range g.promotionCalls {
		tokens = append(tokens, call.Token)
	}
	return len(g.promotions), tokens
}

// PromotionHistory returns all calls and the promotions that took effect.
func (g *Group) PromotionHistory() ([]PromotionCall, []Promotion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.promotionCalls), slices.Clone(g.promotions)
}

// ServeHTTP implements the HTTP call that promotes a server.
func (g *Group) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.Service != g.Name {
		http.Error(w, "unknown service", http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.promotionCalls = append(g.promotionCalls, PromotionCall{
		Server: request.ID, Holder: r.Header.Get("Rattancove-Duty-Holder"), Token: r.Header.Get("Rattancove-Fencing-Token"),
	})
	for _, s := range g.servers {
		if s.ID == request.ID && s.running {
			if !s.primary {
				starts := s.starts
				time.AfterFunc(g.promotionDelay, func() { g.promoteUnlessRestarted(s, starts) })
			}
			return
		}
	}
	w.WriteHeader(http.StatusConflict)
}

// promoteUnlessRestarted promotes a server if it has not restarted since the call.
func (g *Group) promoteUnlessRestarted(target *Server, starts int) {
	g.mu.Lock()
	restarted := target.starts != starts
	g.mu.Unlock()
	if !restarted {
		g.promote(target)
	}
}

// promote makes target the primary of the next term, with the records that it has
// received. The other servers replicate from it and lose records that it lacks.
func (g *Group) promote(target *Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !target.running || target.primary {
		return
	}
	term := max(target.term, g.promotedTerm)
	for _, s := range g.servers {
		term = max(term, s.term)
	}
	target.primary, target.term, target.pausedTerm = true, term+1, 0
	g.promotedTerm = target.term
	p := Promotion{At: time.Now(), Server: target.ID, Term: target.term}
	for _, r := range target.log {
		p.Log = append(p.Log, r.data)
	}
	g.promotions = append(g.promotions, p)
	for _, s := range g.servers {
		if s != target && !s.primary && g.connected(s, target) {
			s.pausedTerm = 0
		}
		if s.running {
			s.publishEntry(s.entryState)
		}
	}
	g.replicate(target)
	g.notify()
	time.AfterFunc(demotionDelay, g.Reconcile)
}
