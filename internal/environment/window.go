package environment

import (
	"strings"
	"time"
	_ "time/tzdata" // Entry VMs may carry no time zone files.
)

// timeOfDay is the layout of a change window's bounds.
const timeOfDay = "15:04"

// Contains reports whether the window is in force at now. From belongs to the
// window and To does not.
func (w ChangeWindow) Contains(now time.Time) bool {
	zone, err := time.LoadLocation(w.TimeZone)
	if err != nil {
		return true // An unreadable window refuses rather than allows.
	}
	local := now.In(zone)
	if strings.ToLower(local.Weekday().String()) != w.Day {
		return false
	}
	clock := local.Format(timeOfDay)
	return w.From <= clock && clock < w.To
}

// WindowAt returns the change window in force at now. The second result is
// false when changes are allowed.
func (d *Document) WindowAt(now time.Time) (ChangeWindow, bool) {
	for _, w := range d.ChangeWindows {
		if w.Contains(now) {
			return w, true
		}
	}
	return ChangeWindow{}, false
}
