package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/standin/dbserver"
	"github.com/rattancove/rattancove/internal/standin/platform"
)

// Limits of the table service stand-in.
const (
	tableSlots       = 8
	tableConnections = 500
)

const headerTimeout = 5 * time.Second

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the table service, the object store and the VM list",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "table", Value: "127.0.0.1:7500", Usage: "address of the table service"},
			&cli.StringFlag{Name: "objects", Value: "127.0.0.1:7501", Usage: "address of the object store"},
			&cli.StringFlag{Name: "bucket", Value: "rattancove", Usage: "bucket that exists at startup"},
			&cli.StringFlag{Name: "vms", Value: "127.0.0.1:7502", Usage: "address of the VM list"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			g, ctx := errgroup.WithContext(ctx)
			g.Go(func() error {
				return runServer(ctx, dbserver.Config{
					ID: cluster.ServerID("table"), Primary: true, Slots: tableSlots, Connections: tableConnections,
					Log: zerolog.New(os.Stderr).With().Timestamp().Logger(),
				}, c.String("table"))
			})
			g.Go(func() error {
				return runHTTP(ctx, "objects", c.String("objects"), platform.NewObjectStore(c.String("bucket")).Handler())
			})
			g.Go(func() error { return runHTTP(ctx, "vms", c.String("vms"), platform.NewVMList().Handler()) })
			return g.Wait()
		},
	}
}

// runHTTP serves until ctx ends. It prints a "ready" line once the service
// listens.
func runHTTP(ctx context.Context, name, address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	})
	defer stop()
	fmt.Printf("ready %s %s\n", name, l.Addr())
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, name)
	}
	return nil
}
