package edge

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/catalog"
	"github.com/rattancove/rattancove/internal/errcode"
)

// maxConfirmedShare is the share of the revocation time after which keys are refused
// without a confirmation. The rest covers the difference of clocks over that time.
const maxConfirmedShare = 0.9

var (
	keysDenied      = metrics.NewCounter("rattan_edge_keys_denied_total")
	keysUnconfirmed = metrics.NewCounter("rattan_edge_keys_unconfirmed_total")
)

// access decides whether callers with an API key may run statements at this moment.
type access struct {
	tracker *catalog.Tracker
	// clock is a monotonic clock that also runs while the machine is suspended.
	clock func() time.Duration
	// revocation returns the time within which withdrawn keys stop working in every
	// process; zero if only the bound of configurations applies.
	revocation func() time.Duration
	log        *zerolog.Logger
	// refusing is set while keys are refused for lack of a confirmation.
	refusing atomic.Bool
}

// strict reports whether the age of the configuration matters.
func (a *access) strict() bool { return a.revocation() > 0 && a.tracker.KeysRequired() }

// awaitsFirstConfirmation reports whether keys cannot be served yet because the
// configuration has never been confirmed.
func (a *access) awaitsFirstConfirmation() bool {
	if !a.strict() {
		return false
	}
	_, known := a.tracker.ConfirmedAge(a.clock())
	return !known
}

// confirmed reports whether the configuration is known to be recent enough for keys.
func (a *access) confirmed() bool {
	revocation := a.revocation()
	if revocation <= 0 {
		return true
	}
	age, known := a.tracker.ConfirmedAge(a.clock())
	fresh := known && age <= time.Duration(maxConfirmedShare*float64(revocation))
	if a.refusing.Load() == fresh && a.refusing.Swap(!fresh) == fresh {
		a.logChange(fresh, age)
	}
	return fresh
}

func (a *access) logChange(fresh bool, age time.Duration) {
	version, _ := a.tracker.Versions()
	if fresh {
		eventKeysServed.Log(a.log).Uint64("version", version).Dur("confirmed_age", age).Send()
		return
	}
	eventKeysUnconfirmed.Log(a.log).Uint64("version", version).Dur("confirmed_age", age).Send()
}

// authorize returns the organisation for which a caller may run a statement on a route. A
// public route is served without one if the key is not known for certain.
//
// The age is checked before the key is looked up: a configuration that was confirmed
// recently enough then holds every withdrawal that binds the statement, however long
// the process is frozen in between.
func (a *access) authorize(key catalog.KeyDigest, route catalog.Route) (string, *errcode.Error) {
	if !a.tracker.KeysRequired() {
		return "", nil
	}
	confirmed := a.confirmed()
	organisation, known := a.tracker.Organisation(key)
	switch {
	case confirmed && known:
		return organisation, nil
	case route.Public:
		return "", nil
	case !confirmed:
		keysUnconfirmed.Inc()
		return "", errcode.New(errcode.OldDocument, "key", "")
	default:
		keysDenied.Inc()
		return "", a.denial(key)
	}
}

// denial returns the refusal of an unknown key. Its cause names the configuration that
// withdrew the key, if this process has seen that.
func (a *access) denial(key catalog.KeyDigest) *errcode.Error {
	w, ok := a.tracker.Withdrawal(key)
	if !ok {
		return errcode.New(errcode.Denied, "key", "")
	}
	return errcode.Wrap(eris.Errorf("version %d withdrew the key", w.Version), errcode.Denied, "key", w.Organisation)
}

// loggableDatabase returns the name of a database that a caller has asked for, unless it
// is a key that the caller sent in the wrong field.
func (a *access) loggableDatabase(database string) string {
	digest := catalog.DigestKey([]byte(database))
	_, known := a.tracker.Organisation(digest)
	_, withdrawn := a.tracker.Withdrawal(digest)
	if known || withdrawn {
		return "(an API key)"
	}
	return database
}
