package integration

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// fate is what is known of a write.
type fate int

const (
	fateUnknown fate = iota
	fateAcknowledged
	fateRefused
)

// item is a row that one session writes, with rising numbers.
type item struct {
	name string
	// pair is written in the same transactions; nil for single writes.
	pair  *item
	fates []fate
	acked []time.Time
}

// ledger holds what callers were told, and checks what they see.
type ledger struct {
	soak  *soak
	mu    sync.Mutex
	items map[string]*item
	// byGroup names the items that can be read by others.
	byGroup    map[string][]string
	violations []string
	counts     map[string]int
	// unreadData is that of writes which met a session that was being closed. They
	// must not have been passed on.
	unreadData []string
}

func newLedger(s *soak) *ledger {
	return &ledger{soak: s, items: map[string]*item{}, byGroup: map[string][]string{}, counts: map[string]int{}}
}

func (l *ledger) violate(promise, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf("%.2f s %s: %s", time.Since(l.soak.begun).Seconds(), promise, fmt.Sprintf(format, args...)))
}

func (l *ledger) count(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[what]++
}

func (l *ledger) newItem(group, name string) *item {
	l.mu.Lock()
	defer l.mu.Unlock()
	it := &item{name: name}
	l.items[name] = it
	l.byGroup[group] = append(l.byGroup[group], name)
	return it
}

// unread notes a write that was cut off when it must not have been read.
func (l *ledger) unread(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fields := strings.Fields(text)
	l.unreadData = append(l.unreadData, fields[len(fields)-1])
}

// begin notes a write before it is sent, and returns its data.
func (l *ledger) begin(it *item) (number int, data string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	it.fates, it.acked = append(it.fates, fateUnknown), append(it.acked, time.Time{})
	return len(it.fates), fmt.Sprintf("%s:%d", it.name, len(it.fates))
}

func (l *ledger) end(it *item, number int, f fate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	it.fates[number-1] = f
	if f == fateAcknowledged {
		it.acked[number-1] = time.Now()
	}
}

// floor returns the highest number acknowledged before a time.
func (l *ledger) floor(name string, before time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	it := l.items[name]
	for n := len(it.fates); n > 0; n-- {
		if it.fates[n-1] == fateAcknowledged && it.acked[n-1].Before(before) {
			return n
		}
	}
	return 0
}

func (l *ledger) anyItem(r *rand.Rand, group string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if names := l.byGroup[group]; len(names) > 0 {
		return names[r.IntN(len(names))]
	}
	return ""
}

// saw checks the data of a read against the least number that it must show.
func (l *ledger) saw(kind, name, data string, floor int) {
	number := 0
	if data != "" {
		read, n, ok := strings.Cut(data, ":")
		number, _ = strconv.Atoi(n)
		if !ok || read != name {
			l.violate("own answers", "%s read %q as %s", kind, data, name)
			return
		}
	}
	l.count(kind + " reads")
	if number < floor {
		l.violate("fresh reads", "%s read %s as %d, %d was acknowledged", kind, name, number, floor)
	}
	l.mu.Lock()
	refused := number > 0 && l.items[name].fates[number-1] == fateRefused
	l.mu.Unlock()
	if refused {
		l.violate("refused means not run", "%s read %s, which was refused", kind, data)
	}
}

// checkCommitted compares the logs of the servers with what callers were told.
func (l *ledger) checkCommitted(committed map[string]int) {
	l.mu.Lock()
	items := l.items
	l.mu.Unlock()
	for _, data := range l.unreadData {
		if committed[data] > 0 {
			l.violate("planned stops cut off nothing", "%s was passed on and not answered", data)
		}
	}
	known := map[string]bool{}
	for _, it := range items {
		for i, f := range it.fates {
			data := fmt.Sprintf("%s:%d", it.name, i+1)
			known[data] = true
			n := committed[data]
			switch {
			case n > 1:
				l.violate("exactly once", "%s is committed %d times", data, n)
			case f == fateAcknowledged && n == 0:
				l.violate("acknowledged means kept", "%s is not in the log", data)
			case f == fateRefused && n > 0:
				l.violate("refused means not run", "%s is in the log", data)
			}
			if it.pair != nil && n != committed[fmt.Sprintf("%s:%d", it.pair.name, i+1)] {
				l.violate("whole transactions", "%s is committed %d times, its pair not", data, n)
			}
		}
	}
	for data := range committed {
		if !known[data] {
			l.violate("nothing unasked", "%q is in the log", data)
		}
	}
}
