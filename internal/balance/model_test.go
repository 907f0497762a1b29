package balance

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"
)

// The model lets many processes choose among the same servers by reports of the past. In the
// product a home is normally the only one that uses its servers, and two overlap for
// seconds: TestEvenLoad of package rank measures those. The model shows which use of old
// reports is safe if there are more of them.
const (
	modelServers = 24
	modelSlots   = 4
	// modelQueue is the number of statements that wait at a server before it refuses more.
	modelQueue = 16
	modelCost  = 5 * time.Millisecond
	modelLoad  = 0.7
	modelTime  = 6 * time.Second
	// modelSubset is the number of servers that a process uses if it uses only some.
	modelSubset = 6
)

// modelPolicy chooses a server.
type modelPolicy string

const (
	policyReports    modelPolicy = "least by reports"
	policyRandom     modelPolicy = "random"
	policyTwo        modelPolicy = "two random choices"
	policyOwn        modelPolicy = "reports and own work"
	policyAge        modelPolicy = "weight by age"
	policySubset     modelPolicy = "subset, reports and own work"
	policyHysteresis modelPolicy = "slow weights, hysteresis"
	policyExact      modelPolicy = "own work, slowness, refusals"
)

var modelPolicies = []modelPolicy{policyReports, policyRandom, policyTwo, policyOwn, policyAge, policySubset, policyHysteresis, policyExact}

// modelServer is a server, and what it reported last.
type modelServer struct {
	busy       int
	waiting    []modelStatement
	reported   float64
	reportedAt time.Duration
	// idle and overloaded are the times with a free slot while another server has a queue,
	// and with a queue.
	idle, overloaded time.Duration
}

type modelStatement struct {
	arrived time.Duration
	cost    time.Duration
	chooser int
}

// modelEvent is an arrival, the end of a statement or a report.
type modelEvent struct {
	at        time.Duration
	kind      int
	server    int
	statement modelStatement
}

const (
	eventArrival = iota
	eventEnd
	eventReport
)

type modelEvents []modelEvent

func (e modelEvents) Len() int           { return len(e) }
func (e modelEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e modelEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)        { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// modelChooser is a process that chooses.
type modelChooser struct {
	own     [modelServers]int
	weights [modelServers]float64
	known   [modelServers]Server
	subset  []int
	seq     uint64
}

// model is one run. In its middle third, the first server is slower by slowness.
type model struct {
	policy   modelPolicy
	choosers int
	age      time.Duration
	slowness float64
}

type modelResult struct {
	overloaded, idle, refused float64
	p99                       time.Duration
}

type modelRun struct {
	model
	random    *rand.Rand
	servers   [modelServers]modelServer
	choosers  []*modelChooser
	events    modelEvents
	now       time.Duration
	latencies []time.Duration
	refused   int
	queues    int
}

func (m model) run() modelResult {
	r := &modelRun{model: m, random: rand.New(rand.NewPCG(11, uint64(m.choosers)))}
	for range m.choosers {
		c := &modelChooser{subset: r.random.Perm(modelServers)}
		if m.policy == policySubset {
			c.subset = c.subset[:modelSubset]
		}
		for i := range c.weights {
			c.weights[i] = 1
		}
		r.choosers = append(r.choosers, c)
	}
	for i := range r.servers {
		heap.Push(&r.events, modelEvent{at: time.Duration(r.random.Float64() * float64(m.age)), kind: eventReport, server: i})
	}
	heap.Push(&r.events, modelEvent{kind: eventArrival})
	for r.now < modelTime {
		e := heap.Pop(&r.events).(modelEvent)
		r.advance(e.at)
		switch e.kind {
		case eventArrival:
			gap := r.random.ExpFloat64() * float64(modelCost) / (modelLoad * modelServers * modelSlots)
			heap.Push(&r.events, modelEvent{at: r.now + time.Duration(gap), kind: eventArrival})
			r.arrive()
		case eventEnd:
			r.end(e)
		case eventReport:
			r.report(e.server)
		}
	}
	slices.Sort(r.latencies)
	var res modelResult
	for _, s := range r.servers {
		res.overloaded += s.overloaded.Seconds()
		res.idle += s.idle.Seconds()
	}
	total := modelTime.Seconds() * modelServers
	return modelResult{
		res.overloaded / total, res.idle / total, float64(r.refused) / float64(r.refused+len(r.latencies)),
		r.latencies[len(r.latencies)*99/100].Round(time.Millisecond),
	}
}

func (r *modelRun) advance(to time.Duration) {
	for i := range r.servers {
		s := &r.servers[i]
		switch {
		case len(s.waiting) > 0:
			s.overloaded += to - r.now
		case r.queues > 0 && s.busy < modelSlots:
			s.idle += to - r.now
		}
	}
	r.now = to
}

func (r *modelRun) at() time.Time { return start.Add(r.now) }

func (r *modelRun) arrive() {
	number := r.random.IntN(len(r.choosers))
	c := r.choosers[number]
	i := r.choose(c)
	s := &r.servers[i]
	statement := modelStatement{r.now, time.Duration(r.random.ExpFloat64() * float64(modelCost)), number}
	if i == 0 && r.now > modelTime/3 && r.now < 2*modelTime/3 {
		statement.cost = time.Duration(float64(statement.cost) * r.slowness)
	}
	c.seq++
	c.known[i].Given(c.seq)
	switch {
	case s.busy < modelSlots:
		s.busy++
		c.own[i]++
		heap.Push(&r.events, modelEvent{r.now + statement.cost, eventEnd, i, statement})
	case len(s.waiting) < modelQueue:
		c.own[i]++
		if len(s.waiting) == 0 {
			r.queues++
		}
		s.waiting = append(s.waiting, statement)
	default:
		r.refused++
		c.known[i].ObserveRefusal(modelSlots, c.own[i], r.at())
	}
}

func (r *modelRun) end(e modelEvent) {
	s, c := &r.servers[e.server], r.choosers[e.statement.chooser]
	took := r.now - e.statement.arrived
	r.latencies = append(r.latencies, took)
	c.own[e.server]--
	c.known[e.server].ObserveTime(float64(took)/float64(modelCost), r.at())
	if len(s.waiting) == 0 {
		s.busy--
		return
	}
	next := s.waiting[0]
	s.waiting = s.waiting[1:]
	if len(s.waiting) == 0 {
		r.queues--
	}
	heap.Push(&r.events, modelEvent{r.now + next.cost, eventEnd, e.server, next})
}

func (r *modelRun) report(i int) {
	s := &r.servers[i]
	s.reported, s.reportedAt = float64(s.busy+len(s.waiting))/modelSlots, r.now
	heap.Push(&r.events, modelEvent{at: r.now + r.age, kind: eventReport, server: i})
	if r.policy != policyHysteresis {
		return
	}
	for _, c := range r.choosers {
		if math.Abs(s.reported-modelLoad) > 0.25*modelLoad {
			c.weights[i] = min(max(c.weights[i]*(1+0.1*min(max(modelLoad-s.reported, -1), 1)), 0.05), 4)
		}
	}
}

func (r *modelRun) choose(c *modelChooser) int {
	reported := func(i int) float64 { return r.servers[i].reported }
	own := func(i int) float64 { return float64(c.own[i]) / modelSlots }
	switch r.policy {
	case policyRandom:
		return r.random.IntN(modelServers)
	case policyTwo:
		a, b := r.random.IntN(modelServers), r.random.IntN(modelServers)
		if reported(b) < reported(a) {
			return b
		}
		return a
	case policyAge:
		return r.weighted(func(i int) float64 {
			fresh := weightOfAge(r.now-r.servers[i].reportedAt, 50*time.Millisecond)
			return fresh/(0.25+reported(i)) + (1 - fresh)
		})
	case policyHysteresis:
		return r.weighted(func(i int) float64 { return c.weights[i] })
	case policyExact:
		return r.least(c, func(i int) float64 {
			return Candidate{Server: &c.known[i], Running: c.own[i], Slots: modelSlots}.Expected(r.at())
		})
	case policyOwn, policySubset:
		return r.least(c, func(i int) float64 { return reported(i) + own(i) })
	default:
		return r.least(c, reported)
	}
}

// least returns the server of the chooser's with the lowest load, of equal ones that which it
// used longest ago.
func (r *modelRun) least(c *modelChooser, load func(int) float64) int {
	best, lowest := c.subset[0], load(c.subset[0])
	for _, i := range c.subset[1:] {
		if l := load(i); l < lowest || l == lowest && c.known[i].lastGiven < c.known[best].lastGiven {
			best, lowest = i, l
		}
	}
	return best
}

func (r *modelRun) weighted(weight func(int) float64) int {
	sum := 0.0
	for i := range r.servers {
		sum += weight(i)
	}
	at := r.random.Float64() * sum
	for i := range r.servers {
		if at -= weight(i); at < 0 {
			return i
		}
	}
	return modelServers - 1
}

// TestModel guards against the assumption that old reports of load help many choosers: the
// least loaded server by reports is then worse than a random one, and own work with reports
// of response times and refusals is not. RATTAN_EXPERIMENTS=1 compares all.
func TestModel(t *testing.T) {
	choosers, ages, slownesses := []int{7, 300}, []time.Duration{time.Second}, []float64{4}
	if os.Getenv("RATTAN_EXPERIMENTS") != "" {
		choosers, ages, slownesses = []int{1, 7, 79, 300, 1900}, []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second}, []float64{1, 4}
	}
	for _, slowness := range slownesses {
		for _, age := range ages {
			for _, n := range choosers {
				results := map[modelPolicy]modelResult{}
				for _, p := range modelPolicies {
					res := model{p, n, age, slowness}.run()
					results[p] = res
					t.Logf("slowness %v, age %v, %d choosers, %s: overloaded %.3f, idle %.3f, p99 %v, refused %.4f", slowness, age, n, p, res.overloaded, res.idle, res.p99, res.refused)
				}
				exact, random := results[policyExact], results[policyRandom]
				// A process that has hardly any own work at a server chooses as if at random.
				if exact.p99 > random.p99 || exact.refused > 1.25*random.refused {
					t.Errorf("%d choosers, age %v: %+v, random %+v", n, age, exact, random)
				}
				if age >= time.Second && results[policyReports].refused < 10*random.refused {
					t.Errorf("%d choosers, age %v: the reports do no harm: %+v, random %+v", n, age, results[policyReports], random)
				}
			}
		}
	}
}
