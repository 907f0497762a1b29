package member

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/errcode"
)

const (
	// pingInterval is the time between two rounds of pings.
	pingInterval = time.Second
	// pingTimeout limits one ping.
	pingTimeout = 500 * time.Millisecond
	// retryInterval is the delay before a member that did not answer is pinged
	// again.
	retryInterval = 250 * time.Millisecond
	// suspectAfterMisses is the number of consecutive unanswered pings that make a
	// member suspect.
	suspectAfterMisses = 2
	// fullMeshMembers is the largest number of members with which every member
	// pings all others in each round.
	fullMeshMembers = 10
	// pingFanout is the number of members pinged per round in larger views.
	pingFanout = 4
	// maxSuspectProbes limits the suspects pinged per tick. Suspects are pinged
	// directly so that no member is declared dead on another's report alone.
	maxSuspectProbes = 64
	// confirmFanout is the number of members that are asked at each tick about
	// the suspects that are about to be declared dead.
	confirmFanout = 4
	// tickInterval is the time between two checks of the timeouts.
	tickInterval = 250 * time.Millisecond
	// pauseThreshold is the time without a tick after which this process has been
	// paused for so long that the others have declared it dead.
	pauseThreshold = 4 * time.Second
	// maxPingReports is the maximum number of reports in a ping or its reply.
	maxPingReports = 6
	// maxJoinReports is the maximum number of reports in the reply to a process
	// that was unknown before its ping.
	maxJoinReports = 200
)

// A process that joins a large fleet may have every other process as a seed, and all
// processes of a fleet may start at once, so that a seed that is slow to answer is pinged by
// all of them.
const (
	// seedFanout is the number of seeds pinged per round.
	seedFanout = 4
	// maxSeedBackoff is the longest time for which a process that is joining does not ping a
	// seed again that did not answer in time. One that refuses connections is pinged in the
	// next round, since it has not started yet.
	maxSeedBackoff = pingInterval
)

// seedPing is the state of the pings of one seed, of which only one runs at a time.
type seedPing struct {
	running   bool
	backoff   time.Duration
	notBefore time.Time
}

// target is a process to ping. The key is zero for a seed address.
type target struct {
	key     Key
	address string
}

// runPings pings the members in rounds, and new suspects at the next tick.
func (m *Membership) runPings(ctx context.Context) error {
	var pings sync.WaitGroup
	defer pings.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	round := time.NewTimer(time.Nanosecond)
	defer round.Stop()
	for {
		var targets []target
		select {
		case <-ctx.Done():
			return nil
		case <-round.C:
			targets = m.roundTargets()
			round.Reset(m.jitter(m.roundInterval()))
		case <-ticker.C:
			targets = m.tick()
		}
		for _, t := range targets {
			pings.Go(func() { m.ping(ctx, t) })
		}
	}
}

// roundInterval returns the time between two rounds of pings.
func (m *Membership) roundInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cfg.JoinInterval > 0 && m.table.joining {
		return m.cfg.JoinInterval
	}
	return pingInterval
}

// tick applies timeouts and returns the processes to ping: the suspects that
// this process has not pinged yet, and other members that are asked about those
// that it has.
func (m *Membership) tick() []target {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if now.Sub(m.lastTick) >= pauseThreshold {
		m.table.restartTimers(now)
	}
	m.lastTick = now
	m.publish(m.table.tick(now))
	keys := m.table.unprobed(maxSuspectProbes)
	if m.table.needsConfirmation(now) {
		keys = append(keys, m.nextQueued(confirmFanout)...)
	}
	return m.targetsOf(keys)
}

// roundTargets returns the processes to ping in this round: all others in a
// small view, otherwise the next pingFanout members of a shuffled queue, so that
// each member is pinged once per pass.
func (m *Membership) roundTargets() []target {
	m.mu.Lock()
	defer m.mu.Unlock()
	others := len(m.table.entries) - 1
	if others == 0 {
		return m.seedTargets()
	}
	count := others
	if others >= fullMeshMembers {
		count = pingFanout
	}
	return m.targetsOf(m.nextQueued(count))
}

// nextQueued takes up to count other members from the queue and refills it when
// it is empty. The caller holds the lock.
func (m *Membership) nextQueued(count int) []Key {
	var keys []Key
	for range min(count, len(m.table.entries)-1) {
		if len(m.pingQueue) == 0 {
			m.refillQueue()
		}
		keys = append(keys, m.pingQueue[0])
		m.pingQueue = m.pingQueue[1:]
	}
	return keys
}

// targetsOf returns the targets of the keys that are still in the view. The
// caller holds the lock.
func (m *Membership) targetsOf(keys []Key) []target {
	var targets []target
	for _, key := range keys {
		if e, ok := m.table.entries[key]; ok {
			targets = append(targets, target{key: key, address: e.Member.Address})
		}
	}
	return targets
}

// refillQueue starts a new pass over the other members in random order. The
// caller holds the lock.
func (m *Membership) refillQueue() {
	for _, key := range m.table.keys {
		if key != m.table.self {
			m.pingQueue = append(m.pingQueue, key)
		}
	}
	m.cfg.Rand.Shuffle(len(m.pingQueue), func(i, j int) { m.pingQueue[i], m.pingQueue[j] = m.pingQueue[j], m.pingQueue[i] })
}

// seedTargets returns up to seedFanout seeds in random order that are to be pinged now. The
// caller holds the lock.
func (m *Membership) seedTargets() []target {
	now := time.Now()
	var targets []target
	for _, i := range m.cfg.Rand.Perm(len(m.seeds)) {
		address := m.seeds[i]
		p := m.seedPings[address]
		if address == m.cfg.Self.Address || p.running || m.table.joining && now.Before(p.notBefore) || len(targets) == seedFanout {
			continue
		}
		p.running = true
		m.seedPings[address] = p
		targets = append(targets, target{address: address})
	}
	return targets
}

// endSeedPing records the end of the ping of a seed.
func (m *Membership) endSeedPing(address string, started time.Time, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	refused := errcode.Is(err, errcode.NoHome) && now.Sub(started) < m.cfg.JoinInterval
	if err == nil || refused {
		delete(m.seedPings, address)
		return
	}
	backoff := min(2*max(m.seedPings[address].backoff, m.cfg.JoinInterval), maxSeedBackoff)
	m.seedPings[address] = seedPing{backoff: backoff, notBefore: now.Add(delay.JitterWith(backoff, m.cfg.Rand.Float64()))}
}

// ping pings a process until it answers or has missed suspectAfterMisses pings.
func (m *Membership) ping(ctx context.Context, t target) {
	for {
		started := time.Now()
		err := m.pingOnce(ctx, t)
		if t.key == (Key{}) {
			m.endSeedPing(t.address, started, err)
			return
		}
		if err == nil || ctx.Err() != nil || m.countMiss(t.key) {
			return
		}
		if !m.sleep(ctx, retryInterval) {
			return
		}
	}
}

// errOtherMember reports that another member than the expected one answered a ping.
var errOtherMember = errors.New("another member answered the ping")

func (m *Membership) pingOnce(ctx context.Context, t target) error {
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	m.mu.Lock()
	message := PingMessage{From: m.selfReport(), Members: m.table.pendingReports(maxPingReports, time.Now())}
	m.mu.Unlock()
	pingsSent.Inc()
	reply, err := m.cfg.Pinger.Ping(callCtx, t.address, message)
	if err != nil {
		pingsFailed.Inc()
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.merge(reply, time.Now())
	if t.key != (Key{}) && reply.From.Member.Key() != t.key {
		return errOtherMember
	}
	return nil
}

// countMiss counts an unanswered ping. It returns true once the limit is
// reached, which ends the pings of this round.
func (m *Membership) countMiss(key Key) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.missedPings[key]++
	if m.missedPings[key] < suspectAfterMisses {
		return false
	}
	delete(m.missedPings, key)
	m.publish(m.table.markSuspect(key, time.Now()))
	return true
}
