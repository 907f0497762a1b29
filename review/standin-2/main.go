//go:build review

// Command standin-2 runs one case of the second review: it starts rattan-edge processes with
// the command of the deploy file, stand-ins of the platform and of the backend servers, and
// the clients of the case, and judges what these have seen.
//
//	standin-2 CASE
//
// It writes what it has seen to record.txt in the working directory. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the
// disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(d *deployment) (bool, error){
	"crowd":    crowdCase,
	"memory":   memoryCase,
	"prepared": preparedCase,
}

// timeLimit ends a case that hangs.
const timeLimit = 110 * time.Second

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 crowd|memory|prepared")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]]))
}

func run(play func(*deployment) (bool, error)) int {
	out, err := os.Create("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	d := &deployment{record: &record{out: out, start: time.Now()}}
	defer d.stop()
	result := make(chan int, 1)
	go func() { result <- d.play(play) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case code := <-result:
		return code
	case <-time.After(timeLimit):
		d.record.writef("the case did not end within %v", timeLimit)
	case s := <-signals:
		d.record.writef("ended by %v", s)
	}
	return 2
}

func (d *deployment) play(play func(*deployment) (bool, error)) int {
	broken, err := play(d)
	switch {
	case err != nil:
		d.record.writef("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		d.record.writef("RESULT: the rule was broken")
		return 1
	default:
		d.record.writef("RESULT: the rule held")
		return 0
	}
}

// trouble reports whether the disruption is to be played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func (r *record) writef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
