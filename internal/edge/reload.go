package edge

import "slices"

// Reload applies the seeds and limits of reloaded settings to the running process
// and returns the settings in force. Changes of addresses and of the identity take
// effect at the next start. When err is set, the current settings stay in force.
func (e *Edge) Reload(next *Config, err error) *Config {
	current := e.settings.Load()
	if err != nil {
		eventReloadFailed.Log(&e.log).Err(err).Send()
		return current
	}
	applied, afterRestart := settingsChanges(current, next)
	inForce := *current
	inForce.Seeds, inForce.StopTime = next.Seeds, next.StopTime
	inForce.MaxDescriptors, inForce.MemoryLimit = next.MaxDescriptors, next.MemoryLimit
	inForce.RevocationTime = next.RevocationTime
	e.settings.Store(&inForce)
	e.adapters.Memory.SetLimit(inForce.MemoryLimit)
	e.members.SetSeeds(inForce.Seeds)
	eventReloaded.Log(&e.log).Strs("applied", applied).Strs("after_restart", afterRestart).Strs("seeds", inForce.Seeds).
		Dur("stop_time", inForce.StopTime).Int64("memory_limit", inForce.MemoryLimit).Int("max_descriptors", inForce.MaxDescriptors).Send()
	return &inForce
}

// settingsChanges returns the names of the settings that differ: those applied to
// the running process, and those that take effect after a restart.
func settingsChanges(current, next *Config) (applied, afterRestart []string) {
	for _, c := range []struct {
		name    string
		differs bool
		into    *[]string
	}{
		{"seeds", !slices.Equal(current.Seeds, next.Seeds), &applied},
		{"stop_time", current.StopTime != next.StopTime, &applied},
		{"memory_limit", current.MemoryLimit != next.MemoryLimit, &applied},
		{"max_descriptors", current.MaxDescriptors != next.MaxDescriptors, &applied},
		{"revocation_time", current.RevocationTime != next.RevocationTime, &applied},
		{"id", current.ID != next.ID, &afterRestart},
		{"failure_domain", current.FailureDomain != next.FailureDomain, &afterRestart},
		{"callers", current.CallersListen != next.CallersListen, &afterRestart},
		{"ready", current.ReadyListen != next.ReadyListen, &afterRestart},
		{"peers", current.PeerListen != next.PeerListen, &afterRestart},
		{"cpu_share", current.CPUShare != next.CPUShare, &afterRestart},
		{"link_mbps", current.LinkMbps != next.LinkMbps, &afterRestart},
		{"store", current.StoreAddress != next.StoreAddress, &afterRestart},
		{"quota", current.Quota != next.Quota, &afterRestart},
		{"promotion", current.PromotionAddr != next.PromotionAddr, &afterRestart},
	} {
		if c.differs {
			*c.into = append(*c.into, c.name)
		}
	}
	return applied, afterRestart
}
