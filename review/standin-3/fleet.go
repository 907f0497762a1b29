//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rattancove/rattancove/internal/standin/userplatform"
)

// The deployment is like that of a small site: seven entry VMs in four zones.
const (
	processCount  = 7
	groupServers  = 3
	drainTime     = 7 * time.Second
	stableWindow  = 4 * time.Second
	startTimeout  = 20 * time.Second
	restartDelay  = time.Second
	promotionTime = time.Second
)

// Databases of the group, one for each kind of route.
const (
	primaryDatabase = "press-order"
	boundedDatabase = "pattern-browse"
	ownDatabase     = "stock-dispatch"
	groupName       = "orders-db"
)

// process is a rattan-edge process.
type process struct {
	name, settings, ready, front string
	log                          *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// fleet is a deployment on loopback addresses.
type fleet struct {
	dir       string
	reserved  net.Listener
	store     *store
	group     *userplatform.Group
	processes []*process
}

// startFleet starts the platform, a group and the processes, and waits until all are ready.
func startFleet(dir string) (*fleet, error) {
	f := &fleet{dir: dir, store: newStore()}
	entries := userplatform.NewStore()
	group, err := userplatform.NewGroup(groupName, groupServers, entries)
	if err != nil {
		return nil, err
	}
	f.group = group
	group.SetPromotionDelay(promotionTime)
	group.SetWorkTime(3 * time.Millisecond)
	go f.store.mirror(entries)
	f.configure()
	storeAddress, err := serve(f.store)
	if err != nil {
		return nil, err
	}
	promotionAddress, err := serve(promotions(group))
	if err != nil {
		return nil, err
	}
	block, err := f.reserveBlock()
	if err != nil {
		return nil, err
	}
	f.describe(block, storeAddress, promotionAddress)
	for _, p := range f.processes {
		if err := p.start(); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady()
}

// promotions records the calls that ask for a promotion before the group serves them.
func promotions(group *userplatform.Group) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		record("platform: POST /promotion holder=%s token=%s", r.Header.Get("Rattancove-Duty-Holder"), r.Header.Get("Rattancove-Fencing-Token"))
		group.ServeHTTP(w, r)
	})
}

func serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// configure writes the operator's configuration.
func (f *fleet) configure() {
	route := func(host, kind string, priority, timeout, goal, staleness int) map[string]any {
		return map[string]any{
			"name": "r-" + host, "host": host, "prefix": "/", "type": kind, "timeout_ms": timeout, "goal_ms": goal,
			"priority": priority, "service": groupName, "attempts": 2, "max_staleness_ms": staleness,
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{
			route(primaryDatabase, "primary", 0, 800, 100, 0),
			route(ownDatabase, "read_your_writes", 1, 800, 200, 2500),
			route(boundedDatabase, "bounded", 2, 1200, 600, 1500),
		},
		"services": []any{map[string]any{"name": groupName, "health_path": "/health", "max_conns": 16, "protocol": "h1", "tls": false, "sync_replicas": 1}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
	})
	if err != nil {
		panic(err)
	}
	f.store.set("op", "config", value)
}

// reserveBlock returns a block of loopback addresses that no other run uses. A listener holds
// it until this process ends.
func (f *fleet) reserveBlock() (int, error) {
	for range 50 {
		block := 16 + rand.IntN(200)
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:8784", block, processCount+1))
		if err == nil {
			f.reserved = l
			return block, nil
		}
	}
	return 0, errors.New("no free block of addresses")
}

// describe chooses the addresses of the processes and writes their settings. Each has a
// loopback address of its own, since all use the same metrics port.
func (f *fleet) describe(block int, storeAddress, promotionAddress string) {
	var seeds []string
	address := func(i, port int) string { return fmt.Sprintf("127.%d.%d.1:%d", block, i+1, port) }
	for i := range 3 {
		seeds = append(seeds, address(i, 8782))
	}
	for i := range processCount {
		zone := []string{"latacunga", "ambato", "salcedo", "pujili"}[i%4]
		p := &process{name: fmt.Sprintf("front-%s-%d", zone, i/4+1), front: address(i, 8784), ready: address(i, 8785)}
		p.settings = filepath.Join(f.dir, p.name+".conf")
		lines := []string{
			"node=" + p.name, "role=edge", "class=front", "serves=front,control", fmt.Sprintf("ip=127.%d.%d.1", block, i+1),
			"zone=" + zone, "region=sierra-centro", "zones.latacunga=sierra-centro", "zones.ambato=sierra-centro",
			"zones.salcedo=sierra-centro", "zones.pujili=sierra-centro",
			"listen.front=" + p.front, "listen.ready=" + p.ready, "listen.control=" + address(i, 8782), "port_range=7440,7455",
			"seeds=" + strings.Join(seeds, ","), "bootstrap=true", "counts_as_loss=false", "limits.cpu_share=0.4", "limits.cores=1",
			"limits.ram_mb=284", "limits.max_fds=4300", "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform",
			"entry=vip", "heartbeat_ms=1200", "contracts=base,drain,config,cost,recover,sql,platform", "tolerate.machines=2",
			"tolerate.zones=0", "tolerate.regions=0", "bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.stable_window_ms=4000",
			"bounds.ack_ms=5000", "bounds.catchup_s=4", "bounds.drain_ms=7000", "bounds.grace_s=6", "bounds.lost_slack_ms=200",
			"bounds.config_apply_ms=3000", "bounds.downgrade_ms=250", "bounds.max_skew_ms=12000", "bounds.recovery_s=12",
			"bounds.fencing=false", "bounds.thaw_ms=300", "platform.addr=" + storeAddress, "platform.form=table",
			"platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.tx_ms=6.0", "platform.part_writes_s=200",
			"platform.row_bytes=65536", "platform.across=false", "platform.history_s=20", "platform.blob_bytes=8388608",
			"platform.blob_ms=25.0", "platform.blob_mb_s=80.0", "cloud.addr=" + promotionAddress, "cloud.rate_per_s=50.0",
			"cloud.duties=promotion", "cloud.duty_per_s=50.0",
		}
		if err := os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			panic(err)
		}
		f.processes = append(f.processes, p)
	}
}

// start runs the command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.log == nil {
		log, err := os.Create(strings.TrimSuffix(p.settings, ".conf") + ".log")
		if err != nil {
			return err
		}
		p.log = log
	}
	command := exec.Command("target/rattan-edge", "--metrics-port", "9464")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RATTANCOVE_BOOT=" + p.settings}
	command.Stdout, command.Stderr = p.log, p.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.command, p.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

// restart stops the process as the platform does, SIGTERM and then SIGKILL after the grace
// time, and starts it again.
func (p *process) restart() error {
	record("platform: SIGTERM to %s", p.name)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(6 * time.Second):
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	time.Sleep(restartDelay)
	record("platform: %s starts again", p.name)
	return p.start()
}

func (f *fleet) stop() {
	for _, p := range f.processes {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range f.processes {
		if p.exited != nil {
			<-p.exited
		}
	}
}

func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, p := range f.processes {
		for !isReady(p.ready) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", p.name, startTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(address string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// leaseHolder returns the process that holds the promotion lease according to the store.
func (f *fleet) leaseHolder() *process {
	value, ok := f.store.row("rattancove", "duty/promotion")
	var row struct{ Holder string }
	if !ok || json.Unmarshal(value, &row) != nil {
		return nil
	}
	for _, p := range f.processes {
		if p.name == row.Holder {
			return p
		}
	}
	return nil
}
