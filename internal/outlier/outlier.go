package outlier

import "time"

const (
	// consecutiveFailureThreshold ejects a server that fails every request. A second
	// failure distinguishes it from one reset connection.
	consecutiveFailureThreshold = 2
	// windowSize is the number of outcomes over which the failure rate is computed,
	// and windowAge the age beyond which they do not count. At 20 requests a second, a
	// server that fails some of its requests is detected within a second.
	windowSize = 20
	windowAge  = 5 * time.Second
	// minFailures and failureRateThreshold eject a server that fails some of its
	// requests. Each of these costs a retry at another server.
	minFailures          = 3
	failureRateThreshold = 0.2
	// baseEjection is the duration of the first ejection. The duration doubles with
	// each further ejection within ejectionBackoffReset of the end of the previous
	// one, up to maxEjection.
	baseEjection         = 300 * time.Millisecond
	maxEjection          = 8 * time.Second
	ejectionBackoffReset = 30 * time.Second
	// probationRequests is the number of requests in a row that a server must carry
	// out after its readmission. Until then, a single failure ejects it again.
	probationRequests = 10
)

// outcome is the outcome of one request.
type outcome struct {
	at     time.Time
	failed bool
}

// Detector tracks the outcomes of one server's requests. The caller must serialise
// the calls.
type Detector struct {
	recent              []outcome
	consecutiveFailures int
	ejected             bool
	// ejections is the number of ejections since the last reset of the backoff, and
	// lastEjectionEnd the time at which the last one ended.
	ejections       int
	lastEjectionEnd time.Time
	// probationLeft is the number of successful requests until the probation ends.
	probationLeft int
}

// Ejected reports whether the server is ejected and must get no requests.
func (j *Detector) Ejected() bool { return j.ejected }

// RecordSuccess records a request that the server carried out.
func (j *Detector) RecordSuccess(now time.Time) {
	j.consecutiveFailures = 0
	j.probationLeft = max(j.probationLeft-1, 0)
	j.record(now, false)
}

// RecordFailure records a request that the server did not carry out, and reports
// whether the server should be ejected.
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

// exceedsFailureRate reports whether too many of the recent requests failed.
func (j *Detector) exceedsFailureRate() bool {
	failures := 0
	for _, o := range j.recent {
		if o.failed {
			failures++
		}
	}
	return failures >= minFailures && float64(failures) >= failureRateThreshold*float64(len(j.recent))
}

// Eject ejects the server and returns for how long.
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

// ExtendEjection prolongs an ejection after a failed attempt to connect to the
// server, and returns the time until the next attempt.
func (j *Detector) ExtendEjection(now time.Time) time.Duration {
	j.lastEjectionEnd = now
	return j.Eject(now)
}

// Readmit ends the ejection and starts the server's probation.
func (j *Detector) Readmit(now time.Time) {
	j.ejected, j.consecutiveFailures, j.recent = false, 0, nil
	j.probationLeft, j.lastEjectionEnd = probationRequests, now
}
