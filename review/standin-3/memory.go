//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimit is ram_mb of the settings.
	memoryLimit = 284 << 20
	// crowdClients is the number of clients at a process, preparesPerClient the number of
	// statements that each prepares, and longIDBytes the length of the ids of these messages.
	crowdClients      = 3
	preparesPerClient = 150
	longIDBytes       = 1_000_000
	crowdTime         = 20 * time.Second
	// endsOfFault is the number of ends at each of machinesOfFault machines that is a fault.
	endsOfFault     = 3
	machinesOfFault = 2
)

// residentBytes returns the resident memory of the process; zero if it does not run.
func (p *process) residentBytes() int64 {
	p.mu.Lock()
	pid := p.command.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// limitMemory kills the process as the platform does once it exceeds its memory, starts it
// again, and returns how often it has ended. done ends that.
func (p *process) limitMemory(done <-chan struct{}) (ends int) {
	var highest int64
	for {
		select {
		case <-done:
			record("platform: %s has ended %d times, at most %d MiB resident", p.name, ends, highest>>20)
			return ends
		case <-p.exited:
			record("platform: %s has ended by itself", p.name)
		case <-time.After(20 * time.Millisecond):
			used := p.residentBytes()
			highest = max(highest, used)
			if used <= memoryLimit {
				continue
			}
			record("platform: %s uses %d MiB of %d and is killed", p.name, used>>20, memoryLimit>>20)
			p.signal(syscall.SIGKILL)
			<-p.exited
		}
		ends++
		time.Sleep(restartDelay)
		if err := p.start(); err != nil {
			record("platform: %s does not start: %v", p.name, err)
			return ends
		}
	}
}

// crowd has a client prepare statements, one after the other, and then rest until the
// connection or the case ends. It returns what ended it.
func crowd(p *process, id string, done <-chan struct{}) error {
	conn, err := net.DialTimeout("tcp", p.front, time.Second)
	if err != nil {
		return err
	}
	c := &client{conn: conn, reader: bufio.NewReader(conn)}
	defer c.close()
	if a, err := c.exchange("STARTUP "+boundedDatabase+" u1", 2*time.Second); err != nil || a.code != "" {
		return fmt.Errorf("STARTUP: %v %w", a, err)
	}
	for n := range preparesPerClient {
		a, err := c.query(id, fmt.Sprintf("PARSE s%d READ q1", n), 10*time.Second)
		if err != nil || a.code != "" {
			return fmt.Errorf("PARSE %d: %v %w", n, a, err)
		}
	}
	record("client at %s: %d statements are prepared", p.name, preparesPerClient)
	_ = conn.SetDeadline(time.Now().Add(crowdTime))
	ended := make(chan struct{})
	go func() {
		_, _ = c.reader.ReadByte()
		close(ended)
	}()
	select {
	case <-done:
	case <-ended:
	}
	return nil
}

// runMemory has a few clients at two processes prepare statements in messages of legal size.
// Rule Fault: processes must not end by themselves three times on two machines. With the
// disruption, the ids of these messages are long.
func runMemory(f *fleet, trouble bool) ([]string, error) {
	id := newID()
	if trouble {
		id = strings.Repeat("i", longIDBytes)
	}
	record("the messages of the clients have ids of %d bytes", len(id))
	done := make(chan struct{})
	time.AfterFunc(crowdTime, func() { close(done) })
	var running sync.WaitGroup
	ends := make([]int, machinesOfFault)
	for i, p := range f.processes[:machinesOfFault] {
		running.Go(func() { ends[i] = p.limitMemory(done) })
		for range crowdClients {
			running.Go(func() {
				for !isDone(done) {
					if err := crowd(p, id, done); err != nil {
						record("client at %s: %v", p.name, err)
					}
					time.Sleep(500 * time.Millisecond)
				}
			})
		}
	}
	running.Wait()
	for _, n := range ends {
		if n < endsOfFault {
			return nil, nil
		}
	}
	return []string{fmt.Sprintf("Fault: the processes of %d machines have ended %v times for lack of memory", machinesOfFault, ends)}, nil
}

func isDone(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
