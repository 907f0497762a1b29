//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	writersPerProcess = 2

	statementPause   = 60 * time.Millisecond
	statementTimeout = 3 * time.Second
)

// load is clients that write and read at each process.
type load struct {
	stopping atomic.Bool
	clients  sync.WaitGroup

	mu sync.Mutex
	// outcomes counts the outcomes of statements by what was sent.
	outcomes map[string]int
	// acknowledged holds the writes that had success.
	acknowledged []acknowledgedWrite
	// unanswered holds the data of the writes that have got neither success nor a promise.
	unanswered []string
}

// acknowledgedWrite is the data of a write and the time at which its success was received.
type acknowledgedWrite struct {
	data string
	at   time.Time
}

func startLoad(f *fleet) *load {
	l := &load{outcomes: map[string]int{}}
	for i, p := range f.processes {
		for j := range writersPerProcess {
			l.clients.Go(func() {
				l.run(p, primaryDatabase, func(n int) string { return fmt.Sprintf("WRITE i%d w-%d-%d-%d", i, i, j, n) })
			})
		}
		l.clients.Go(func() { l.run(p, boundedDatabase, func(int) string { return fmt.Sprintf("READ i%d", i) }) })
	}
	return l
}

func (l *load) stop() {
	l.stopping.Store(true)
	l.clients.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	record("clients: outcomes %v", l.outcomes)
	record("clients: writes without an answer or a promise: %q", l.unanswered)
}

func (l *load) run(p *process, database string, text func(n int) string) {
	var c *client
	for n := 0; !l.stopping.Load(); n++ {
		time.Sleep(statementPause)
		if c == nil {
			var err error
			if c, err = connect(p.front, database); err != nil {
				time.Sleep(statementPause)
				continue
			}
		}
		id, statement := newID(), text(n)
		sent := time.Now()
		a, err := c.query(id, statement, statementTimeout)
		l.count(p, id, statement, a, err, sent)
		if err != nil || a.state != "I" {
			c.close()
			c = nil
		}
	}
	if c != nil {
		c.close()
	}
}

// promises are the codes that promise that nothing is kept.
var promises = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MOVED": true, "MAXCONN": true}

func (l *load) count(p *process, id, statement string, a answer, err error, sent time.Time) {
	outcome := "success"
	switch {
	case err != nil:
		outcome = "no answer"
	case a.code != "":
		outcome = a.code
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[statement[:4]+" "+outcome]++
	record("client at %s: %s %q sent %.3f s ago: %s %q", p.name, id, statement, time.Since(sent).Seconds(), outcome, a.rows)
	if outcome == "success" {
		if fields := strings.Fields(statement); fields[0] == "WRITE" {
			l.acknowledged = append(l.acknowledged, acknowledgedWrite{fields[2], time.Now()})
		}
		return
	}
	if statement[:4] == "WRIT" && !promises[outcome] {
		l.unanswered = append(l.unanswered, statement)
	}
}
