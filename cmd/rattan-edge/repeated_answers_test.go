package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/standin/userplatform"
)

// repeatingRelay relays connections to a server and sends some of its answers again, at
// once or late.
type repeatingRelay struct {
	server   string
	mu       sync.Mutex
	random   *rand.Rand
	repeated int
}

const (
	// repeatEvery is the number of answers of which one is sent again.
	repeatEvery = 40
	// maxRepeatDelay bounds the delay of a repeated answer.
	maxRepeatDelay = 30 * time.Millisecond
)

// listen starts the relay and returns its address.
func (r *repeatingRelay) listen(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.relay(conn)
		}
	}()
	return l.Addr().String()
}

func (r *repeatingRelay) relay(client net.Conn) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", r.server)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	go func() {
		defer func() { _ = server.Close() }()
		buf := make([]byte, 4096)
		for {
			n, err := client.Read(buf)
			if _, writeErr := server.Write(buf[:n]); err != nil || writeErr != nil {
				return
			}
		}
	}()
	reader := bufio.NewReader(server)
	var answer []byte
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return
		}
		if answer = append(answer, line...); !strings.HasPrefix(string(line), "READY ") {
			continue
		}
		again, late := r.decide()
		if again && late == 0 {
			answer = append(answer, answer...)
		}
		if _, err := client.Write(answer); err != nil {
			return
		}
		if again && late > 0 {
			repeated := slices.Clone(answer)
			time.AfterFunc(late, func() { _, _ = client.Write(repeated) })
		}
		answer = answer[:0]
	}
}

// decide returns whether an answer is sent again, and after which delay.
func (r *repeatingRelay) decide() (again bool, late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.random.IntN(repeatEvery) > 0 {
		return false, 0
	}
	r.repeated++
	return true, time.Duration(r.random.IntN(3)) * time.Duration(r.random.Int64N(int64(maxRepeatDelay)))
}

// repeatedRun holds what the callers saw.
type repeatedRun struct {
	d  *deployment
	mu sync.Mutex
	// refused holds the data of writes that were answered with a promise that nothing ran.
	refused   []string
	succeeded int
}

// TestServersThatAnswerTwice: each caller gets the signature of its own statements, and no
// write that was refused is committed, while servers send answers again.
func TestServersThatAnswerTwice(t *testing.T) {
	d := deploy(t, 2)
	d.awaitReady(0, true)
	d.awaitReady(1, true)
	d.eventually("first order", func() error { _, err := d.runStatements(0, "WRITE crate one"); return err })
	var relays []*repeatingRelay
	for i, id := range d.group.ServerIDs() {
		r := &repeatingRelay{random: rand.New(rand.NewPCG(1, uint64(i)))}
		d.group.Advertise(id, func(address string) string {
			r.server = address
			return r.listen(t)
		})
		relays = append(relays, r)
	}
	run := &repeatedRun{d: d}
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() { run.call(i) })
	}
	callers.Wait()
	counts := d.group.CommittedCounts()
	for _, data := range run.refused {
		if counts[data] > 0 {
			t.Errorf("%s was refused, but committed", data)
		}
	}
	repeated := 0
	for _, r := range relays {
		r.mu.Lock()
		repeated += r.repeated
		r.mu.Unlock()
	}
	t.Logf("%d succeeded, %d writes refused, %d answers sent again", run.succeeded, len(run.refused), repeated)
	if run.succeeded < 1000 || repeated < 50 {
		t.Error("the run shows too little")
	}
}

// call runs single reads and writes, and transactions, each in a session of its own.
func (r *repeatedRun) call(caller int) {
	for n := range 100 {
		id := fmt.Sprintf("c%dn%d", caller, n)
		texts := []string{"READ crate", "WRITE crate " + id}
		if n%3 == 0 {
			texts = []string{"BEGIN", "READ crate", "WRITE crate " + id, "COMMIT"}
		}
		c, err := r.d.connect(caller%2, "shop")
		if err != nil {
			continue
		}
		for i, text := range texts {
			if !r.statement(c, fmt.Sprintf("%ss%d", id, i), text, id) {
				break
			}
		}
		_ = c.conn.Close()
	}
}

// statement runs one statement and reports whether it succeeded.
func (r *repeatedRun) statement(c *caller, id, text, data string) bool {
	answer, err := c.send("QUERY " + id + " " + text)
	r.mu.Lock()
	defer r.mu.Unlock()
	code, refused := strings.CutPrefix(answer, "ERROR ")
	if err != nil || refused {
		code, _, _ = strings.Cut(code, " ")
		promises := []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "MAXCONN"}
		if err == nil && !strings.HasPrefix(text, "READ") && slices.Contains(promises, code) {
			r.refused = append(r.refused, data)
		}
		return false
	}
	r.succeeded++
	if text != "BEGIN" && !r.isAnswerTo(id, text, answer) {
		r.d.t.Errorf("%s %s got %s", id, text, answer)
	}
	return true
}

// isAnswerTo reports whether an answer has the signature of the last run of a statement. A read
// that is repeated on another connection may run there first, so that any of its runs counts.
func (r *repeatedRun) isAnswerTo(id, text, answer string) bool {
	signed := func(run userplatform.Run) bool {
		return run.Signature != "" && strings.Contains(answer, "COMPLETE "+run.Signature+"|")
	}
	if run, ran := r.d.group.RunOf(id); ran && signed(run) {
		return true
	}
	return strings.HasPrefix(text, "READ ") && slices.ContainsFunc(r.d.group.Runs(), func(run userplatform.Run) bool {
		return run.ID == id && run.Text == text && signed(run)
	})
}
