package quota

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// maxWait is how long an operation of the model waits for a credit.
const maxWait = 150 * time.Millisecond

// step is an action of the model at a time.
type step struct {
	at  time.Duration
	run func()
}

type steps []step

func (s steps) Len() int           { return len(s) }
func (s steps) Less(i, j int) bool { return s[i].at < s[j].at }
func (s steps) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)        { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// model runs homes and dealers in virtual time. Its clock is the true time, of which the
// clocks of the processes differ.
type model struct {
	random *rand.Rand
	bounds Bounds
	now    time.Duration
	queue  steps

	limits map[string]Limit
	homes  []*modelHome
	dealer *Dealer
	holder *modelHome
	// start is what the next dealer knows, from the row that dealers write.
	start Start
	// recorded are the processes of that row.
	recorded  []Process
	ceilings  map[string]uint64
	recording bool
	nextID    uint64
	// lossy is the share of messages that are lost, and late that of messages that arrive
	// after the call was given up.
	lossy, late float64

	// ran holds the true times of the operations that ran, by organisation.
	ran                         map[string][]time.Duration
	offered, refused            map[string]int
	messages, mentioned, waited int
	rows                        int
}

// modelHome is one process.
type modelHome struct {
	name  string
	stock *Stock
	// rate and offset relate the clock of the process to the true time.
	rate      float64
	offset    time.Duration
	life      uint64
	cut       bool
	frozen    bool
	down      bool
	resumed   []func()
	calledAt  time.Duration
	callSoon  bool
	calling   bool
	again     bool
	limits    map[string]Limit
	waiting   map[string][]*modelOperation
	refundPer float64
}

type modelOperation struct{ done bool }

func newModel(seed uint64, bounds Bounds, homes int, limits map[string]Limit) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 1)), bounds: bounds, limits: limits, start: StartFirst,
		ran: map[string][]time.Duration{}, offered: map[string]int{}, refused: map[string]int{},
	}
	for i := range homes {
		h := &modelHome{
			name: fmt.Sprint("p", i), rate: 1 + 0.001*(2*m.random.Float64()-1),
			offset: time.Duration(1+m.random.IntN(1000)) * time.Second,
		}
		m.homes = append(m.homes, h)
		m.boot(h)
	}
	m.elect(m.homes[0])
	return m
}

// clock returns the boot time of a process.
func (m *model) clock(h *modelHome) time.Duration {
	return h.offset + time.Duration(float64(m.now)*h.rate)
}

// boot starts a process, or a new process of the same name.
func (m *model) boot(h *modelHome) {
	h.life++
	h.down = false
	h.stock = NewStock(m.bounds, h.life, m.random.Float64)
	h.waiting, h.calling, h.resumed, h.frozen = map[string][]*modelOperation{}, false, nil, false
	h.again = false
	h.limits = maps.Clone(m.limits)
	h.stock.SetLimits(h.limits, m.clock(h))
	life := h.life
	m.after(time.Duration(m.random.Int64N(int64(300*time.Millisecond))), func() { m.regular(h, life) })
}

// endProcesses tells the dealer which processes of earlier dealers have ended.
func (m *model) endProcesses() {
	if m.dealer == nil || m.holder.frozen {
		return
	}
	for _, p := range m.dealer.Earlier() {
		for _, h := range m.homes {
			if h.name == p.Home && h.life > p.Incarnation && h.life > 1 && !h.down {
				m.dealer.End(p, m.clock(m.holder))
			}
		}
	}
}

func (m *model) after(d time.Duration, run func()) { heap.Push(&m.queue, step{m.now + d, run}) }

// run runs the model until a time.
func (m *model) run(until time.Duration) {
	for len(m.queue) > 0 && m.queue[0].at <= until {
		s := heap.Pop(&m.queue).(step)
		m.now = s.at
		s.run()
	}
	m.now = until
}

// at runs f at the process, or once it resumes.
func (h *modelHome) at(f func()) {
	if h.frozen {
		h.resumed = append(h.resumed, f)
		return
	}
	f()
}

// elect makes a process the holder of the lease, when the lease of the earlier one has
// expired for it.
func (m *model) elect(h *modelHome) {
	m.holder = h
	m.nextID++
	m.dealer = NewDealer(m.bounds, m.nextID, m.start, m.clock(h), m.recorded)
	m.dealer.SetEarlierCeilings(m.ceilings)
	m.dealer.SetLimits(h.limits)
	m.start, m.ceilings = StartUnsettled, nil
}

// record reads and writes the row if that is due, which takes a while. The request or the
// answer may be lost.
func (m *model) record() {
	dealer := m.dealer
	if m.recording || !dealer.Unrecorded() && !dealer.CeilingsDue(m.clock(m.holder)) {
		return
	}
	m.recording = true
	m.rows++
	current := func() bool { return m.dealer == dealer && !m.holder.frozen }
	m.after(m.delay(150*time.Millisecond), func() {
		if !current() {
			m.recording = false
			return
		}
		now := m.clock(m.holder)
		processes, ceilings := dealer.Processes(now), dealer.Ceilings(now)
		m.after(m.delay(25*time.Millisecond), func() {
			// A frozen holder may have sent the request.
			written := m.dealer == dealer && m.random.Float64() >= m.lossy
			if written {
				m.recorded, m.ceilings = processes, ceilings
			}
			m.after(m.delay(25*time.Millisecond), func() {
				m.recording = false
				if written && current() && m.random.Float64() >= m.lossy {
					dealer.Record(processes)
					dealer.RecordCeilings(ceilings)
				}
			})
		})
	})
}

func (m *model) delay(most time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(most)))
}

// fail ends the lease of the holder; another process takes over after a while.
func (m *model) fail(takeover time.Duration, next *modelHome) {
	m.holder, m.dealer = nil, nil
	m.after(takeover, func() {
		if m.holder == nil && !next.down {
			m.elect(next)
		}
	})
}

// regular makes the calls at the regular interval.
func (m *model) regular(h *modelHome, life uint64) {
	if h.life != life {
		return
	}
	m.after(300*time.Millisecond, func() { m.regular(h, life) })
	h.at(func() { m.call(h) })
}

// ask makes a call soon, but not within 50 ms of the last.
func (m *model) ask(h *modelHome) {
	if h.callSoon {
		return
	}
	h.callSoon = true
	life := h.life
	m.after(max(50*time.Millisecond-(m.now-h.calledAt), 0), func() {
		h.callSoon = false
		if h.life == life {
			h.at(func() { m.call(h) })
		}
	})
}

func (m *model) latency() time.Duration {
	if m.random.Float64() < m.late {
		return time.Duration(m.random.Int64N(int64(2 * time.Second)))
	}
	return 500*time.Microsecond + time.Duration(m.random.Int64N(int64(3*time.Millisecond)))
}

// call sends a report. It is given up after CallTime.
func (m *model) call(h *modelHome) {
	if h.calling {
		h.again = true
		return
	}
	h.calling, h.calledAt = true, m.now
	sentAt := m.clock(h)
	report := h.stock.Report(sentAt)
	life := h.life
	m.messages++
	m.mentioned += len(report.Uses)
	m.after(CallTime, func() {
		if h.life == life && h.calledAt == m.now-CallTime {
			m.called(h)
		}
	})
	if m.random.Float64() < m.lossy {
		return
	}
	m.after(m.latency(), func() { m.handle(h, life, report, sentAt) })
}

// called records that a call has ended.
func (m *model) called(h *modelHome) {
	h.calling = false
	if h.again {
		h.again = false
		m.ask(h)
	}
}

func (m *model) handle(h *modelHome, life uint64, report Report, sentAt time.Duration) {
	if m.holder == nil || m.holder.frozen || (m.holder != h && (h.cut || m.holder.cut)) {
		return
	}
	m.endProcesses()
	reply := m.dealer.Handle(h.name, report, m.clock(m.holder))
	m.record()
	m.mentioned += len(reply.Credits)
	if m.dealer.Settled(m.clock(m.holder)) {
		m.start = StartSettled
	}
	if m.random.Float64() < m.lossy {
		return
	}
	m.after(m.latency(), func() {
		h.at(func() {
			if h.life == life && !h.cut {
				m.accept(h, report, reply, sentAt)
			}
		})
	})
}

func (m *model) accept(h *modelHome, report Report, reply Reply, sentAt time.Duration) {
	h.stock.Accept(report, reply, sentAt, m.clock(h))
	m.called(h)
	if reply.Resend {
		m.ask(h)
	}
	for _, organisation := range slices.Sorted(maps.Keys(h.waiting)) {
		waiting := h.waiting[organisation]
		h.waiting[organisation] = nil
		for _, op := range waiting {
			m.take(h, organisation, op, false)
		}
	}
}

// offer makes an operation arrive at a home.
func (m *model) offer(h *modelHome, organisation string) {
	if h.down {
		return // the caller finds no home
	}
	h.at(func() {
		m.offered[organisation]++
		m.take(h, organisation, &modelOperation{}, true)
	})
}

func (m *model) take(h *modelHome, organisation string, op *modelOperation, first bool) {
	if op.done {
		return
	}
	take := h.stock.TakeAgain
	if first {
		take = h.stock.Take
	}
	d := take(organisation, m.clock(h))
	if d.Ask {
		m.ask(h)
	}
	switch {
	case d.OK:
		if !first {
			h.stock.EndWait(organisation)
		}
		op.done = true
		m.begin(h, organisation, d.Ticket)
	case first && (d.Exhausted || !h.stock.Wait(organisation)):
		op.done = true
		h.stock.Refused(organisation)
		m.refused[organisation]++
	default:
		m.wait(h, organisation, op, first)
	}
}

// begin runs an operation, or refunds it later.
func (m *model) begin(h *modelHome, organisation string, ticket Ticket) {
	if m.random.Float64() >= h.refundPer {
		m.ran[organisation] = append(m.ran[organisation], m.now)
		return
	}
	life := h.life
	m.after(time.Duration(m.random.Int64N(int64(2*time.Second))), func() {
		h.at(func() {
			if h.life == life {
				h.stock.Refund(organisation, ticket, m.clock(h))
			}
		})
	})
}

func (m *model) wait(h *modelHome, organisation string, op *modelOperation, first bool) {
	h.waiting[organisation] = append(h.waiting[organisation], op)
	if !first {
		return
	}
	m.waited++
	life := h.life
	m.after(maxWait, func() {
		h.at(func() {
			if op.done || h.life != life {
				return
			}
			op.done = true
			h.stock.EndWait(organisation)
			h.stock.Refused(organisation)
			m.refused[organisation]++
		})
	})
}

// freeze stops a process for a time; its clock goes on.
func (m *model) freeze(h *modelHome, d time.Duration) {
	if h.frozen {
		return
	}
	h.frozen = true
	life := h.life
	m.after(d, func() {
		if h.life != life {
			return
		}
		h.frozen = false
		resumed := h.resumed
		h.resumed = nil
		for _, f := range resumed {
			h.at(f)
		}
	})
}

// configure lets the processes learn new limits one after the other within a time.
func (m *model) configure(limits map[string]Limit, within time.Duration) {
	m.limits = limits
	for _, h := range m.homes {
		life := h.life
		m.after(time.Duration(m.random.Int64N(int64(within))), func() {
			if h.life == life {
				h.at(func() { m.learn(h, limits) })
			}
		})
	}
}

func (m *model) learn(h *modelHome, limits map[string]Limit) {
	h.limits = limits
	h.stock.SetLimits(limits, m.clock(h))
	if m.holder == h {
		m.dealer.SetLimits(limits)
	}
}
