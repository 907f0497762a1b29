package catalog

// maxWithdrawals bounds the withdrawn keys that are remembered to explain refusals.
const maxWithdrawals = 10_000

// Withdrawal states which configuration took a key from an organisation.
type Withdrawal struct {
	Organisation string
	Version      uint64
}

// Organisation returns the organisation to which a key belongs in the active
// configuration. The second result is false when the key is unknown.
func (t *Tracker) Organisation(key KeyDigest) (name string, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name, known = t.organisations[key]
	return name, known
}

// KeysRequired reports whether the active configuration lists organisations.
func (t *Tracker) KeysRequired() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.configuration != nil && t.configuration.KeysRequired
}

// Withdrawal returns the configuration that took an unknown key from its last
// organisation, if this process has seen that change.
func (t *Tracker) Withdrawal(key KeyDigest) (Withdrawal, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.withdrawals[key]
	return w, ok
}

// setOrganisations replaces the keys by those of a configuration. The caller holds the
// lock.
func (t *Tracker) setOrganisations(c *Configuration) {
	old := t.organisations
	t.organisations = make(map[KeyDigest]string, len(old))
	for _, o := range c.Organisations {
		for _, key := range o.Keys {
			t.organisations[key] = o.Name
		}
	}
	if old != nil { // the first configuration changes nothing
		t.recordKeyChanges(old, c.Version)
	}
}

// keyChange counts the changes of an organisation's keys. A key that moves to another
// organisation is removed from the one and added to the other.
type keyChange struct{ added, removed int }

// recordKeyChanges remembers withdrawn keys and logs for each organisation how many of
// its keys have changed. The caller holds the lock.
func (t *Tracker) recordKeyChanges(old map[KeyDigest]string, version uint64) {
	changes := map[string]keyChange{}
	for key, name := range old {
		now, known := t.organisations[key]
		if known && now == name {
			continue
		}
		change := changes[name]
		change.removed++
		changes[name] = change
		if !known {
			t.rememberWithdrawal(key, Withdrawal{Organisation: name, Version: version})
		}
	}
	for key, name := range t.organisations {
		delete(t.withdrawals, key)
		if before, known := old[key]; !known || before != name {
			change := changes[name]
			change.added++
			changes[name] = change
		}
	}
	for name, change := range changes {
		eventKeysChanged.Log(t.log).Uint64("version", version).Str("organisation", name).
			Int("added", change.added).Int("removed", change.removed).Send()
	}
}

// rememberWithdrawal records a withdrawn key, in place of any other one when there are
// maxWithdrawals. The caller holds the lock.
func (t *Tracker) rememberWithdrawal(key KeyDigest, w Withdrawal) {
	if len(t.withdrawals) >= maxWithdrawals {
		for other := range t.withdrawals {
			delete(t.withdrawals, other)
			break
		}
	}
	t.withdrawals[key] = w
}
