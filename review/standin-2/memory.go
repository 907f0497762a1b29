//go:build review

package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// hostileSessions and hostileStatements are the sessions that one client opens to each
	// machine, and the statements that it prepares in each.
	hostileSessions   = 3
	hostileStatements = 190
	// longIDBytes is the length of the ids of their messages, which are below 1 MiB.
	longIDBytes = 1_000_000
	// memoryTime is how long the clients go on, if there is no fault before.
	memoryTime = 30 * time.Second
	// ownEnds is the number of ends of a process that are a fault.
	ownEnds = 3
	// faultMachines is the number of machines on which they are.
	faultMachines = 2
)

// memoryCase plays clients that are not controlled: each prepares statements in messages of
// legal size, of which nearly all is the id, and keeps its sessions open.
func memoryCase(d *deployment) (bool, error) {
	if err := d.start(2); err != nil {
		return false, err
	}
	id := "5c0e7a21d94b36f8"
	if trouble() {
		id = strings.Repeat("f", longIDBytes)
	}
	d.record.writef("%d sessions to each machine prepare %d statements each, with ids of %d bytes", hostileSessions, hostileStatements, len(id))
	ctx, cancel := context.WithTimeout(context.Background(), memoryTime)
	defer cancel()
	var clients sync.WaitGroup
	for _, m := range d.machines {
		for n := range hostileSessions {
			clients.Go(func() { m.prepareUntil(ctx, id, n) })
		}
	}
	served, failed := 0, 0
	for ctx.Err() == nil && !d.isFault() {
		answered := d.serveOnEach()
		served, failed = served+answered, failed+len(d.machines)-answered
		time.Sleep(200 * time.Millisecond)
	}
	cancel()
	clients.Wait()
	d.record.writef("ordinary reads on sessions of their own: %d answered, %d not", served, failed)
	for _, m := range d.machines {
		peak, kills := m.memory()
		d.record.writef("%s: at most %d MB resident, limit %d MB; ended %d times above it", m.name, peak, ramMB, kills)
	}
	return d.isFault(), nil
}

// isFault reports whether the processes of two machines have ended by themselves often enough.
func (d *deployment) isFault() bool {
	machines := 0
	for _, m := range d.machines {
		if _, kills := m.memory(); kills >= ownEnds {
			machines++
		}
	}
	return machines >= faultMachines
}

// serveOnEach reads an item through each machine, as an ordinary client does, and returns the
// number of answers.
func (d *deployment) serveOnEach() (answered int) {
	for _, m := range d.machines {
		if err := m.serveOnce(); err != nil {
			d.record.writef("%s: an ordinary read is not answered: %v", m.name, err)
			continue
		}
		answered++
	}
	return answered
}

// prepareUntil opens a session and prepares statements in it. It opens another one if that
// session is closed.
func (m *machine) prepareUntil(ctx context.Context, id string, number int) {
	for ctx.Err() == nil {
		prepared, err := m.prepare(ctx, id)
		m.record.writef("%s: hostile session %d had prepared %d statements at its end: %v", m.name, number, prepared, err)
		time.Sleep(200 * time.Millisecond)
	}
}

// prepare prepares statements in one session and keeps it open.
func (m *machine) prepare(ctx context.Context, id string) (prepared int, err error) {
	c, err := m.connect("u7")
	if err != nil {
		return 0, err
	}
	defer c.close()
	defer context.AfterFunc(ctx, c.close)()
	for n := range hostileStatements {
		answer, err := c.ask(id, fmt.Sprintf("PARSE s%d READ q2c", n))
		if err != nil {
			return prepared, err
		}
		if strings.HasPrefix(answer[0], "COMPLETE") {
			prepared++
		}
	}
	for ctx.Err() == nil {
		if _, err := c.ask("5c0e7a21d94b36f9", "SET note idle"); err != nil {
			return prepared, err
		}
		time.Sleep(time.Second)
	}
	return prepared, nil
}
