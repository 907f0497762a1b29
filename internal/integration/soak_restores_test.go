package integration

import (
	"math/rand/v2"
	"time"

	"github.com/rattancove/rattancove/internal/standin/userplatform"
)

const (
	// firstRestoreSeed is the first seed in which the store comes back from copies.
	firstRestoreSeed = 20_000
	// storeCopyInterval is the time between two copies of the store, of which a restore takes
	// one that is up to maxCopyAge old.
	storeCopyInterval = 100 * time.Millisecond
	maxCopyAge        = 9 * time.Second
	// minRestoreInterval and maxRestoreInterval limit the time between two restores, and
	// maxStoreAway the time for which the store is away before one.
	minRestoreInterval = 500 * time.Millisecond
	maxRestoreInterval = 4500 * time.Millisecond
	maxStoreAway       = 800 * time.Millisecond
	// otherWrites is the number of writes of other users of the store between two copies, by
	// which its version falls in a restore.
	otherWrites = 20
)

// restoreSeeds are seeds in which the store comes back from copies. The first one has planned
// faults only.
var restoreSeeds = []uint64{firstRestoreSeed, firstRestoreSeed + 1}

// hasOrganisations reports whether the callers of a seed belong to organisations.
func hasOrganisations(seed uint64) bool {
	return seed >= firstOrganisationSeed && (seed < firstRestoreSeed || seed%2 == 0)
}

// restoreStore takes the store away and brings it back from an older copy, again and again
// until stop is closed. Restores overlap the faults of all kinds.
func (s *soak) restoreStore(stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(s.seed, 11))
	draw := func(shortest, longest time.Duration) time.Duration {
		return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
	}
	next := time.Now().Add(draw(minRestoreInterval, maxRestoreInterval))
	var copies []userplatform.Copy
	for {
		select {
		case <-stop:
			return
		case <-time.After(storeCopyInterval):
		}
		copies = append(copies, s.store.Copy())
		for range otherWrites {
			s.store.Put("other", "row", len(copies))
		}
		copies = copies[max(0, len(copies)-int(maxCopyAge/storeCopyInterval)):]
		if time.Now().Before(next) {
			continue
		}
		i := random.IntN(len(copies))
		away := draw(0, maxStoreAway)
		s.history.increment("restores of the store")
		s.trace("the store is away for %v and comes back from a copy that is %v old", away, time.Duration(len(copies)-1-i)*storeCopyInterval)
		s.markStoreDisturbed()
		s.store.TakeAway()
		time.Sleep(away)
		s.store.Restore(copies[i])
		s.markStoreDisturbed()
		copies = copies[:i+1] // the others are of a history that has ended
		next = time.Now().Add(draw(minRestoreInterval, maxRestoreInterval))
	}
}
