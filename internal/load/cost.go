package load

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"
)

const (
	metricMemory = "process_resident_memory_bytes"
	metricCPU    = "process_cpu_seconds_total"
	// maxConcurrentDials is the number of caller connections opened concurrently.
	maxConcurrentDials = 50
	// settleTime is the wait between opening connections and reading memory.
	settleTime = 3 * time.Second
	// controlUser is the user and database of control connections to stand-ins.
	controlUser = "load"
	// controlOptions request a control connection, which a stand-in accepts even
	// when a home has claimed it.
	controlOptions = " options='-c rattancove.control=1'"
)

// IdleMemory opens idle caller connections to one proxy in two steps and prints
// the memory used per connection of the second step.
func IdleMemory(ctx context.Context, out io.Writer, config Config, group string, small, large int) error {
	pool := newConnPool(config.Proxies, config.User, config.Password)
	defer pool.close()
	key := poolKey{0, group, ""}
	if err := pool.openIdle(ctx, key, small); err != nil {
		return err
	}
	before, err := scrapeMemory(ctx, config.Metrics)
	if err != nil {
		return err
	}
	if err := pool.openIdle(ctx, key, large-small); err != nil {
		return err
	}
	after, err := scrapeMemory(ctx, config.Metrics)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "callers %d: %.1f MB; callers %d: %.1f MB; bytes per idle caller: %.0f\n",
		small, before/1e6, large, after/1e6, (after-before)/float64(large-small))
	return err
}

// openIdle opens n connections and adds them to the pool.
func (p *connPool) openIdle(ctx context.Context, key poolKey, n int) error {
	dials := make(chan struct{}, maxConcurrentDials)
	results := make(chan error, n)
	for range n {
		dials <- struct{}{}
		go func() {
			defer func() { <-dials }()
			conn, err := p.dial(ctx, key)
			if err == nil {
				p.put(key, conn)
			}
			results <- err
		}()
	}
	for range n {
		if err := <-results; err != nil {
			return err
		}
	}
	return sleepUntil(ctx, time.Now().Add(settleTime))
}

func scrapeMemory(ctx context.Context, urls []string) (float64, error) {
	metrics := scrape(ctx, urls)
	if metrics[metricMemory] == 0 {
		return 0, eris.New("the metrics URLs export no process_resident_memory_bytes")
	}
	return metrics[metricMemory], nil
}

// Latency runs the same statement alternately through a proxy and directly on a
// backend server, and prints the quantiles of both.
func Latency(ctx context.Context, out io.Writer, config Config, group, sql, directAddress string, n int) error {
	pool := newConnPool(config.Proxies, config.User, config.Password)
	defer pool.close()
	directConn, err := pgconn.Connect(ctx, connString(directAddress, config.User, config.Password, group)+controlOptions)
	if err != nil {
		return eris.Wrapf(err, "connect to backend server %s", directAddress)
	}
	defer func() { _ = directConn.Close(context.WithoutCancel(ctx)) }()
	proxiedLatency := hdrhistogram.New(1, maxLatencyMicros, significantFigures)
	directLatency := hdrhistogram.New(1, maxLatencyMicros, significantFigures)
	for range n {
		if err := recordTime(directLatency, func() error {
			_, err := directConn.Exec(ctx, sql).ReadAll()
			return err
		}); err != nil {
			return err
		}
		if err := recordTime(proxiedLatency, func() error {
			_, err := pool.exec(ctx, poolKey{0, group, ""}, sql)
			return err
		}); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(out, "direct p50 %s p99 %s; proxied p50 %s p99 %s; added p50 %s p99 %s (n=%d)\n",
		formatMicros(directLatency.ValueAtQuantile(50)), formatMicros(directLatency.ValueAtQuantile(99)),
		formatMicros(proxiedLatency.ValueAtQuantile(50)), formatMicros(proxiedLatency.ValueAtQuantile(99)),
		formatMicros(proxiedLatency.ValueAtQuantile(50)-directLatency.ValueAtQuantile(50)),
		formatMicros(proxiedLatency.ValueAtQuantile(99)-directLatency.ValueAtQuantile(99)), n)
	return err
}

func recordTime(h *hdrhistogram.Histogram, f func() error) error {
	start := time.Now()
	err := f()
	_ = h.RecordValue(max(time.Since(start).Microseconds(), 1))
	return err
}

// Rates samples the processes over the given duration and prints their CPU
// usage, and the given counters per second and process.
func Rates(ctx context.Context, out io.Writer, urls, names []string, duration time.Duration) error {
	before := scrape(ctx, urls)
	if err := sleepUntil(ctx, time.Now().Add(duration)); err != nil {
		return err
	}
	after := scrape(ctx, urls)
	processSeconds := duration.Seconds() * float64(len(urls))
	if _, err := fmt.Fprintf(out, "processes %d: cpu %.3f%% of a core, memory %.1f MB", len(urls),
		100*(after[metricCPU]-before[metricCPU])/processSeconds, after[metricMemory]/1e6/float64(len(urls))); err != nil {
		return err
	}
	for _, name := range names {
		if _, err := fmt.Fprintf(out, ", %s %.2f/s", name, (after[name]-before[name])/processSeconds); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(out)
	return err
}
