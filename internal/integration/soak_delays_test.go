package integration

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// delayInterval is the interval of a timer in the test's process, and longDelay the
	// lateness of it that counts as long.
	delayInterval = 50 * time.Millisecond
	longDelay     = 250 * time.Millisecond
)

// hostDelays records how the machine holds up the test's own process, in which the
// stand-ins run. A soak that fails while all calls time out shows by it whether they
// had been started late.
type hostDelays struct {
	mu      sync.Mutex
	longest time.Duration
	// longestAt is when the longest delay ended, since the start.
	longestAt time.Duration
	long      int
	// least is the least available memory in MB, -1 if unknown.
	least int
}

// watch records delays until done is closed.
func (d *hostDelays) watch(started time.Time, done <-chan struct{}) {
	d.least = availableMemory()
	for last := time.Now(); ; last = time.Now() {
		select {
		case <-done:
			return
		case <-time.After(delayInterval):
		}
		d.record(time.Since(last)-delayInterval, time.Since(started), availableMemory())
	}
}

func (d *hostDelays) record(late, at time.Duration, available int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if late > d.longest {
		d.longest, d.longestAt = late, at
	}
	if late >= longDelay {
		d.long++
	}
	d.least = min(d.least, available)
}

func (d *hostDelays) String() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprintf("timers of the test late by up to %v (at %.2f s), %d times by %v or more; least available memory %d MB",
		d.longest.Round(time.Millisecond), d.longestAt.Seconds(), d.long, longDelay, d.least)
}

// availableMemory returns the available memory in MB, -1 if it is unknown.
func availableMemory() int {
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return -1
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var kB int
		if rest, ok := strings.CutPrefix(lines.Text(), "MemAvailable:"); ok {
			if _, err := fmt.Sscan(rest, &kB); err == nil {
				return kB / 1024
			}
		}
	}
	return -1
}
