package edge

// Reload takes up settings that were read again. Addresses cannot change while
// the process runs; a file that cannot be read leaves the present settings.
func (e *Edge) Reload(next *Config, err error) {
	line := eventReloaded.Log(&e.log).AnErr("error", err)
	if err == nil {
		line = line.Strs("seeds", next.Seeds).Bool("changed", !sameAddresses(&e.config, next))
	}
	line.Send()
}

func sameAddresses(a, b *Config) bool {
	return a.CallersListen == b.CallersListen && a.PeerListen == b.PeerListen && a.ReadyListen == b.ReadyListen &&
		a.StoreAddress == b.StoreAddress && a.PromotionAddr == b.PromotionAddr
}
