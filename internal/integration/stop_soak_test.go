package integration

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// stopSeedsEnv sets the number of seeds and stopFirstEnv the first of them.
	stopSeedsEnv = "RATTAN_STOP_SEEDS"
	stopFirstEnv = "RATTAN_STOP_FIRST"

	stopSeeds         = 2
	stopSoakProcesses = 3
	// stopRounds is the number of times that each process is stopped.
	stopRounds       = 2
	callersOfProcess = 8
	// callerDelay is the delay between callers and processes in each direction, maxWorkTime
	// the maximum time that a server takes for a statement and maxPause that between two
	// statements of a transaction.
	callerDelay = 3 * time.Millisecond
	maxWorkTime = 60 * time.Millisecond
	maxPause    = 400 * time.Millisecond
	// lostSlack is the time from the sending of a statement up to which a process may end
	// its connection unread.
	lostSlack = 200 * time.Millisecond
	// transactionGrace is the time after SIGTERM for which an open transaction may go on,
	// and excusedWork the time from which a statement that was sent within it may be cut off
	// while a server works on it.
	transactionGrace = stopTimeout / 2
	excusedWork      = stopTimeout * 5 / 6
	// maxStopMisanswers is the maximum fraction of the statements that are answered twice.
	maxStopMisanswers = 0.1
)

// stopCaller is a session that uses its connection until it ends.
type stopCaller struct {
	soak    *soak
	edge    *soakEdge
	address string
	name    string
	random  *rand.Rand
	stops   *stopTimes
	habit   func(c *stopCaller) error

	conn     net.Conn
	reader   *bufio.Reader
	requests int
	// inTransaction is set while a transaction is open.
	inTransaction bool
}

// stopTimes holds the last SIGTERM of each process.
type stopTimes struct {
	mu   sync.Mutex
	last map[*soakEdge]time.Time
}

func (s *stopTimes) record(e *soakEdge) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[e] = time.Now()
}

func (s *stopTimes) of(e *soakEdge) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last[e]
}

// TestPlannedStopSoak stops processes in order, one after the other and at the same time,
// while callers use their connections until these end. It guards against a stop that cuts
// off a statement which a server has run, or ends a transaction too soon: of callers that
// think between the statements of a transaction, that send without a pause, and that send
// the next statement before the last one is answered.
func TestPlannedStopSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "rattan-edge")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/rattan-edge").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	first := uint64(fromEnv(stopFirstEnv, 0))
	for i := range uint64(fromEnv(stopSeedsEnv, stopSeeds)) {
		t.Run(fmt.Sprintf("seed %d", first+i), func(t *testing.T) { runStops(t, first+i, program) })
	}
}

func runStops(t *testing.T, seed uint64, program string) {
	s := newSoak(t, seed, program, fromEnv(soakProcessesEnv, stopSoakProcesses), false)
	s.plannedOnly = true
	random := rand.New(rand.NewPCG(seed, 11))
	ctx, cancel := context.WithCancel(t.Context())
	var work sync.WaitGroup
	for _, e := range s.edges {
		work.Go(func() { e.pollReadiness(ctx.Done()) })
	}
	s.awaitService("at the start")
	for _, g := range s.groups {
		g.SetWorkTime(time.Duration(random.Int64N(int64(maxWorkTime))))
	}
	if seed%2 == 1 {
		s.setMisanswers(randomMisanswers(random, maxStopMisanswers))
	}
	stops := &stopTimes{last: map[*soakEdge]time.Time{}}
	habits := []func(c *stopCaller) error{(*stopCaller).think, (*stopCaller).think, (*stopCaller).hurry, (*stopCaller).pipeline}
	for _, e := range s.edges {
		address := startDelayRelay(t, e.callers, callerDelay)
		for i := range callersOfProcess {
			c := &stopCaller{
				soak: s, edge: e, address: address, name: fmt.Sprintf("%s.c%d", e.name, i), stops: stops,
				random: rand.New(rand.NewPCG(seed, random.Uint64())), habit: habits[i%len(habits)],
			}
			work.Go(func() { c.run(ctx) })
		}
	}
	s.stopProcesses(random, stops, program)
	cancel()
	work.Wait()
	s.checkExchanges()
	s.report()
}

// stopProcesses stops and starts each process stopRounds times, and meanwhile changes the
// configuration and sends signals to reload.
func (s *soak) stopProcesses(random *rand.Rand, stops *stopTimes, program string) {
	var stopping sync.WaitGroup
	for _, e := range s.edges {
		r := rand.New(rand.NewPCG(s.seed, random.Uint64()))
		stopping.Go(func() {
			for range stopRounds {
				time.Sleep(time.Duration(r.Int64N(int64(maxFaultDuration))))
				e.stopOnce(r, stops, program)
				time.Sleep(undisturbedTime / 2)
			}
		})
	}
	done := make(chan struct{})
	go func() { stopping.Wait(); close(done) }()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(random.ExpFloat64() * float64(time.Second))):
			changes := []func(*soak, *rand.Rand, string) func(){reloadEdge, changeConfiguration, changeConfigurationRapidly}
			changes[random.IntN(len(changes))](s, random, program)
		}
	}
}

// stopOnce stops the process in order and starts it again.
func (e *soakEdge) stopOnce(r *rand.Rand, stops *stopTimes, program string) {
	if !e.reserve() {
		return
	}
	defer e.release()
	stops.record(e)
	ended := e.signal(syscall.SIGTERM)
	e.soak.trace("stop %s", e.name)
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		e.soak.history.addViolation("stops end in time", "%s still runs %v after SIGTERM", e.name, stopTimeout)
		e.signal(syscall.SIGKILL)
		<-ended
	}
	time.Sleep(time.Duration(r.Int64N(int64(maxRestartDelay))))
	e.start(program)
}

func (c *stopCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := c.connect(); err != nil {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		for ctx.Err() == nil && c.habit(c) == nil {
			c.soak.history.increment("operations")
		}
		_ = c.conn.Close()
		c.inTransaction = false
	}
}

func (c *stopCaller) connect() error {
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	group := c.soak.groups[c.random.IntN(len(c.soak.groups))].Name
	_ = conn.SetDeadline(time.Now().Add(responseTimeout))
	_, err = fmt.Fprintf(conn, "STARTUP %s-%s u\r\n", group, []string{"orders", "stock"}[c.random.IntN(2)])
	if err == nil {
		_, err = readAnswer(c.reader)
	}
	if err != nil {
		_ = conn.Close()
	}
	return err
}

// errRefused is returned for an error response, after which the session is over.
var errRefused = errors.New("refused")

// receive reads the response to a statement.
func (c *stopCaller) receive(s sentStatement) error {
	a, err := readAnswer(c.reader)
	if err != nil {
		return err
	}
	c.soak.exchanges.addAnswer(s.id, a)
	if a.code != "" {
		return errRefused
	}
	return nil
}

// sentStatement is a statement that has not been answered.
type sentStatement struct {
	id, text string
	at       time.Time
}

func (c *stopCaller) send(text string) (sentStatement, error) {
	c.requests++
	s := sentStatement{fmt.Sprintf("%s.%d", c.name, c.requests), text, time.Now()}
	c.soak.exchanges.addSent(s.id, text, nil)
	_ = c.conn.SetDeadline(time.Now().Add(responseTimeout))
	_, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", s.id, text)
	return s, err
}

// query runs one statement.
func (c *stopCaller) query(text string) error {
	s, err := c.send(text)
	if err == nil {
		err = c.receive(s)
	}
	c.checkAnswered(s, err)
	return err
}

// checkAnswered records a violation if a statement that was cut off must not have been.
func (c *stopCaller) checkAnswered(s sentStatement, err error) {
	if err == nil || errors.Is(err, errRefused) {
		return
	}
	ended, stop := time.Now(), c.stops.of(c.edge)
	work, ran := c.soak.runOf(s.id)
	c.soak.history.increment("statements cut off")
	if !ran && ended.Sub(s.at) <= lostSlack+2*callerDelay {
		return
	}
	atWork := ran && ended.Sub(stop) >= excusedWork && (work.EndedAt.IsZero() || work.EndedAt.Sub(stop) >= excusedWork)
	if atWork && s.at.Sub(stop) <= transactionGrace {
		return
	}
	c.soak.history.addViolation("planned stops cut off nothing", "%s %s at %s, sent %v and ended %v after SIGTERM, run %v, in a transaction %v: %v",
		s.id, s.text, c.edge.name, s.at.Sub(stop), ended.Sub(stop), ran, c.inTransaction, err)
}

func (c *stopCaller) item() string { return fmt.Sprintf("stop-%s-%d", c.name, c.random.IntN(3)) }

// think runs a transaction of some seconds with pauses between its statements.
func (c *stopCaller) think() error {
	const statements = 20
	if err := c.query("BEGIN"); err != nil {
		return err
	}
	c.inTransaction = true
	for range 1 + c.random.IntN(statements) {
		if err := c.pause(time.Duration(c.random.Int64N(int64(maxPause)))); err != nil {
			return err
		}
		if err := c.query("READ " + c.item()); err != nil {
			return err
		}
	}
	err := c.query("COMMIT")
	c.inTransaction = false
	return err
}

// pause waits inside a transaction. The process must not end it before transactionGrace, or
// without having been stopped.
func (c *stopCaller) pause(d time.Duration) error {
	_ = c.conn.SetReadDeadline(time.Now().Add(d))
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	if since := time.Since(c.stops.of(c.edge)); errors.Is(err, io.EOF) && since < transactionGrace || since > stopTimeout+lostSlack {
		c.soak.history.addViolation("transactions may end", "%s was closed in a transaction %v after SIGTERM to %s", c.name, since, c.edge.name)
	}
	return errors.Join(errors.New("closed in a transaction"), err)
}

// hurry runs a statement as soon as the last one is answered.
func (c *stopCaller) hurry() error {
	return c.query([]string{"READ " + c.item(), "WRITE " + c.item() + " " + oddData[c.random.IntN(len(oddData))]}[c.random.IntN(2)])
}

// pipeline sends two statements at once.
func (c *stopCaller) pipeline() error {
	first, err := c.send("READ " + c.item())
	if err != nil {
		c.checkAnswered(first, err)
		return err
	}
	second, sendErr := c.send("READ " + c.item())
	if err = c.receive(first); err != nil {
		c.checkAnswered(first, err)
	} else if err = sendErr; err == nil {
		err = c.receive(second)
	}
	c.checkAnswered(second, err)
	return err
}
