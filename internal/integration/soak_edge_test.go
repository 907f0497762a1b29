package integration

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// soakEdge is one rattan-edge process and its relays.
type soakEdge struct {
	soak *soak
	name string
	// callers, ready and peers are the addresses that the process listens on.
	callers, ready, peers string
	// metrics is the address of the metrics listener.
	metrics  string
	settings string
	// peerRelay is in front of the process; storeRelay and promotionRelay are between
	// it and the platform.
	peerRelay, storeRelay, promotionRelay *relay
	// serverRelays holds the relays between the process and the backend servers by id.
	serverRelays map[string]*relay
	inRotation   atomic.Bool

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	// starts counts the starts, and disturbedAt is the time of the last start of, signal
	// to or fault injected at the process or its connections.
	starts      int
	disturbedAt time.Time
	// reserved is set while a fault that stops or pauses the process lasts.
	reserved bool
}

// serverRelay returns the relay between the process and a server, and starts it if there
// is none.
func (e *soakEdge) serverRelay(id, target string) *relay {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.serverRelays[id]
	if !ok {
		r = startRelay(e.soak.t, target)
		e.serverRelays[id] = r
	}
	return r
}

// serveStore answers as the store does, with the addresses of the process's own relays in
// the entries of the servers.
func (e *soakEdge) serveStore(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("table") != "servers" {
		e.soak.store.ServeHTTP(w, r)
		return
	}
	recorder := httptest.NewRecorder()
	e.soak.store.ServeHTTP(recorder, r)
	var body map[string]any
	if json.Unmarshal(recorder.Body.Bytes(), &body) == nil {
		e.replaceAddresses(body["rows"])
		recorder.Body.Reset()
		_ = json.NewEncoder(recorder.Body).Encode(body)
	}
	maps.Copy(w.Header(), recorder.Header())
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes())
}

// replaceAddresses replaces the addresses of servers in rows of the store.
func (e *soakEdge) replaceAddresses(rows any) {
	list, _ := rows.([]any)
	for _, r := range list {
		row := r.(map[string]any)
		value, _ := row["value"].(string)
		data, _ := base64.StdEncoding.DecodeString(value)
		var entry map[string]any
		if json.Unmarshal(data, &entry) != nil {
			continue
		}
		entry["addr"] = e.serverRelay(row["key"].(string), entry["addr"].(string)).address()
		data, _ = json.Marshal(entry)
		row["value"] = data
	}
}

func (e *soakEdge) writeSettings() {
	e.metrics = freeAddress(e.soak.t)
	_, port, _ := net.SplitHostPort(e.metrics)
	lines := []string{
		"node=" + e.name, "zone=z1", "ip=127.0.0.1", "listen.front=" + e.callers, "listen.ready=" + e.ready,
		"listen.control=" + e.peers, "port_range=" + port + "," + port, "seeds=" + e.soak.seedAddresses(),
		"limits.ram_mb=284", "limits.max_fds=4096", "heartbeat_ms=1000",
		fmt.Sprintf("bounds.grace_s=%d", int(stopTimeout.Seconds())),
		"platform.addr=" + e.storeRelay.address(), "cloud.addr=" + e.promotionRelay.address(),
	}
	if e.soak.organisations != nil {
		lines = append(lines, organisationSettings(slices.Index(e.soak.edges, e))...)
	}
	e.settings = filepath.Join(e.soak.dir, e.name+".conf")
	if err := os.WriteFile(e.settings, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		e.soak.t.Fatal(err)
	}
}

// start starts the process, which logs to NAME.log in the directory of its settings.
func (e *soakEdge) start(program string) {
	log, err := os.OpenFile(filepath.Join(e.soak.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		e.soak.t.Error(err)
		return
	}
	defer log.Close()
	cmd := exec.Command(program, "--settings", e.settings, "--advertise", e.peerRelay.address())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		e.soak.t.Error(err)
		return
	}
	ended := make(chan struct{})
	e.mu.Lock()
	e.cmd, e.ended, e.starts, e.disturbedAt = cmd, ended, e.starts+1, time.Now()
	e.mu.Unlock()
	started := time.Now()
	go func() {
		_ = cmd.Wait() // the log states the reason of the exit
		close(ended)
		e.supervise(program, cmd, started)
	}()
}

// supervise restarts a process that exited on its own, as the platform does.
func (e *soakEdge) supervise(program string, ended *exec.Cmd, started time.Time) {
	e.mu.Lock()
	unexpected := !e.reserved && !e.soak.stopping.Load() && e.cmd == ended
	e.mu.Unlock()
	if !unexpected {
		return
	}
	e.soak.history.increment("processes that ended by themselves")
	if time.Since(started) > signalHandlerTime {
		e.soak.history.addViolation("processes go on", "%s ended by itself after %v", e.name, time.Since(started))
	}
	time.Sleep(signalHandlerTime)
	if !e.soak.stopping.Load() {
		e.start(program)
	}
}

// signal sends a signal to the current process and returns the channel that is closed
// when it has ended.
func (e *soakEdge) signal(signal syscall.Signal) (ended <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disturbedAt = time.Now()
	_ = e.cmd.Process.Signal(signal) // the process may have ended
	return e.ended
}

// reserve reserves the process for a fault that stops or pauses it. It returns false
// if another fault has reserved it.
func (e *soakEdge) reserve() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reserved {
		return false
	}
	e.reserved = true
	return true
}

func (e *soakEdge) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reserved = false
}

// markDisturbed records a fault at the process or its connections.
func (e *soakEdge) markDisturbed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disturbedAt = time.Now()
}

// disturbance returns the number of starts and the time since the last disturbance.
func (e *soakEdge) disturbance() (starts int, undisturbed time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts, time.Since(e.disturbedAt)
}

// pollReadiness polls readiness as a load balancer does, and takes the process out of
// rotation after two failed checks.
func (e *soakEdge) pollReadiness(stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for {
		response, err := client.Get("http://" + e.ready + "/ready")
		misses++
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				misses = 0
			}
		}
		e.inRotation.Store(misses < 2)
		select {
		case <-stop:
			return
		case <-time.After(250 * time.Millisecond):
		}
	}
}
