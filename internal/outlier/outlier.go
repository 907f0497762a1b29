package outlier

import "time"

const (
	// failuresInRow ejects a server that fails every request: a second failure
	// tells it from one reset connection.
	failuresInRow = 2
	// window is the number of outcomes that the failure rate is taken over, and
	// windowTime the age beyond which they do not count: a server that fails a part
	// of its requests is found within a second at 20 requests a second.
	window     = 20
	windowTime = 5 * time.Second
	// leastFailures and failureRate eject a server that fails a part of its
	// requests. Elsewhere they would have been served at the price of one more try.
	leastFailures = 3
	failureRate   = 0.2
	// firstEjection is the time of a first ejection; each further one within
	// memory takes twice as long, up to longestEjection.
	firstEjection   = 300 * time.Millisecond
	longestEjection = 8 * time.Second
	memory          = 30 * time.Second
	// probation is the number of requests in a row that a server must carry out
	// after its return before a single failure does not eject it again.
	probation = 10
)

// outcome is how one request ended.
type outcome struct {
	at     time.Time
	failed bool
}

// Judge follows one server. Its owner serialises the calls.
type Judge struct {
	recent  []outcome
	inRow   int
	ejected bool
	// ejections counts those that are remembered, and last is when the last one ended.
	ejections int
	last      time.Time
	// unproven is the number of requests that are left of the probation.
	unproven int
}

// Ejected reports whether the server gets no requests.
func (j *Judge) Ejected() bool { return j.ejected }

// Succeeded notes a request that the server carried out.
func (j *Judge) Succeeded(now time.Time) {
	j.inRow = 0
	j.unproven = max(j.unproven-1, 0)
	j.note(now, false)
}

// Failed notes a request that the server did not carry out, and reports whether
// it should be ejected.
func (j *Judge) Failed(now time.Time) bool {
	j.inRow++
	j.note(now, true)
	if j.ejected {
		return false
	}
	return j.unproven > 0 || j.inRow >= failuresInRow || j.failsOften()
}

func (j *Judge) note(now time.Time, failed bool) {
	j.recent = append(j.recent, outcome{now, failed})
	first := max(len(j.recent)-window, 0)
	for first < len(j.recent) && now.Sub(j.recent[first].at) > windowTime {
		first++
	}
	j.recent = append(j.recent[:0], j.recent[first:]...)
}

// failsOften reports whether a part of the recent requests failed.
func (j *Judge) failsOften() bool {
	failures := 0
	for _, o := range j.recent {
		if o.failed {
			failures++
		}
	}
	return failures >= leastFailures && float64(failures) >= failureRate*float64(len(j.recent))
}

// Eject takes the server out and returns for how long.
func (j *Judge) Eject(now time.Time) time.Duration {
	if now.Sub(j.last) > memory {
		j.ejections = 0
	}
	j.ejected = true
	pause := firstEjection
	for range j.ejections {
		pause = min(2*pause, longestEjection)
	}
	j.ejections++
	return pause
}

// Extend prolongs an ejection after a trial that failed, and returns the time
// until the next trial.
func (j *Judge) Extend(now time.Time) time.Duration {
	j.last = now
	return j.Eject(now)
}

// Readmit lets the server have requests again, on probation.
func (j *Judge) Readmit(now time.Time) {
	j.ejected, j.inRow, j.recent = false, 0, nil
	j.unproven, j.last = probation, now
}
