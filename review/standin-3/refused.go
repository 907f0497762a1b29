//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// slowClients send messages of slowMessageBytes at slowRate.
	slowClients      = 40
	slowMessageBytes = 1_000_000
	slowRate         = 100_000 // bytes a second
	slowInterval     = 50 * time.Millisecond
	// The transactions write a long row, of longRowBytes, and then a short one.
	transactions       = 10
	longRowBytes       = 40_000
	transactionTimeout = 15 * time.Second
	// The slow clients begin within slowStart, so that their messages end at different times,
	// and the transactions crowdLead after the first of them.
	slowStart = 10 * time.Second
	crowdLead = 12 * time.Second
)

// sendSlowly sends long messages, a piece at a time, until done. Their text is none that the
// protocol has.
func sendSlowly(p *process, done <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", p.front, time.Second)
	if err != nil {
		record("slow client: %v", err)
		return
	}
	c := &client{conn: conn, reader: bufio.NewReader(conn)}
	defer c.close()
	if a, err := c.exchange("STARTUP "+boundedDatabase+" u1", 2*time.Second); err != nil || a.code != "" {
		record("slow client: STARTUP: %v %v", a, err)
		return
	}
	_ = conn.SetDeadline(time.Time{})
	go func() {
		for {
			line, err := c.reader.ReadString('\n')
			if err != nil {
				return
			}
			if strings.HasPrefix(line, "ERROR") {
				record("slow client: %s", strings.TrimSpace(line))
			}
		}
	}()
	message := []byte("QUERY " + newID() + " " + strings.Repeat("x", slowMessageBytes) + "\r\n")
	piece := int(slowRate * slowInterval.Seconds())
	for {
		for sent := 0; sent < len(message); sent += piece {
			if isDone(done) {
				return
			}
			if _, err := conn.Write(message[sent:min(sent+piece, len(message))]); err != nil {
				record("slow client: %v", err)
				return
			}
			time.Sleep(slowInterval)
		}
	}
}

// runRefused has a client send whole transactions of two writes ahead, and then read the
// answers. Rule REFUSED: nothing of them may be committed after a promise that nothing is
// kept. With the disruption, other clients send long messages slowly.
func runRefused(f *fleet, trouble bool) ([]string, error) {
	p := f.processes[0]
	done := make(chan struct{})
	var crowd sync.WaitGroup
	if trouble {
		for n := range slowClients {
			crowd.Go(func() {
				time.Sleep(slowStart * time.Duration(n) / slowClients)
				sendSlowly(p, done)
			})
		}
		time.Sleep(crowdLead)
	}
	var mu sync.Mutex
	var violations []string
	var clients sync.WaitGroup
	for n := range transactions {
		clients.Go(func() {
			promise, committed, err := sendTransaction(p, n)
			if err != nil {
				record("transaction %d: %v", n, err)
				return
			}
			counts := f.group.CommittedCounts()
			if promise == "" || counts[shortRow(n)] == 0 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			violations = append(violations, fmt.Sprintf("REFUSED: transaction %d got the promise %s, its COMMIT success %v, and its second write is in the log of the primary %d times, its first one %d times",
				n, promise, committed, counts[shortRow(n)], counts[longRow(n)]))
		})
	}
	clients.Wait()
	close(done)
	crowd.Wait()
	return violations, nil
}

func longRow(n int) string { return fmt.Sprintf("long-%d-", n) + strings.Repeat("y", longRowBytes) }

func shortRow(n int) string { return fmt.Sprintf("short-%d", n) }

// sendTransaction sends a transaction ahead and reads the answers. It returns the first
// promise among them, and whether COMMIT had success.
func sendTransaction(p *process, n int) (promise string, committed bool, err error) {
	c, err := connect(p.front, primaryDatabase)
	if err != nil {
		return "", false, err
	}
	defer c.close()
	texts := []string{"BEGIN", "WRITE a" + longRow(n)[:6] + " " + longRow(n), "WRITE b " + shortRow(n), "COMMIT"}
	var messages strings.Builder
	for _, text := range texts {
		messages.WriteString("QUERY " + newID() + " " + text + "\r\n")
	}
	_ = c.conn.SetDeadline(time.Now().Add(transactionTimeout))
	if _, err := c.conn.Write([]byte(messages.String())); err != nil {
		return "", false, err
	}
	for _, text := range texts {
		a, err := c.receive()
		if err != nil {
			return promise, false, err
		}
		record("transaction %d: %.20q: %v", n, text, a)
		if promises[a.code] && promise == "" {
			promise = a.code
		}
		committed = text == "COMMIT" && a.code == ""
	}
	return promise, committed, nil
}

func isDone(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
