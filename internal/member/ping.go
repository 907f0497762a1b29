package member

import (
	"context"
	"sync"
	"time"
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
	if m.cfg.JoinInterval > 0 && m.Snapshot().joining {
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
	for _, e := range m.table.sortedEntries() {
		if key := e.Member.Key(); key != m.table.self {
			m.pingQueue = append(m.pingQueue, key)
		}
	}
	m.cfg.Rand.Shuffle(len(m.pingQueue), func(i, j int) { m.pingQueue[i], m.pingQueue[j] = m.pingQueue[j], m.pingQueue[i] })
}

func (m *Membership) seedTargets() []target {
	var targets []target
	for _, address := range m.seeds {
		if address != m.cfg.Self.Address {
			targets = append(targets, target{address: address})
		}
	}
	return targets
}

// ping pings a process until it answers or has missed suspectAfterMisses pings.
func (m *Membership) ping(ctx context.Context, t target) {
	for {
		if m.pingOnce(ctx, t) {
			return
		}
		if ctx.Err() != nil || t.key == (Key{}) || m.countMiss(t.key) {
			return
		}
		if !m.sleep(ctx, retryInterval) {
			return
		}
	}
}

func (m *Membership) pingOnce(ctx context.Context, t target) bool {
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	m.mu.Lock()
	message := PingMessage{From: m.selfReport(), Members: m.table.pendingReports(maxPingReports, time.Now())}
	m.mu.Unlock()
	pingsSent.Inc()
	reply, err := m.cfg.Pinger.Ping(callCtx, t.address, message)
	if err != nil {
		pingsFailed.Inc()
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.merge(reply, time.Now())
	return t.key == (Key{}) || reply.From.Member.Key() == t.key
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
