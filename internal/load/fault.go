package load

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"
)

// FaultAction is the effect of a fault on its target.
type FaultAction string

// Actions of faults.
const (
	// FaultCrash makes a backend server close all connections and its listener
	// permanently.
	FaultCrash FaultAction = "crash"
	// FaultHang makes a backend server accept connections and not respond.
	FaultHang FaultAction = "hang"
	// FaultDown makes a backend server or a platform service refuse all requests.
	FaultDown FaultAction = "down"
	// FaultSilence makes a backend server stop responding on its open connections.
	FaultSilence FaultAction = "silence"
	// FaultLag sets the delay between receiving and replaying a log record.
	FaultLag FaultAction = "lag"
	// FaultSlow adds a delay to every statement or request.
	FaultSlow FaultAction = "slow"
	// FaultLoseAnswers drops the responses to the next writes.
	FaultLoseAnswers FaultAction = "lose_answers"
	// FaultKill, FaultPause and FaultTerminate send a signal to a process.
	FaultKill      FaultAction = "kill"
	FaultPause     FaultAction = "pause"
	FaultTerminate FaultAction = "terminate"
)

// faultTimeout bounds the call that injects or clears a fault.
const faultTimeout = 2 * time.Second

// faultRetryInterval is the pause between attempts to connect to a stand-in.
const faultRetryInterval = 50 * time.Millisecond

// faultOn and faultOff are the values of faults that are either on or off.
const (
	faultOn  = "on"
	faultOff = "off"
)

// Fault is a failure that is injected during a phase. Its target is a set of
// backend servers, a platform service or a process.
type Fault struct {
	// At is the offset from the start of the phase.
	At time.Duration `yaml:"at" json:"at" validate:"gte=0"`
	// Until is the offset at which the fault is cleared; with zero it lasts for
	// the rest of the run.
	Until  time.Duration `yaml:"until" json:"until,omitempty" validate:"gte=0"`
	Action FaultAction   `yaml:"action" json:"action" validate:"required"`
	// Value is the duration or count, for the actions that take one.
	Value string `yaml:"value" json:"value,omitempty"`
	// Servers are the ids of the affected backend servers.
	Servers []string `yaml:"servers" json:"servers,omitempty"`
	// Platform is a platform service: table, objects or vms.
	Platform string `yaml:"platform" json:"platform,omitempty" validate:"omitempty,oneof=table objects vms"`
	// Process is the name of a process in FaultTargets.Processes.
	Process string `yaml:"process" json:"process,omitempty"`
	// Group is the database group whose recovery from the fault is reported.
	Group string `yaml:"group" json:"group,omitempty"`
}

// FaultTargets holds the addresses and process ids of the targets of faults.
type FaultTargets struct {
	// Servers maps ids of backend servers to addresses.
	Servers map[string]string
	// Table is the address of the table service.
	Table string
	// Services maps the object store and the VM list to their URLs.
	Services map[string]string
	// Processes maps names to process ids. No other process is signalled.
	Processes map[string]int
}

// String returns the action, its value and its targets.
func (f Fault) String() string {
	text := string(f.Action)
	if f.Value != "" {
		text += " " + f.Value
	}
	target := strings.Join(f.Servers, ", ") + f.Platform + f.Process
	return text + " of " + target
}

// targetActions lists the actions that each type of target supports.
var targetActions = map[string][]FaultAction{
	"servers":  {FaultCrash, FaultHang, FaultDown, FaultSilence, FaultLag, FaultSlow, FaultLoseAnswers},
	"platform": {FaultDown, FaultSlow, FaultLoseAnswers},
	"process":  {FaultKill, FaultPause, FaultTerminate},
}

// reversible lists the actions that can be cleared. FaultHang is not among them:
// a stand-in that hangs does not respond to the call that would clear it.
var reversible = []FaultAction{FaultDown, FaultSlow, FaultPause}

// check validates the fault without regard to the known targets.
func (f Fault) check() error {
	var targets []string
	for target, given := range map[string]bool{
		"servers": len(f.Servers) > 0, "platform": f.Platform != "", "process": f.Process != "",
	} {
		if given {
			targets = append(targets, target)
		}
	}
	if len(targets) != 1 {
		return fmt.Errorf("fault %s: exactly one of servers, platform and process is required", f.Action)
	}
	if !slices.Contains(targetActions[targets[0]], f.Action) {
		return fmt.Errorf("fault %s: %s support only %v", f.Action, targets[0], targetActions[targets[0]])
	}
	if f.Until != 0 && (f.Until <= f.At || !slices.Contains(reversible, f.Action)) {
		return fmt.Errorf("fault %s: until must be after at and is only allowed for %v", f.Action, reversible)
	}
	return f.checkValue()
}

func (f Fault) checkValue() error {
	switch f.Action {
	case FaultLag, FaultSlow:
		_, err := time.ParseDuration(f.Value)
		return eris.Wrapf(err, "fault %s", f.Action)
	case FaultLoseAnswers:
		var n int
		_, err := fmt.Sscanf(f.Value, "%d", &n)
		return eris.Wrapf(err, "fault %s: count", f.Action)
	default:
		if f.Value != "" {
			return fmt.Errorf("fault %s takes no value", f.Action)
		}
		return nil
	}
}

// check returns an error if a target of the fault is unknown.
func (t FaultTargets) check(f Fault) error {
	for _, id := range f.Servers {
		if t.Servers[id] == "" {
			return fmt.Errorf("fault %s: unknown address of backend server %s", f.Action, id)
		}
	}
	if f.Platform == "table" && t.Table == "" || f.Platform != "" && f.Platform != "table" && t.Services[f.Platform] == "" {
		return fmt.Errorf("fault %s: unknown address of platform service %s", f.Action, f.Platform)
	}
	if f.Process != "" && t.Processes[f.Process] <= 1 {
		return fmt.Errorf("fault %s: unknown process id of %s", f.Action, f.Process)
	}
	return nil
}

func (t FaultTargets) inject(ctx context.Context, f Fault) error {
	value := f.Value
	if value == "" {
		value = faultOn
	}
	return t.apply(ctx, f, value, injectSignals[f.Action])
}

// undo clears the fault or resumes the paused process.
func (t FaultTargets) undo(ctx context.Context, f Fault) error {
	value := faultOff
	if f.Action == FaultSlow {
		value = "0s"
	}
	return t.apply(ctx, f, value, syscall.SIGCONT)
}

var injectSignals = map[FaultAction]syscall.Signal{
	FaultKill: syscall.SIGKILL, FaultPause: syscall.SIGSTOP, FaultTerminate: syscall.SIGTERM,
}

func (t FaultTargets) apply(ctx context.Context, f Fault, value string, signal syscall.Signal) error {
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	switch {
	case f.Process != "":
		return signalProcess(t.Processes[f.Process], signal)
	case f.Platform == "table":
		return setServerFault(ctx, t.Table, f.Action, value)
	case f.Platform != "":
		return setServiceFault(ctx, t.Services[f.Platform], f.Action, value)
	}
	for _, id := range f.Servers {
		if err := setServerFault(ctx, t.Servers[id], f.Action, value); err != nil {
			return err
		}
	}
	return nil
}

func signalProcess(pid int, signal syscall.Signal) error {
	p, err := os.FindProcess(pid)
	if err != nil {
		return eris.Wrapf(err, "find process %d", pid)
	}
	return eris.Wrapf(p.Signal(signal), "signal process %d", pid)
}

// setServerFault sets a fault of a stand-in that speaks the PostgreSQL protocol.
func setServerFault(ctx context.Context, address string, action FaultAction, value string) error {
	conn, err := connectForControl(ctx, address)
	if err != nil {
		return eris.Wrapf(err, "connect to stand-in %s", address)
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, fmt.Sprintf("SELECT rattan_fault('%s', '%s')", action, value)).ReadAll()
	if action == FaultCrash {
		return nil // the server may close the connection before it responds
	}
	return eris.Wrapf(err, "set %s of stand-in %s", action, address)
}

// connectForControl retries until ctx ends, since all control connections of a
// stand-in may be in use.
func connectForControl(ctx context.Context, address string) (*pgconn.PgConn, error) {
	for {
		conn, err := pgconn.Connect(ctx, connString(address, controlUser, "", controlUser)+controlOptions)
		if err == nil || sleepUntil(ctx, time.Now().Add(faultRetryInterval)) != nil {
			return conn, err
		}
	}
}

// setServiceFault sets a fault of a stand-in that serves HTTP.
func setServiceFault(ctx context.Context, base string, action FaultAction, value string) error {
	form := url.Values{}
	switch action {
	case FaultDown:
		form.Set("down", fmt.Sprint(value == faultOn))
	case FaultSlow:
		form.Set("slow", value)
	default:
		form.Set("lose", value)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, base+"/-/faults?"+form.Encode(), http.NoBody)
	if err != nil {
		return eris.Wrap(err, "create request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrapf(err, "set %s of stand-in %s", action, base)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("set %s of stand-in %s: status %s", action, base, resp.Status)
	}
	return nil
}
