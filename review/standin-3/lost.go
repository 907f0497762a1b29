//go:build review

package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	// A replica receives nothing for deafEnd, and deafTime after the begin of that the primary
	// crashes, which is down for crashTime.
	deafTime  = 1200 * time.Millisecond
	deafEnd   = 6 * time.Second
	crashTime = 7 * time.Second
	// A replica that leaves ends serveTime after drain_ms, and settleTime later the other one
	// receives nothing.
	serveTime  = 4 * time.Second
	settleTime = 5 * time.Second
)

// runLost has the two replicas of a group replaced one after the other, and the store come back
// from a copy in between. Afterwards one replica receives nothing for a while, and the primary
// crashes meanwhile. Rule LOST: the promoted server must have all acknowledged commits. Without
// the disruption the store is not taken away; the rest is the same.
func runLost(f *fleet, trouble bool) ([]string, error) {
	l := startLoad(f)
	replicas := f.group.ServerIDs()[1:]
	time.Sleep(12 * time.Second)
	kept, err := f.replace(replicas[0])
	if err != nil {
		return nil, err
	}
	time.Sleep(joinTime)
	if trouble {
		f.store.drill(9*time.Second, awayTime)
	}
	time.Sleep(joinTime)
	if _, err := f.replace(replicas[1]); err != nil {
		return nil, err
	}
	time.Sleep(drainTime + serveTime + settleTime)
	primary := f.group.Primary()
	if primary == "" {
		return nil, errors.New("the group has no primary")
	}
	f.group.Isolate(kept, true)
	record("group: %s receives nothing", kept)
	time.Sleep(deafTime)
	f.group.Kill(primary)
	crashed := time.Now()
	record("group: the primary %s crashes", primary)
	time.AfterFunc(crashTime, func() {
		_, err := f.group.Restart(primary)
		record("group: %s starts again with its log: %v", primary, err)
	})
	promoted := await(crashTime, func() bool { n, _ := f.group.Promotions(); return n > 0 })
	time.Sleep(time.Until(crashed.Add(deafEnd - deafTime)))
	f.group.Isolate(kept, false)
	record("group: %s receives again", kept)
	time.Sleep(time.Until(crashed.Add(crashTime + 4*time.Second)))
	l.stop()
	if !promoted {
		record("no server was promoted while the primary was down")
	}
	return f.lostCommits(l), nil
}

// replace has a new server join and a replica announce that it is leaving, which ends some
// seconds later than drain_ms afterwards. It returns the new server.
func (f *fleet) replace(replica string) (joined string, err error) {
	if joined, err = f.join(); err != nil {
		return "", err
	}
	time.Sleep(joinTime)
	f.group.Drain(replica)
	record("group: the replica %s is draining", replica)
	time.AfterFunc(drainTime+serveTime, func() { record("group: %s ends: %v", replica, f.group.Leave(replica)) })
	return joined, nil
}

// lostCommits returns the violations of LOST: writes that were acknowledged before a promotion
// and that the promoted server's log lacks.
func (f *fleet) lostCommits(l *load) []string {
	_, promotions := f.group.PromotionHistory()
	var violations []string
	for _, p := range promotions {
		log := map[string]bool{}
		for _, data := range p.Log {
			log[data] = true
		}
		lost := 0
		for _, w := range l.acknowledged {
			if w.at.Before(p.At) && !log[w.data] {
				lost++
				record("client: %s was acknowledged %.3f s before %s was promoted, whose log lacks it", w.data, p.At.Sub(w.at).Seconds(), p.Server)
			}
		}
		record("platform: %s was promoted to term %d with %d records", p.Server, p.Term, len(p.Log))
		if lost > 0 {
			violations = append(violations, fmt.Sprintf("LOST: %d acknowledged writes are not in the log of %s, which is promoted", lost, p.Server))
		}
	}
	return violations
}
