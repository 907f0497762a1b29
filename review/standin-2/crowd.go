//go:build review

package main

import (
	"sync"
	"time"
)

const (
	// crowdSessions is the number of sessions that the crowd keeps open at each machine: the
	// 4,300 descriptors of a machine of pmc-quito leave room for no more.
	crowdSessions = 2600
	// crowdTime is how long ordinary clients try.
	crowdTime = 40 * time.Second
	// openers is the number of connections that the crowd opens at a time.
	openers = 16
)

// crowdCase plays a crowd of clients that each begin a transaction and stop there, while
// ordinary clients try to read an item, each in a session of its own.
func crowdCase(d *deployment) (bool, error) {
	if err := d.start(2); err != nil {
		return false, err
	}
	wanted := 0
	if trouble() {
		wanted = crowdSessions
	}
	for _, m := range d.machines {
		open := m.rest(wanted)
		defer func() {
			for _, c := range open {
				c.close()
			}
		}()
		d.record.writef("%s: %d of %d sessions of the crowd have begun a transaction and rest", m.name, len(open), wanted)
	}
	served, failed := 0, 0
	var last error
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for _, m := range d.machines {
			if err := m.serveOnce(); err != nil {
				failed++
				last = err
				continue
			}
			served++
		}
	}
	d.record.writef("ordinary clients: %d reads answered, %d not; the last error: %v", served, failed, last)
	return served == 0, nil
}

// rest opens sessions that rest in a transaction, and returns those that have begun one.
func (m *machine) rest(wanted int) []*client {
	var (
		mu      sync.Mutex
		open    []*client
		workers sync.WaitGroup
		turns   = make(chan struct{}, openers)
	)
	for range wanted {
		turns <- struct{}{}
		workers.Go(func() {
			defer func() { <-turns }()
			c, err := m.connect("u9")
			if err != nil {
				return
			}
			if answer, err := c.ask("5c0e7a21d94b36f8", "BEGIN"); err != nil || answer[len(answer)-1] != "READY T -" {
				c.close()
				return
			}
			mu.Lock()
			defer mu.Unlock()
			open = append(open, c)
		})
	}
	workers.Wait()
	return open
}
