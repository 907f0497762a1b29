package front

import (
	"time"

	"github.com/rattancove/rattancove/internal/errcode"
)

// RevokeRemovedAccounts disconnects the callers whose account no longer exists in
// the directory or belongs to another customer. Running requests and open transactions
// finish first. It must be called after a new document has taken effect. It returns
// the number of such callers.
func (s *Server) RevokeRemovedAccounts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	revoked := 0
	for _, c := range s.callers {
		account, ok := s.directory.Account(c.user, c.group)
		if ok && account.Customer == c.account.Customer {
			continue
		}
		revoked++
		c.revoke()
	}
	if revoked > 0 {
		eventCallersRevoked.Log(&s.logger).Int("callers", revoked).Send()
	}
	return revoked
}

// revoke marks the caller as revoked, and interrupts its wait if it has no running
// request or open transaction.
func (c *caller) revoke() {
	c.revoked.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	if isInterruptible(c.state.Current()) {
		_ = c.conn.SetReadDeadline(time.Now())
	}
}

// checkRevoked returns an error if the caller may not send further requests because
// its account was revoked.
func (c *caller) checkRevoked() error {
	if c.revoked.Load() {
		return errcode.New(errcode.Unauthorized, "recheck", c.user)
	}
	return nil
}
