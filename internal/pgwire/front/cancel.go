package front

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"errors"

	"github.com/rattancove/rattancove/internal/errcode"
)

// cancelSecretBytes is the length of the secret key of a cancel request in protocol
// 3.0.
const cancelSecretBytes = 4

// errCanceled is the cause of a request that its caller canceled. PostgreSQL has
// the same text.
var errCanceled = errors.New("canceling statement due to user request")

// CancelKey identifies the caller connection that a cancel request refers to.
type CancelKey struct {
	ProcessID uint32
	Secret    [cancelSecretBytes]byte
}

// Cancel cancels the running request of the caller with the key. It reports whether
// this proxy issued the key.
func (s *Server) Cancel(key CancelKey) bool {
	s.mu.Lock()
	c := s.callers[key.ProcessID]
	s.mu.Unlock()
	if c == nil || subtle.ConstantTimeCompare(c.key.Secret[:], key.Secret[:]) != 1 {
		return false
	}
	eventCancelRequested.Log(&s.logger).Str("user", c.user).Send()
	c.cancelRunning(errCanceled)
	return true
}

func (s *Server) cancelOrForward(ctx context.Context, key CancelKey) {
	cancelRequests.Inc()
	if s.Cancel(key) || s.config.ForwardCancel == nil {
		return
	}
	s.config.ForwardCancel(ctx, key)
}

// register adds a caller after authentication and assigns its cancel key. It
// returns an error if the proxy or the customer has too many callers, or if the
// server is draining.
func (s *Server) register(c *caller) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() {
		return errcode.New(errcode.Draining, "startup", "")
	}
	maxPerProxy := s.directory.Limits().CallersPerProxy
	if maxPerProxy > 0 && len(s.callers) >= maxPerProxy {
		return errcode.New(errcode.TooManyCallers, "startup", string(s.config.Proxy))
	}
	if maxCallers := c.account.MaxCallers; maxCallers > 0 && s.callersByCustomer[c.account.Customer] >= maxCallers {
		return errcode.New(errcode.TooManyCallers, "startup", c.account.Customer)
	}
	c.key = s.newCancelKey()
	s.callers[c.key.ProcessID] = c
	s.callersByCustomer[c.account.Customer]++
	callersOpen.Inc()
	return nil
}

// newCancelKey returns an unused key. s.mu must be held.
func (s *Server) newCancelKey() CancelKey {
	for {
		s.lastProcessID++
		if _, used := s.callers[s.lastProcessID]; !used && s.lastProcessID != 0 {
			break
		}
	}
	key := CancelKey{ProcessID: s.lastProcessID}
	_, _ = rand.Read(key.Secret[:])
	return key
}

// unregister closes the caller's connection and removes the caller.
func (s *Server) unregister(c *caller) {
	_ = c.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.callers, c.key.ProcessID)
	callersOpen.Dec()
	s.callersByCustomer[c.account.Customer]--
	if s.callersByCustomer[c.account.Customer] == 0 {
		delete(s.callersByCustomer, c.account.Customer)
	}
}
