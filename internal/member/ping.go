package member

import (
	"context"
	"sync"
	"time"
)

const (
	// pingInterval is the time between two rounds of pings.
	pingInterval = time.Second
	// pingTimeout bounds one ping.
	pingTimeout = 500 * time.Millisecond
	// retryInterval is the time after which a member that did not answer is
	// asked again.
	retryInterval = 250 * time.Millisecond
	// missesToSuspect is the number of pings without an answer that make a
	// member suspect.
	missesToSuspect = 2
	// fullMeshMembers is the largest view in which every member pings all others.
	fullMeshMembers = 10
	// pingFanout is the number of members pinged in a round in larger views.
	pingFanout = 4
	// suspectsPinged is the most suspects that are pinged at a time, so that no
	// death is taken on trust.
	suspectsPinged = 64
	// othersAsked is the number of members that are asked at each tick about
	// the suspects that will soon count as dead.
	othersAsked = 4
	// tickInterval is the time between two looks at what time alone changes.
	tickInterval = 250 * time.Millisecond
	// pausedAfter is the time without a tick after which this process has been
	// paused for so long that the others count it as dead.
	pausedAfter = 4 * time.Second
	// pingReports is the most reports that one ping or reply carries.
	pingReports = 6
	// welcomeReports is the most reports in the reply to a newcomer.
	welcomeReports = 200
)

// target is a process to ping. The key is empty for a seed address.
type target struct {
	key     Key
	address string
}

// runPings pings members in turn and suspects at once.
func (l *Loop) runPings(ctx context.Context) error {
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
			targets = l.targets()
			round.Reset(l.jitter(l.roundInterval()))
		case <-ticker.C:
			targets = l.tick()
		}
		for _, t := range targets {
			pings.Go(func() { l.ping(ctx, t) })
		}
	}
}

// roundInterval returns the time between two rounds of pings.
func (l *Loop) roundInterval() time.Duration {
	if l.cfg.AloneInterval > 0 && l.Snapshot().alone {
		return l.cfg.AloneInterval
	}
	return pingInterval
}

// tick applies the passing of time and returns the suspects that this process
// has not yet tried itself, and others to ask about those that it has.
func (l *Loop) tick() []target {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.ticked) >= pausedAfter {
		l.table.resume(now)
	}
	l.ticked = now
	l.publish(l.table.tick(now))
	keys := l.table.untried(suspectsPinged)
	if l.table.askOthers(now) {
		keys = append(keys, l.next(othersAsked)...)
	}
	return l.addressed(keys)
}

// targets returns the processes to ping in this round: all others in a small
// view, else the next few of a shuffled queue, so that each is reached in turn.
func (l *Loop) targets() []target {
	l.mu.Lock()
	defer l.mu.Unlock()
	others := len(l.table.entries) - 1
	if others == 0 {
		return l.seedTargets()
	}
	count := others
	if others >= fullMeshMembers {
		count = pingFanout
	}
	return l.addressed(l.next(count))
}

// next takes up to count other members from the queue. The caller holds the lock.
func (l *Loop) next(count int) []Key {
	var keys []Key
	for range min(count, len(l.table.entries)-1) {
		if len(l.queue) == 0 {
			l.refill()
		}
		keys = append(keys, l.queue[0])
		l.queue = l.queue[1:]
	}
	return keys
}

// addressed returns the keys that are still in the view as targets. The caller
// holds the lock.
func (l *Loop) addressed(keys []Key) []target {
	var targets []target
	for _, key := range keys {
		if e, ok := l.table.entries[key]; ok {
			targets = append(targets, target{key: key, address: e.Member.Address})
		}
	}
	return targets
}

// refill starts a new pass over the other members. The caller holds the lock.
func (l *Loop) refill() {
	for _, e := range l.table.sorted() {
		if key := e.Member.Key(); key != l.table.self {
			l.queue = append(l.queue, key)
		}
	}
	l.cfg.Rand.Shuffle(len(l.queue), func(i, j int) { l.queue[i], l.queue[j] = l.queue[j], l.queue[i] })
}

func (l *Loop) seedTargets() []target {
	var targets []target
	for _, address := range l.seeds {
		if address != l.cfg.Self.Address {
			targets = append(targets, target{address: address})
		}
	}
	return targets
}

// ping asks one process until it answers or has missed missesToSuspect pings.
func (l *Loop) ping(ctx context.Context, t target) {
	for {
		if l.pingOnce(ctx, t) {
			return
		}
		if ctx.Err() != nil || t.key == (Key{}) || l.countMiss(t.key) {
			return
		}
		if !l.pause(ctx, retryInterval) {
			return
		}
	}
}

func (l *Loop) pingOnce(ctx context.Context, t target) bool {
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	l.mu.Lock()
	news := News{From: l.own(), Members: l.table.changes(pingReports, time.Now())}
	l.mu.Unlock()
	pingsSent.Inc()
	reply, err := l.cfg.Pinger.Ping(callCtx, t.address, news)
	if err != nil {
		pingsFailed.Inc()
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.take(reply, time.Now())
	return t.key == (Key{}) || reply.From.Member.Key() == t.key
}

// countMiss counts a ping without an answer and reports whether there were
// enough to end the round for the member.
func (l *Loop) countMiss(key Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures[key]++
	if l.failures[key] < missesToSuspect {
		return false
	}
	delete(l.failures, key)
	l.publish(l.table.missed(key, time.Now()))
	return true
}
