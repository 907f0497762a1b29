package front

import (
	"time"

	"github.com/rattancove/rattancove/internal/errcode"
)

// RecheckAccounts ends the callers whose account the directory no longer has, or has
// for another customer. A running request or an open transaction ends first.
// It is to be called when a new document is in force. It returns the number of
// such callers.
func (s *Server) RecheckAccounts() int {
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

// revoke marks the caller and ends its wait if it has nothing open.
func (c *caller) revoke() {
	c.revoked.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	if isInterruptible(c.state.Current()) {
		_ = c.conn.SetReadDeadline(time.Now())
	}
}

// checkRevoked returns why the caller may not send another request.
func (c *caller) checkRevoked() error {
	if c.revoked.Load() {
		return errcode.New(errcode.Unauthorized, "recheck", c.user)
	}
	return nil
}
