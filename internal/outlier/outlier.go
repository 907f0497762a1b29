package outlier

import "time"

const (
	// consecutiveFailureThreshold ejects a server that fails every request: a second failure
	// tells it from one reset connection.
	consecutiveFailureThreshold = 2
	// windowSize is the number of outcomes that the failure rate is taken over, and
	// windowTime the age beyond which they do not count: a server that fails a part
	// of its requests is found within a second at 20 requests a second.
	windowSize = 20
	windowAge  = 5 * time.Second
	// minFailures and failureRate eject a server that fails a part of its
	// requests. Elsewhere they would have been served at the price of one more try.
	minFailures          = 3
	failureRateThreshold = 0.2
	// baseEjection is the time of a first ejection; each further one within
	// memory takes twice as long, up to longestEjection.
	baseEjection         = 300 * time.Millisecond
	maxEjection          = 8 * time.Second
	ejectionBackoffReset = 30 * time.Second
	// probationRequests is the number of requests in a row that a server must carry out
	// after its return before a single failure does not eject it again.
	probationRequests = 10
)

// outcome is how one request ended.
type outcome struct {
	at     time.Time
	failed bool
}

// Detector follows one server. Its owner serialises the calls.
type Detector struct {
	recent              []outcome
	consecutiveFailures int
	ejected             bool
	// ejections counts those that are remembered, and last is when the last one ended.
	ejections       int
	lastEjectionEnd time.Time
	// probationLeft is the number of requests that are left of the probation.
	probationLeft int
}

// Ejected reports whether the server gets no requests.
func (j *Detector) Ejected() bool { return j.ejected }

// RecordSuccess notes a request that the server carried out.
func (j *Detector) RecordSuccess(now time.Time) {
	j.consecutiveFailures = 0
	j.probationLeft = max(j.probationLeft-1, 0)
	j.record(now, false)
}

// RecordFailure notes a request that the server did not carry out, and reports whether
// it should be ejected.
func (j *Detector) RecordFailure(now time.Time) bool {
	j.consecutiveFailures++
	j.record(now, true)
	if j.ejected {
		return false
	}
	return j.probationLeft > 0 || j.consecutiveFailures >= consecutiveFailureThreshold || j.exceedsFailureRate()
}

func (j *Detector) record(now time.Time, failed bool) {
	j.recent = append(j.recent, outcome{now, failed})
	first := max(len(j.recent)-windowSize, 0)
	for first < len(j.recent) && now.Sub(j.recent[first].at) > windowAge {
		first++
	}
	j.recent = append(j.recent[:0], j.recent[first:]...)
}

// exceedsFailureRate reports whether a part of the recent requests failed.
func (j *Detector) exceedsFailureRate() bool {
	failures := 0
	for _, o := range j.recent {
		if o.failed {
			failures++
		}
	}
	return failures >= minFailures && float64(failures) >= failureRateThreshold*float64(len(j.recent))
}

// Eject takes the server out and returns for how long.
func (j *Detector) Eject(now time.Time) time.Duration {
	if now.Sub(j.lastEjectionEnd) > ejectionBackoffReset {
		j.ejections = 0
	}
	j.ejected = true
	duration := baseEjection
	for range j.ejections {
		duration = min(2*duration, maxEjection)
	}
	j.ejections++
	return duration
}

// ExtendEjection prolongs an ejection after a trial that failed, and returns the time
// until the next trial.
func (j *Detector) ExtendEjection(now time.Time) time.Duration {
	j.lastEjectionEnd = now
	return j.Eject(now)
}

// Readmit lets the server have requests again, on probation.
func (j *Detector) Readmit(now time.Time) {
	j.ejected, j.consecutiveFailures, j.recent = false, 0, nil
	j.probationLeft, j.lastEjectionEnd = probationRequests, now
}
