// Command rattan-edge is the single process of an entry VM on the users' platform.
// It serves callers, owns the backend connections of the database groups whose home
// it is, and replaces failed primaries while it holds the promotion lease.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/urfave/cli/v3"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/edge"
	"github.com/rattancove/rattancove/internal/memory"
	"github.com/rattancove/rattancove/internal/program"
	"github.com/rattancove/rattancove/internal/telemetry"
	platformcatalog "github.com/rattancove/rattancove/platform/catalog"
	"github.com/rattancove/rattancove/platform/promotion"
	"github.com/rattancove/rattancove/platform/settings"
	"github.com/rattancove/rattancove/platform/store"
	"github.com/rattancove/rattancove/platform/wire"
	"github.com/rattancove/rattancove/platform/wire/back"
	"github.com/rattancove/rattancove/platform/wire/front"
)

const (
	// logBufferLines is the number of log lines buffered for writing. Lines beyond
	// that are dropped and counted, so that logging never blocks.
	logBufferLines = 2000
	// logFlushInterval is how often buffered lines are written.
	logFlushInterval = 20 * time.Millisecond
	// settingsPollInterval is how often the settings file is checked for changes,
	// which may come without a signal. No setting is urgent.
	settingsPollInterval = 2 * time.Second
	// heapShare is the share of the memory limit up to which the Go runtime may grow
	// before it collects garbage more aggressively; the rest is for stacks and the
	// kernel.
	heapShare = 0.6
	// ownTable is the name of this system's table in the platform's store.
	ownTable = "rattancove"
)

// hangups receives SIGHUP. It is registered before anything else, because an
// unhandled SIGHUP terminates the process.
var hangups = make(chan os.Signal, 1)

func main() {
	signal.Notify(hangups, syscall.SIGHUP)
	os.Exit(program.Run(command()))
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "rattan-edge",
		Usage: "database proxy with session consistency, one process for each entry VM of the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings file of the platform", Value: settings.Path()},
			&cli.StringFlag{Name: "log-level", Usage: "minimum level of log lines", Value: "info"},
			&cli.IntFlag{Name: "metrics-port", Usage: "port of the metrics listener on this VM's address; zero selects the first free one in the settings"},
			&cli.StringFlag{Name: "advertise", Usage: "address at which other processes reach this one, if it differs from the listen address"},
			&cli.BoolFlag{Name: "check", Usage: "validate the settings, print them and exit"},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	file, err := readSettings(cmd.String("settings"))
	if err != nil {
		return program.UsageError(err)
	}
	config := file.config
	config.LogLevel, config.PeerAdvertise = cmd.String("log-level"), cmd.String("advertise")
	if port := cmd.Int("metrics-port"); port > 0 {
		host, _, err := net.SplitHostPort(config.MetricsListen)
		if err != nil {
			return program.UsageError(eris.Wrap(err, "metrics address"))
		}
		config.MetricsListen = net.JoinHostPort(host, fmt.Sprint(port))
	}
	if cmd.Bool("check") {
		fmt.Printf("%+v\n", *config)
		return nil
	}
	debug.SetMemoryLimit(heapLimit(config))
	writer := diode.NewWriter(os.Stdout, logBufferLines, logFlushInterval, reportDropped(os.Stderr))
	defer func() { _ = writer.Close() }()
	log, err := telemetry.NewLogger(telemetry.LogConfig{
		Level: config.LogLevel, Format: "json", Process: "rattan-edge", ID: string(config.ID),
	}, writer)
	if err != nil {
		return program.UsageError(err)
	}
	return serve(ctx, file, log)
}

// reportDropped returns a function that writes the number of dropped log lines to out.
func reportDropped(out io.Writer) func(int) {
	return func(dropped int) { _, _ = fmt.Fprintf(out, "%d log lines dropped\n", dropped) }
}

func serve(ctx context.Context, file settingsFile, log zerolog.Logger) error {
	config := file.config
	client := store.New(config.StoreAddress, dialNetwork, &log)
	servers := back.New(wire.Dial)
	budget := memory.NewBudget(config.MemoryLimit)
	servers.LimitAnswers(budget.Answers)
	process, err := edge.New(*config, edge.Adapters{
		Listen: wire.Listen, Dial: wire.Dial,
		Caller:   func(conn net.Conn) edge.CallerConn { return front.NewBoundedConn(conn, budget) },
		Memory:   budget,
		Servers:  servers,
		Control:  replication{servers},
		Source:   platformcatalog.NewSource(client, &log),
		Table:    client.Table(ownTable),
		Promoter: promotion.New(config.PromotionAddr, dialNetwork),
	}, log)
	if err != nil {
		return err
	}
	// SIGHUP must stay handled during the drain, which continues after ctx has ended.
	watchCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go file.watch(watchCtx, process)
	return process.Run(ctx)
}

// settingsFile holds settings and the file that they were read from.
type settingsFile struct {
	path   string
	config *edge.Config
	// lastStamp is the state of the file before it was read, so that a change while
	// it is being read is detected.
	lastStamp fileStamp
}

func readSettings(path string) (settingsFile, error) {
	f := settingsFile{path: path, lastStamp: statStamp(path)}
	var err error
	f.config, err = settings.Load(path)
	return f, err
}

// watch reloads the settings on SIGHUP and when their file has changed.
func (f settingsFile) watch(ctx context.Context, process *edge.Edge) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if statStamp(f.path) == f.lastStamp {
				continue
			}
		}
		next, err := readSettings(f.path)
		f.lastStamp = next.lastStamp
		debug.SetMemoryLimit(heapLimit(process.Reload(next.config, err)))
	}
}

// fileStamp identifies the state of a file by its size and modification time.
type fileStamp struct {
	size     int64
	modified time.Time
}

// statStamp returns the stamp of a file. It returns the zero value if stat fails; the
// error is reported when the file is read.
func statStamp(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.Size(), info.ModTime()}
}

func heapLimit(c *edge.Config) int64 { return int64(heapShare * float64(c.MemoryLimit)) }

func dialNetwork(ctx context.Context, _, address string) (net.Conn, error) {
	return wire.Dial(ctx, address)
}

// replication implements succession.Dialer.
type replication struct{ dialer *back.Dialer }

// DialReplication implements succession.Dialer.
func (r replication) DialReplication(ctx context.Context, s cluster.Server, group cluster.GroupName) (backend.Replication, error) {
	return r.dialer.DialReplication(ctx, s, group)
}
