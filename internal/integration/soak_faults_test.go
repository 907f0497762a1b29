package integration

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/rattancove/rattancove/internal/standin/userplatform"
)

// soakFault begins a fault from outside and returns what ends it; nil if nothing
// is left to end.
type soakFault struct {
	name    string
	planned bool
	begin   func(s *soak, r *rand.Rand, program string) (end func())
}

var soakFaults = []soakFault{
	{"kill process", false, killEdge},
	{"pause process", false, pauseEdge},
	{"stop process in order", true, stopEdge},
	{"reload settings", true, hangupEdge},
	{"new configuration", true, changeConfiguration},
	{"quick configurations", true, changeQuickly},
	{"relay to process", false, disturbPeers},
	{"store of a process", false, disturbStore},
	{"store", false, misbehaveStore},
	{"promotion calls", false, disturbPromotions},
	{"relay to server", false, disturbServer},
	{"flaky connections to server", false, flakyServer},
	{"flaky connections to process", false, flakyPeer},
	{"kill server", false, crashServer},
	{"kill primary", false, crashPrimary},
	{"isolate primary", false, isolatePrimary},
	{"primary dies beside a replica without its last writes", false, crashBesideLaggard},
	{"lagging replicas", false, lagReplicas},
	{"leaving server", true, leaveServer},
}

func (s *soak) oneEdge(r *rand.Rand) *soakEdge { return s.edges[r.IntN(len(s.edges))] }

// again starts a process that has ended, after a pause.
func (e *soakEdge) again(r *rand.Rand, program string, ended <-chan struct{}) func() {
	wait := time.Duration(r.Int64N(int64(restartTime)))
	return func() {
		<-ended
		time.Sleep(wait)
		e.start(program)
	}
}

func killEdge(s *soak, r *rand.Rand, program string) func() {
	e := s.oneEdge(r)
	if !e.claim() {
		return nil
	}
	ended := e.signal(syscall.SIGKILL)
	restart := e.again(r, program, ended)
	go func() { restart(); e.release() }()
	return nil
}

func pauseEdge(s *soak, r *rand.Rand, _ string) func() {
	e := s.oneEdge(r)
	if !e.claim() {
		return nil
	}
	e.signal(syscall.SIGSTOP)
	return func() { e.signal(syscall.SIGCONT); e.release() }
}

// stopEdge stops a process in order and kills it when its time is over.
func stopEdge(s *soak, r *rand.Rand, program string) func() {
	e := s.oneEdge(r)
	if !e.claim() {
		return nil
	}
	ended := e.signal(syscall.SIGTERM)
	restart := e.again(r, program, ended)
	return func() {
		select {
		case <-ended:
		case <-time.After(stopTime):
			s.ledger.count("processes killed after their stop time")
			e.signal(syscall.SIGKILL)
		}
		restart()
		e.release()
	}
}

func hangupEdge(s *soak, r *rand.Rand, _ string) func() {
	s.oneEdge(r).signal(syscall.SIGHUP)
	return nil
}

func changeConfiguration(s *soak, _ *rand.Rand, _ string) func() {
	s.configure()
	return nil
}

func changeQuickly(s *soak, r *rand.Rand, _ string) func() {
	for range 3 + r.IntN(5) {
		s.configure()
		time.Sleep(time.Duration(r.Int64N(int64(100 * time.Millisecond))))
	}
	return nil
}

// disturb does something to the connections through a relay.
func disturb(r *rand.Rand, l *relay) (end func()) {
	switch r.IntN(6) {
	case 0:
		l.hold(toTarget)
	case 1:
		l.hold(fromTarget)
	case 2:
		l.hold(toTarget, fromTarget)
	case 3:
		l.setDelay(time.Duration(r.Int64N(int64(200 * time.Millisecond))))
	case 4:
		l.reset()
		return nil
	default:
		l.blackhole()
		return nil
	}
	return func() {
		l.hold()
		l.setDelay(0)
	}
}

func disturbPeers(s *soak, r *rand.Rand, _ string) func() {
	s.troubleAll()
	end := disturb(r, s.oneEdge(r).peerRelay)
	return func() {
		if end != nil {
			end()
		}
		s.troubleAll()
	}
}

// troubleAll notes a fault that may be felt by every process.
func (s *soak) troubleAll() {
	for _, e := range s.edges {
		e.trouble()
	}
}

func (s *soak) troubleStore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeTroubled = time.Now()
}

func disturbStore(s *soak, r *rand.Rand, _ string) func() {
	e := s.oneEdge(r)
	e.trouble()
	end := disturb(r, e.storeRelay)
	return func() {
		if end != nil {
			end()
		}
		e.trouble()
	}
}

func misbehaveStore(s *soak, r *rand.Rand, _ string) func() {
	s.troubleStore()
	switch r.IntN(6) {
	case 0:
		s.store.SetFaults(userplatform.Faults{Stale: true})
		time.Sleep(time.Duration(r.Int64N(int64(200 * time.Millisecond))))
		s.configure()
		time.Sleep(time.Duration(r.Int64N(int64(200 * time.Millisecond))))
		s.store.DropHistory()
	case 1:
		s.store.SetFaults(userplatform.Faults{Down: true})
	case 2:
		s.store.SetFaults(userplatform.Faults{ResponseDelay: time.Duration(r.Int64N(int64(500 * time.Millisecond)))})
	case 3:
		s.store.SetFaults(userplatform.Faults{LostResponseFraction: 0.4})
	case 4:
		s.store.SetFaults(userplatform.Faults{LostResponseFraction: 0.4, LostResponseCommitDelay: time.Duration(r.Int64N(int64(4 * time.Second)))})
	default:
		s.store.DropHistory()
	}
	return func() {
		s.store.SetFaults(userplatform.Faults{})
		s.troubleStore()
	}
}

func disturbPromotions(s *soak, r *rand.Rand, _ string) func() {
	return disturb(r, s.oneEdge(r).promotionRelay)
}

func (s *soak) oneServer(r *rand.Rand) (*userplatform.Group, string) {
	g := s.groups[r.IntN(len(s.groups))]
	ids := g.ServerIDs()
	return g, ids[r.IntN(len(ids))]
}

func disturbServer(s *soak, r *rand.Rand, _ string) func() {
	_, id := s.oneServer(r)
	s.mu.Lock()
	l := s.servers[id]
	s.mu.Unlock()
	return disturb(r, l)
}

// flaky resets the connections through a relay again and again.
func flaky(r *rand.Rand, l *relay) (end func()) {
	stop, done := make(chan struct{}), make(chan struct{})
	random := rand.New(rand.NewPCG(r.Uint64(), 3))
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(random.Int64N(int64(flakyTime)))):
				l.reset()
			}
		}
	}()
	return func() { close(stop); <-done }
}

func flakyServer(s *soak, r *rand.Rand, _ string) func() {
	_, id := s.oneServer(r)
	s.mu.Lock()
	l := s.servers[id]
	s.mu.Unlock()
	return flaky(r, l)
}

func flakyPeer(s *soak, r *rand.Rand, _ string) func() {
	s.troubleAll()
	end := flaky(r, s.oneEdge(r).peerRelay)
	return func() { end(); s.troubleAll() }
}

func (s *soak) killServer(g *userplatform.Group, id string) func() {
	g.Kill(id)
	return func() {
		started, err := g.Restart(id)
		if err != nil {
			s.t.Error(err)
		}
		if started {
			s.relayServer(g, id)
		}
	}
}

func crashServer(s *soak, r *rand.Rand, _ string) func() {
	g, id := s.oneServer(r)
	return s.killServer(g, id)
}

func crashPrimary(s *soak, r *rand.Rand, _ string) func() {
	g, _ := s.oneServer(r)
	return s.killServer(g, g.Primary())
}

// isolatePrimary cuts a primary off from its replicas for long enough that it is
// replaced while processes still reach it.
func isolatePrimary(s *soak, r *rand.Rand, _ string) func() {
	g, _ := s.oneServer(r)
	id := g.Primary()
	g.Isolate(id, true)
	return func() {
		time.Sleep(isolationTime)
		g.Isolate(id, false)
	}
}

// crashBesideLaggard kills a primary at the moment at which a replica that lacks
// its last writes comes back.
func crashBesideLaggard(s *soak, r *rand.Rand, program string) func() {
	g, id := s.oneServer(r)
	if id == g.Primary() {
		return crashPrimary(s, r, program)
	}
	g.Isolate(id, true)
	return func() {
		restart := s.killServer(g, g.Primary())
		g.Isolate(id, false)
		time.Sleep(isolationTime)
		restart()
	}
}

func lagReplicas(s *soak, r *rand.Rand, _ string) func() {
	g, id := s.oneServer(r)
	g.SetLag(id, time.Duration(r.Int64N(int64(3*time.Second))))
	return func() { g.SetLag(id, usualReplicaLag/2) }
}

// leaveServer announces that a server leaves, and replaces it.
func leaveServer(s *soak, r *rand.Rand, _ string) func() {
	g, id := s.oneServer(r)
	g.Drain(id)
	return func() {
		time.Sleep(faultTime) // it goes on serving after the notice
		s.killServer(g, id)()
	}
}
