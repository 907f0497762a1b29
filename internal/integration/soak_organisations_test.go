package integration

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rattancove/rattancove/internal/standin/userplatform"
)

const (
	// firstOrganisationSeed is the first seed whose callers belong to organisations.
	firstOrganisationSeed = 10_000
	// revocationTime is the time from the acknowledgement of a version that removes a key
	// from which on no statement that is sent with it may run.
	revocationTime = 5 * time.Second
	// quotaWindow, quotaExcess and quotaSlack are the bounds of the operations that run.
	quotaWindow             = 5 * time.Second
	quotaExcess, quotaSlack = 0.1, 20
	// maxKeyChangeInterval is the maximum time between two changes of keys.
	maxKeyChangeInterval = 1200 * time.Millisecond
	// longOutage is the time for which the store is down after the other faults, and the
	// maximum time for which a process is paused meanwhile. Both let processes miss the
	// withdrawal of a key for longer than revocationTime.
	longOutage = 8 * time.Second
	// openingTime is the time for transactions to be opened before their keys are changed.
	openingTime = 300 * time.Millisecond
	// keyMark is part of each key and of nothing else.
	keyMark = "soaksecret"
	// operatorKey never changes, and its organisation has no limit.
	operatorKey = keyMark + "/operator="
	// soakKeys is the number of the keys of the callers. The first floodKeys of them belong
	// to the organisation with the lowest limit at the start, and the first one always.
	soakKeys, floodKeys = 8, 4
	// controlUser is the user of connections that are opened for no organisation.
	controlUser = "rattancove"
)

// soakOrganisation is an organisation. Without a rate it has no limit.
type soakOrganisation struct {
	name        string
	priority    int
	rate, burst float64
}

// soakOrganisations are the organisations to which keys may belong. The callers of the
// first one send many times its rate.
var soakOrganisations = []soakOrganisation{{"flood", 2, 15, 10}, {"limited", 1, 60, 30}, {"free", 0, 0, 0}}

// mostOperations returns how many operations may run in any window.
func (o soakOrganisation) mostOperations() float64 {
	return (o.rate*quotaWindow.Seconds()+o.burst)*(1+quotaExcess) + quotaSlack
}

// keyChange gives a key to an organisation, or withdraws it if that is empty.
type keyChange struct {
	organisation string
	// begun and acknowledged are when the store's write began and returned.
	// acknowledged is zero before.
	begun, acknowledged time.Time
}

// operation is a statement outside of a transaction, or a whole transaction. began is when
// its first statement was sent.
type operation struct {
	caller string
	began  time.Time
}

// keyedStatement is a statement of a caller with a key.
type keyedStatement struct {
	operation
	key    string
	public bool
	sent   time.Time
}

// organisationHistory records the changes of keys and the statements sent with them.
type organisationHistory struct {
	soak *soak
	mu   sync.Mutex
	// changes holds the changes of each key in their order.
	changes map[string][]keyChange
	// statements holds the statements by id.
	statements map[string]keyedStatement
}

func newOrganisationHistory(s *soak) *organisationHistory {
	h := &organisationHistory{soak: s, changes: map[string][]keyChange{}, statements: map[string]keyedStatement{}}
	for i := range soakKeys {
		organisation := soakOrganisations[max(0, i-floodKeys+1)%len(soakOrganisations)].name
		h.changes[soakKey(i)] = []keyChange{{organisation: organisation, begun: s.started, acknowledged: s.started}}
	}
	h.changes[operatorKey] = []keyChange{{organisation: "operator", begun: s.started, acknowledged: s.started}}
	return h
}

func soakKey(i int) string { return fmt.Sprintf("%s/%d=", keyMark, i) }

// callerKey returns the key of caller i.
func (s *soak) callerKey(i int) string {
	if s.organisations == nil {
		return ""
	}
	return soakKey(i % soakKeys)
}

// probeKey returns the key of callers that must always be served.
func (s *soak) probeKey() string {
	if s.organisations == nil {
		return ""
	}
	return operatorKey
}

// isPublic reports whether the route of a kind and group requires no key.
func (s *soak) isPublic(group, kind string) bool {
	return s.organisations != nil && kind == "browse" && group == s.groups[1].Name
}

// tenants returns the organisations as the configuration lists them.
func (h *organisationHistory) tenants() []map[string]any {
	h.mu.Lock()
	defer h.mu.Unlock()
	keys := map[string][]string{}
	for key, changes := range h.changes {
		owner := changes[len(changes)-1].organisation
		keys[owner] = append(keys[owner], key)
	}
	list := []map[string]any{{"name": "operator", "api_keys": keys["operator"]}}
	for _, o := range soakOrganisations {
		tenant := map[string]any{"name": o.name, "api_keys": append([]string{}, keys[o.name]...), "priority": o.priority}
		if o.rate > 0 {
			tenant["rate_per_s"], tenant["burst"] = o.rate, o.burst
		}
		list = append(list, tenant)
	}
	return list
}

// changeKeys withdraws, restores and moves keys until stop is closed.
func (h *organisationHistory) changeKeys(stop <-chan struct{}) {
	r := rand.New(rand.NewPCG(h.soak.seed, 11))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(r.Int64N(int64(maxKeyChangeInterval)))):
		}
		h.changeKey(soakKey(1+r.IntN(soakKeys-1)), r)
	}
}

// changeKey withdraws a key half of the time, and otherwise gives it to a random
// organisation.
func (h *organisationHistory) changeKey(key string, r *rand.Rand) {
	next := soakOrganisations[r.IntN(len(soakOrganisations))].name
	h.mu.Lock()
	changes := h.changes[key]
	last := changes[len(changes)-1].organisation
	if last != "" && r.IntN(2) == 0 {
		next = ""
	}
	if next == last {
		h.mu.Unlock()
		return
	}
	h.changes[key] = append(changes, keyChange{organisation: next, begun: time.Now()})
	h.mu.Unlock()
	h.soak.putConfiguration()
	h.mu.Lock()
	h.changes[key][len(changes)].acknowledged = time.Now()
	h.mu.Unlock()
	h.soak.trace("%s of %q to %q", key, last, next)
	switch {
	case next == "":
		h.soak.history.increment("keys withdrawn")
	case last == "":
		h.soak.history.increment("keys restored")
	default:
		h.soak.history.increment("keys moved")
	}
}

// owners returns the organisations, empty for none, to which a process may take the key to
// belong when it decides until a time on a statement that was sent at another.
func (h *organisationHistory) owners(key string, sent, until time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	changes := h.changes[key]
	if len(changes) == 0 {
		return []string{""}
	}
	var owners []string
	for i, c := range changes {
		replaced := i+1 < len(changes) && !changes[i+1].acknowledged.IsZero() && sent.Sub(changes[i+1].acknowledged) > revocationTime
		if !replaced && !c.begun.After(until) {
			owners = append(owners, c.organisation)
		}
	}
	return owners
}

// addSent records a statement before it is sent.
func (h *organisationHistory) addSent(id string, st keyedStatement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.statements[id] = st
}

// checkAnswer checks the answer to a statement or a start-up message. What runs is checked
// by the records of the servers; BEGIN, SET and the like need no key.
func (h *organisationHistory) checkAnswer(st keyedStatement, code, line string) {
	now := time.Now()
	if strings.HasPrefix(line, "STARTUP") && code == "" && !st.public && !slices.ContainsFunc(h.owners(st.key, st.sent, now), isOrganisation) {
		h.soak.history.addViolation("withdrawn keys are refused", "%s was sent with %s and served", line, st.key)
	}
	if code != "DENIED" {
		return
	}
	h.soak.history.increment("statements denied")
	if owners := slices.Compact(slices.Sorted(slices.Values(h.owners(st.key, st.began, now)))); len(owners) == 1 && owners[0] != "" {
		h.soak.history.addViolation("valid keys are not denied", "%s was sent with %s of %s", line, st.key, owners[0])
	}
}

func isOrganisation(name string) bool { return name != "" }

// probeKeys sends unknown keys, and keys in the place of the database, until ctx is done.
func (h *organisationHistory) probeKeys(ctx context.Context) {
	r := rand.New(rand.NewPCG(h.soak.seed, 12))
	for ctx.Err() == nil {
		sleep(ctx, 100*time.Millisecond)
		database, key := h.soak.groups[0].Name+"-orders", keyMark+"/unknown="
		if r.IntN(2) == 0 {
			database, key = soakKey(0), database
		}
		e := h.soak.randomEdge(r)
		conn, err := net.DialTimeout("tcp", e.callers, time.Second)
		if err != nil {
			continue
		}
		c := &soakCaller{soak: h.soak, key: key, edge: e, conn: conn, reader: bufio.NewReader(conn)}
		if a, err := c.roundTrip("STARTUP " + database + " " + key); err == nil || a.code != "" {
			h.soak.history.increment("unknown keys answered " + a.code)
		}
		c.close()
	}
}

// causeLongFaults opens transactions, takes the store away from all processes, pauses one of
// them and changes all keys but the first. It returns when the changes must have been in
// force for some time. With planned faults only there is no outage and no pause.
func (h *organisationHistory) causeLongFaults() {
	s, r := h.soak, rand.New(rand.NewPCG(h.soak.seed, 13))
	e, pause := s.randomEdge(r), time.Duration(r.Int64N(int64(longOutage)))
	var transactions sync.WaitGroup
	defer transactions.Wait()
	for i := 1; i < soakKeys; i++ {
		c := s.newCaller(fmt.Sprintf("long%d", i), i)
		transactions.Go(c.runLongTransaction)
	}
	time.Sleep(openingTime)
	if !s.plannedOnly {
		s.trace("long faults")
		s.store.SetFaults(userplatform.Faults{Down: true})
		e.signal(syscall.SIGSTOP)
	}
	for i := 1; i < soakKeys; i++ {
		h.changeKey(soakKey(i), r)
	}
	if s.plannedOnly {
		time.Sleep(longOutage)
		return
	}
	defer time.AfterFunc(pause, func() { e.signal(syscall.SIGCONT) }).Stop()
	for begun := time.Now(); time.Since(begun) < longOutage; time.Sleep(pollInterval) {
		s.markStoreDisturbed()
	}
	e.signal(syscall.SIGCONT)
	s.store.SetFaults(userplatform.Faults{})
	s.markStoreDisturbed()
	s.trace("end of the long faults")
}

// runLongTransaction reads in one transaction until it fails or longOutage ends.
func (c *soakCaller) runLongTransaction() {
	if !c.connect() {
		return
	}
	defer c.close()
	_, code, err := c.query("BEGIN")
	for begun := time.Now(); err == nil && code == "" && time.Since(begun) < longOutage; time.Sleep(maxThinkTime) {
		c.inTransaction = true
		_, code, err = c.query(c.textOf("READ", c.name))
	}
	if c.began.Before(time.Now().Add(-time.Second)) {
		c.soak.history.increment("long transactions that ended with " + cmp.Or(code, "no error"))
	}
}

// check compares what the servers ran with the keys of the callers and the limits of the
// organisations.
func (h *organisationHistory) check() {
	var runs []userplatform.Run
	for _, g := range h.soak.groups {
		runs = append(runs, g.Runs()...)
		for name := range g.Startups() {
			if name != controlUser && name != "operator" && !slices.ContainsFunc(soakOrganisations, func(o soakOrganisation) bool { return o.name == name }) {
				h.soak.history.addViolation("servers receive names of organisations", "%s received %q", g.Name, name)
			}
		}
	}
	for _, run := range runs {
		h.checkRun(run)
		h.checkOutput("a statement of "+run.Server, run.ID+" "+run.Text+" "+run.Definition)
	}
	for _, o := range soakOrganisations {
		h.checkQuota(o, runs)
	}
	for _, st := range h.statements {
		if !slices.ContainsFunc(h.owners(st.key, st.sent, st.sent), isOrganisation) {
			h.soak.history.increment("statements sent with withdrawn keys")
		}
	}
	logs, err := filepath.Glob(filepath.Join(h.soak.dir, "*.log"))
	if err != nil || len(logs) != len(h.soak.edges) {
		h.soak.t.Errorf("logs: %q, %v", logs, err)
	}
	for _, log := range logs {
		data, err := os.ReadFile(log)
		if err != nil {
			h.soak.t.Error(err)
		}
		h.checkOutput(filepath.Base(log), string(data))
	}
}

// checkRun checks that the key of a statement that a server ran belonged to the
// organisation of the connection.
func (h *organisationHistory) checkRun(run userplatform.Run) {
	h.mu.Lock()
	st, ok := h.statements[run.ID]
	h.mu.Unlock()
	if !ok {
		return // checkExchanges reports statements that nobody sent
	}
	owners := h.owners(st.key, st.sent, run.StartedAt)
	if st.public && run.Organisation == controlUser || run.Organisation != "" && slices.Contains(owners, run.Organisation) {
		h.soak.history.increment("runs for " + run.Organisation)
		return
	}
	guarantee := "statements run for the organisation of their key"
	if !slices.ContainsFunc(owners, isOrganisation) {
		guarantee = "withdrawn keys run nothing"
	}
	h.soak.history.addViolation(guarantee, "%q of %s, sent at %.3f s, ran for %q on %s at %.3f s, its key may belong to %q",
		run.Text, run.ID, st.sent.Sub(h.soak.started).Seconds(), run.Organisation, run.Server, run.StartedAt.Sub(h.soak.started).Seconds(), owners)
}

// checkQuota checks the operations of an organisation in each sliding window. An operation
// that was run again counts once, when a server first began to run a statement of it.
func (h *organisationHistory) checkQuota(o soakOrganisation, runs []userplatform.Run) {
	if o.rate == 0 {
		return
	}
	first := map[operation]time.Time{}
	for _, run := range runs {
		op := h.statements[run.ID].operation
		if at, ran := first[op]; run.Organisation == o.name && (!ran || run.StartedAt.Before(at)) {
			first[op] = run.StartedAt
		}
	}
	var times []time.Time
	for _, at := range first {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	most, mostAt := 0, 0
	for begin, end := 0, 0; begin < len(times); begin++ {
		for end < len(times) && times[end].Sub(times[begin]) < quotaWindow {
			end++
		}
		if end-begin > most {
			most, mostAt = end-begin, begin
		}
	}
	if float64(most) > o.mostOperations() {
		h.soak.history.addViolation("limits of organisations", "%d operations of %s ran in the %v from %.3f s on, %.1f may",
			most, o.name, quotaWindow, times[mostAt].Sub(h.soak.started).Seconds(), o.mostOperations())
	}
	h.soak.t.Logf("seed %d: %s ran %d operations, up to %d of %.1f in a window", h.soak.seed, o.name, len(times), most, o.mostOperations())
}

// watchOutputs searches the metrics of the processes and the rows of the store for keys
// until ctx is done.
func (h *organisationHistory) watchOutputs(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		sleep(ctx, time.Second)
		for _, row := range h.soak.store.Rows() {
			if row.Table != "op" {
				h.checkOutput("a row of "+row.Table, row.Partition+" "+row.Key+" "+string(row.Value))
			}
		}
		for _, e := range h.soak.edges {
			if response, err := client.Get("http://" + e.metrics + "/metrics"); err == nil {
				text, _ := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK && len(text) > 0 {
					h.soak.history.increment("metrics searched for keys")
				}
				h.checkOutput("the metrics of "+e.name, string(text))
			}
		}
	}
}

// checkOutput checks that a text contains no key.
func (h *organisationHistory) checkOutput(what, text string) {
	if i := strings.Index(text, keyMark); i >= 0 {
		h.soak.history.addViolation("no key is written", "%s: %q", what, text[max(0, i-200):min(len(text), i+50)])
	}
}

// organisationSettings returns the settings of process i with organisations. The shares of
// the processor are uneven.
func organisationSettings(i int) []string {
	share := 0.192
	if i == 0 {
		share = 0.8
	}
	return []string{
		"bounds.strict_revoke=true", fmt.Sprintf("bounds.revoke_ms=%d", revocationTime.Milliseconds()), "bounds.config_apply_ms=5000",
		fmt.Sprintf("bounds.quota_window_s=%g", quotaWindow.Seconds()), fmt.Sprintf("bounds.quota_excess=%g", quotaExcess),
		fmt.Sprintf("bounds.quota_slack=%d", int(quotaSlack)), fmt.Sprintf("limits.cpu_share=%g", share),
	}
}
