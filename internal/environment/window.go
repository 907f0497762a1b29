package environment

import (
	"strings"
	"time"
	_ "time/tzdata" // entry VMs may have no time zone database
)

// timeOfDay is the time layout of From and To.
const timeOfDay = "15:04"

// Contains reports whether now is in the window. From is inclusive, To exclusive.
func (w ChangeWindow) Contains(now time.Time) bool {
	zone, err := time.LoadLocation(w.TimeZone)
	if err != nil {
		return true // fail closed: changes are refused if the time zone is unknown
	}
	local := now.In(zone)
	if strings.ToLower(local.Weekday().String()) != w.Day {
		return false
	}
	clock := local.Format(timeOfDay)
	return w.From <= clock && clock < w.To
}

// WindowAt returns the change window that contains now. The second result is false
// when there is none and changes are allowed.
func (d *Document) WindowAt(now time.Time) (ChangeWindow, bool) {
	for _, w := range d.ChangeWindows {
		if w.Contains(now) {
			return w, true
		}
	}
	return ChangeWindow{}, false
}
