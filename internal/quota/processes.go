package quota

import (
	"maps"
	"slices"
	"time"
)

// Process is a home's process.
type Process struct {
	Home        string
	Incarnation uint64
}

// A dealer gives credits only to processes that it has recorded where the next dealer finds
// them. Once all of them have reported to it, the next dealer knows everything and need not
// wait until the credits of unknown homes have expired.

// Unrecorded reports whether a process waits to be recorded.
func (d *Dealer) Unrecorded() bool {
	for name, h := range d.homes {
		if !d.recorded[Process{name, h.incarnation}] {
			return true
		}
	}
	return false
}

// Processes returns the processes that have to be recorded: those that may have credits,
// or may have used some within the window.
func (d *Dealer) Processes(now time.Duration) []Process {
	var processes []Process
	for name, h := range d.homes {
		processes = append(processes, Process{name, h.incarnation})
	}
	for p, closedAt := range d.closed {
		if now-closedAt > d.bounds.settleTime() {
			delete(d.closed, p)
			continue
		}
		processes = append(processes, p)
	}
	d.settle(now)
	for p := range d.earlier {
		processes = append(processes, p)
	}
	// The record may replace the last one without the dealer getting the answer. Those that
	// are not in it may return.
	recorded := d.recorded
	d.Record(slices.DeleteFunc(slices.Clone(processes), func(p Process) bool { return !recorded[p] }))
	return processes
}

// Record tells the dealer that the processes are recorded.
func (d *Dealer) Record(processes []Process) {
	d.recorded = map[Process]bool{}
	for _, p := range processes {
		d.recorded[p] = true
	}
}

// hear notes that a process of an earlier dealer has reported.
func (d *Dealer) hear(p Process, now time.Duration) {
	delete(d.closed, p)
	delete(d.earlier, p)
	d.settle(now)
}

// settle notes when the dealer knows all uses of the last window.
func (d *Dealer) settle(now time.Duration) {
	if now >= d.began+d.bounds.settleTime() {
		d.earlier, d.unseenUntil = nil, 0
	}
	if len(d.earlier) == 0 && now >= d.unseenUntil {
		d.settled = true
	}
}

// Earlier returns the processes with credits of earlier dealers that are not known to have
// ended and have not reported.
func (d *Dealer) Earlier() []Process { return slices.Collect(maps.Keys(d.earlier)) }

// End records that a process with credits of earlier dealers has ended. Its credits are gone,
// but no report tells what it has used; that has left the window one window later.
func (d *Dealer) End(p Process, now time.Duration) {
	if !d.earlier[p] {
		return
	}
	delete(d.earlier, p)
	// It remains recorded until then: its credits are gone like those of a home that was
	// closed forgetTime ago. The next dealer would otherwise settle at once.
	d.closed[p] = now - forgetTime
	d.unseenUntil = max(d.unseenUntil, now+d.bounds.Window+d.bounds.Window/clockMargin)
}
