package admin

import (
	"fmt"
	"time"

	"github.com/rattancove/rattancove/internal/rollout"
)

// Report lists the failovers since a time and the problems that exist now.
type Report struct {
	Environment string           `json:"environment"`
	Since       time.Time        `json:"since"`
	Time        time.Time        `json:"time"`
	Failovers   []FailoverStatus `json:"failovers"`
	// Broken lists the problems that require action; it is empty if there are none.
	Broken []Finding `json:"broken"`
}

// Finding is one current problem.
type Finding struct {
	Subject string `json:"subject"`
	Message string `json:"message"`
}

// NewReport derives the report from a status. It includes the failovers that started
// at or after since, and earlier ones that are not done.
func NewReport(s Status, since time.Time) Report {
	r := Report{Environment: s.Environment, Since: since, Time: s.Time, Failovers: []FailoverStatus{}, Broken: []Finding{}}
	for _, f := range s.Failovers {
		if !f.Started.Before(since) || f.Outcome != OutcomeDone {
			r.Failovers = append(r.Failovers, f)
		}
	}
	r.checkFailovers()
	if s.FailoversMissing != "" {
		r.addFinding("failovers", "the list is not complete: %s", s.FailoversMissing)
	}
	for _, g := range s.Groups {
		r.checkGroup(g)
	}
	r.checkDocuments(s)
	return r
}

// Outcomes of a failover.
const (
	// OutcomeDone means that the primary was replaced.
	OutcomeDone = "done"
	// OutcomeRunning means that a warden is replacing the primary.
	OutcomeRunning = "running"
)

func (r *Report) addFinding(subject, format string, args ...any) {
	r.Broken = append(r.Broken, Finding{Subject: subject, Message: fmt.Sprintf(format, args...)})
}

func (r *Report) checkFailovers() {
	for _, f := range r.Failovers {
		switch f.Outcome {
		case OutcomeDone:
		case OutcomeRunning:
			r.addFinding(string(f.Group), "the failover of term %d is running: step %s at warden %s", f.Term, f.Step, f.Warden)
		default:
			r.addFinding(string(f.Group), "the failover of term %d is %s", f.Term, f.Outcome)
		}
		if f.MayBeLost != "" {
			r.addFinding(string(f.Group), "the failover of term %d may have lost: %s", f.Term, f.MayBeLost)
		}
	}
}

func (r *Report) checkGroup(g GroupStatus) {
	name := string(g.Name)
	if g.Unknown != "" {
		r.addFinding(name, "its state is not known: %s", g.Unknown)
		return
	}
	if g.Primary == "" || !g.Writable {
		r.addFinding(name, "no primary takes writes")
	}
	if g.Home == "" {
		r.addFinding(name, "no proxy owns the group")
	}
	for _, s := range g.Servers {
		switch {
		case !s.Reachable:
			r.addFinding(name, "server %s cannot be reached", s.ID)
		case s.UnusedReason != "":
			r.addFinding(name, "server %s is given no work: %s", s.ID, s.UnusedReason)
		}
	}
}

func (r *Report) checkDocuments(s Status) {
	if s.Document.Status != string(rollout.StatusCurrent) {
		r.addFinding("document", "the document of %s is %s", s.ProcessID, s.Document.Status)
	}
	for _, m := range s.Members {
		if m.Running() && m.behind(s.Document.Revision, s.Document.Digest) {
			r.addFinding("document", "%s holds revision %d, not %d", m.Name(), m.Revision, s.Document.Revision)
		}
	}
}
