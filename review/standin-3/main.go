//go:build review

// Command review-3 runs a case of the third review: it starts a small deployment of
// rattan-edge processes with stand-ins of the platform, brings about the disruption of the
// case, and checks one rule.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var (
	recordMu    sync.Mutex
	recordFile  *os.File
	recordStart = time.Now()
)

// record writes a line with the time since the start to the record of the case.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	_, _ = fmt.Fprintf(recordFile, "%8.3f %s\n", time.Since(recordStart).Seconds(), fmt.Sprintf(format, args...))
}

// scenarios holds the cases. Each returns the violations of its rule.
var scenarios = map[string]func(f *fleet, trouble bool) (violations []string, err error){
	"lost":    runLost,
	"refused": runRefused,
	"token":   runToken,
	"drain":   runDrain,
}

// recordRuns records the statements of clients that the servers have run.
func (f *fleet) recordRuns() {
	for _, r := range f.group.Runs() {
		if r.ID == "-" {
			continue
		}
		outcome := r.Code
		if outcome == "" {
			outcome = "ok"
		}
		record("server %s: ran %s %.40q at %.3f: %s", r.Server, r.ID, r.Text, r.StartedAt.Sub(recordStart).Seconds(), outcome)
	}
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD TROUBLE, where TROUBLE is 0 to leave the disruption out")
		os.Exit(exitNotRun)
	}
	var err error
	if recordFile, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[3] != "0"))
}

func run(name string, trouble bool) int {
	record("case %s, with the disruption: %v", name, trouble)
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		record("not run: %v", err)
		return exitNotRun
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	f, err := startFleet(dir)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		record("not run: %v", err)
		return exitNotRun
	}
	record("all processes are ready")
	violations, err := scenarios[name](f, trouble)
	f.recordRuns()
	if err != nil {
		record("not run: %v", err)
		return exitNotRun
	}
	for _, v := range violations {
		record("BROKEN: %s", v)
	}
	if len(violations) > 0 {
		return exitBroken
	}
	record("the rule held")
	return exitHeld
}
