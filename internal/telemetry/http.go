package telemetry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
)

const (
	shutdownTimeout = 2 * time.Second
	// readTimeout bounds the time in which a request must arrive, and idleTimeout that
	// between two requests.
	readTimeout = 5 * time.Second
	idleTimeout = time.Minute
	// writeTimeout is longer than the profiles that are taken, which last 30 s by default.
	writeTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the memory of a request. The server itself adds 4 KiB.
	maxHeaderBytes = 8 << 10
)

// MetricsHandler returns a handler that serves /metrics in the Prometheus text format
// and the profiles of net/http/pprof.
func MetricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	return mux
}

// ServeHTTP serves handler on a listener until ctx ends. It returns without
// waiting for running requests.
func ServeHTTP(ctx context.Context, l net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler: handler, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	})
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serve http on %s", l.Addr())
	}
	return nil
}
