package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/program"
	"github.com/rattancove/rattancove/internal/standin/dbserver"
)

// serverFlags returns the flags that configure one server or every server of a
// group.
func serverFlags() []cli.Flag {
	return []cli.Flag{
		&cli.IntFlag{Name: "slots", Value: dbserver.DefaultSlots, Usage: "number of statements that execute concurrently"},
		&cli.IntFlag{Name: "connections", Value: dbserver.DefaultConnections, Usage: "maximum number of data connections"},
		&cli.IntFlag{Name: "control-connections", Value: dbserver.DefaultControlConnections, Usage: "number of additional connections reserved for control"},
		&cli.DurationFlag{Name: "connect-delay", Value: dbserver.DefaultConnectDelay, Usage: "delay when a connection is opened"},
		&cli.DurationFlag{Name: "lag", Usage: "delay between receiving and replaying a log record"},
		&cli.StringFlag{Name: "schema", Usage: "file with SQL that the primary executes at startup"},
		&cli.StringFlag{Name: "auth", Value: string(dbserver.AuthTrust), Usage: "authentication method: trust, cleartext or scram"},
		&cli.StringFlag{Name: "user", Usage: "user that may connect; ignored if auth is trust"},
		&cli.StringFlag{Name: "password", Usage: "password of the user"},
		&cli.StringFlag{Name: "log-level", Value: "info", Usage: "minimum level: debug, info, warn or error"},
	}
}

func backendCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "run one backend server",
		Flags: append(serverFlags(),
			&cli.StringFlag{Name: "id", Required: true, Usage: "id of the server"},
			&cli.StringFlag{Name: "listen", Required: true, Usage: "address to listen on"},
			&cli.StringFlag{Name: "group-leader", Usage: "initial primary as id@address; empty makes this server the primary"},
			&cli.StringFlag{Name: "dir", Usage: "directory that stores the state across restarts; empty stores nothing"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			cfg, err := serverConfig(c)
			if err != nil {
				return err
			}
			cfg.ID = cluster.ServerID(c.String("id"))
			cfg.Dir = c.String("dir")
			cfg.Leader, err = parseServer(c.String("group-leader"))
			if err != nil {
				return err
			}
			cfg.Primary = cfg.Leader.Address == ""
			return runServer(ctx, cfg, c.String("listen"))
		},
	}
}

func groupCommand() *cli.Command {
	return &cli.Command{
		Name:  "group",
		Usage: "run all servers of a database group in one process; the first is the primary",
		Flags: append(serverFlags(), &cli.StringSliceFlag{
			Name: "server", Required: true, Usage: "server as id@address; repeat for each",
		}),
		Action: func(ctx context.Context, c *cli.Command) error {
			cfg, err := serverConfig(c)
			if err != nil {
				return err
			}
			return runGroup(ctx, cfg, c.StringSlice("server"))
		},
	}
}

func runGroup(ctx context.Context, cfg dbserver.Config, servers []string) error {
	g, ctx := errgroup.WithContext(ctx)
	leader, err := parseServer(servers[0])
	if err != nil {
		return err
	}
	for i, arg := range servers {
		self, err := parseServer(arg)
		if err != nil {
			return err
		}
		serverCfg := cfg
		serverCfg.ID, serverCfg.Primary, serverCfg.Leader = self.ID, i == 0, leader
		g.Go(func() error { return runServer(ctx, serverCfg, self.Address) })
	}
	return g.Wait()
}

func serverConfig(c *cli.Command) (dbserver.Config, error) {
	level, err := zerolog.ParseLevel(c.String("log-level"))
	if err != nil {
		return dbserver.Config{}, program.UsageError(eris.Wrap(err, "log-level"))
	}
	cfg := dbserver.Config{
		Slots:              c.Int("slots"),
		Connections:        c.Int("connections"),
		ControlConnections: c.Int("control-connections"),
		ConnectDelay:       c.Duration("connect-delay"),
		ReplayLag:          c.Duration("lag"),
		Auth:               dbserver.Auth(c.String("auth")),
		User:               c.String("user"),
		Password:           c.String("password"),
		Log:                zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger(),
	}
	if path := c.String("schema"); path != "" {
		text, err := os.ReadFile(path)
		if err != nil {
			return cfg, program.UsageError(eris.Wrap(err, "schema"))
		}
		cfg.Schema = string(text)
	}
	return cfg, nil
}

// parseServer parses id@address. Empty text yields the zero value.
func parseServer(text string) (cluster.Server, error) {
	if text == "" {
		return cluster.Server{}, nil
	}
	id, address, ok := strings.Cut(text, "@")
	if !ok || id == "" || address == "" {
		return cluster.Server{}, program.UsageError(eris.Errorf("%q: want id@address", text))
	}
	return cluster.Server{ID: cluster.ServerID(id), Address: address}, nil
}

// drainTimeout bounds how long a stand-in that stops waits for running
// statements.
const drainTimeout = 2 * time.Second

// runServer serves until ctx ends. It prints a "ready" line once the server
// listens.
func runServer(ctx context.Context, cfg dbserver.Config, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	s, err := dbserver.New(cfg)
	if err != nil {
		_ = l.Close()
		return err
	}
	defer s.Close()
	fmt.Printf("ready backend %s %s\n", cfg.ID, l.Addr())
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.Serve(l) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
		s.Drain(drainTimeout)
		return nil
	}
}
