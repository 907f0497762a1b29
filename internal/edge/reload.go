package edge

import "slices"

// Reload takes up settings that were read again: the seeds and the limits.
// Addresses and the identity of the process stay until it starts again. Settings
// that cannot be read leave the present ones in force. It returns the settings in
// force.
func (e *Edge) Reload(next *Config, err error) *Config {
	present := e.settings.Load()
	if err != nil {
		eventReloadFailed.Log(&e.log).Err(err).Send()
		return present
	}
	applied, pending := settingsChanges(present, next)
	inForce := *present
	inForce.Seeds, inForce.StopTime = next.Seeds, next.StopTime
	inForce.MaxDescriptors, inForce.MemoryLimit = next.MaxDescriptors, next.MemoryLimit
	e.settings.Store(&inForce)
	e.members.SetSeeds(inForce.Seeds)
	eventReloaded.Log(&e.log).Strs("applied", applied).Strs("after_restart", pending).Strs("seeds", inForce.Seeds).
		Dur("stop_time", inForce.StopTime).Int64("memory_limit", inForce.MemoryLimit).Int("max_descriptors", inForce.MaxDescriptors).Send()
	return &inForce
}

// settingsChanges names the settings that differ: those that a running process
// takes up, and those that need another start.
func settingsChanges(present, next *Config) (applied, pending []string) {
	for _, c := range []struct {
		name    string
		differs bool
		into    *[]string
	}{
		{"seeds", !slices.Equal(present.Seeds, next.Seeds), &applied},
		{"stop_time", present.StopTime != next.StopTime, &applied},
		{"memory_limit", present.MemoryLimit != next.MemoryLimit, &applied},
		{"max_descriptors", present.MaxDescriptors != next.MaxDescriptors, &applied},
		{"id", present.ID != next.ID, &pending},
		{"failure_domain", present.FailureDomain != next.FailureDomain, &pending},
		{"callers", present.CallersListen != next.CallersListen, &pending},
		{"ready", present.ReadyListen != next.ReadyListen, &pending},
		{"peers", present.PeerListen != next.PeerListen, &pending},
		{"store", present.StoreAddress != next.StoreAddress, &pending},
		{"promotion", present.PromotionAddr != next.PromotionAddr, &pending},
	} {
		if c.differs {
			*c.into = append(*c.into, c.name)
		}
	}
	return applied, pending
}
