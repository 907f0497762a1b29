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
	// dialers is the number of caller connections opened at once.
	dialers = 50
	// settleTime is the wait after opening connections before memory is read.
	settleTime = 3 * time.Second
	// controlUser is the user and database of calls that switch faults.
	controlUser = "load"
	// directOptions let a connection past the claim of a home at a stand-in.
	directOptions = " options='-c rattancove.control=1'"
)

// Idle opens idle caller connections to one proxy in two steps and prints the
// memory that each connection of the second step cost.
func Idle(ctx context.Context, out io.Writer, config Config, group string, small, large int) error {
	c := newCallers(config.Proxies, config.User, config.Password)
	defer c.close()
	key := callerKey{0, group, ""}
	if err := c.open(ctx, key, small); err != nil {
		return err
	}
	before, err := memoryOf(ctx, config.Metrics)
	if err != nil {
		return err
	}
	if err := c.open(ctx, key, large-small); err != nil {
		return err
	}
	after, err := memoryOf(ctx, config.Metrics)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "callers %d: %.1f MB; callers %d: %.1f MB; bytes per idle caller: %.0f\n",
		small, before/1e6, large, after/1e6, (after-before)/float64(large-small))
	return err
}

// open adds idle connections to the store of connections.
func (c *callers) open(ctx context.Context, key callerKey, n int) error {
	slots := make(chan struct{}, dialers)
	results := make(chan error, n)
	for range n {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			conn, err := c.dial(ctx, key)
			if err == nil {
				c.put(key, conn)
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

func memoryOf(ctx context.Context, urls []string) (float64, error) {
	m := scrape(ctx, urls)
	if m[metricMemory] == 0 {
		return 0, eris.New("no memory metric at the metrics URLs")
	}
	return m[metricMemory], nil
}

// Latency runs the same statement by turns through a proxy and directly at a
// backend server, and prints the quantiles of both.
func Latency(ctx context.Context, out io.Writer, config Config, group, sql, direct string, n int) error {
	through := newCallers(config.Proxies, config.User, config.Password)
	defer through.close()
	server, err := pgconn.Connect(ctx, connString(direct, config.User, config.Password, group)+directOptions)
	if err != nil {
		return eris.Wrapf(err, "connect to backend server %s", direct)
	}
	defer func() { _ = server.Close(context.WithoutCancel(ctx)) }()
	proxied := hdrhistogram.New(1, maxLatencyMicros, significantFigures)
	plain := hdrhistogram.New(1, maxLatencyMicros, significantFigures)
	for range n {
		if err := timed(plain, func() error {
			_, err := server.Exec(ctx, sql).ReadAll()
			return err
		}); err != nil {
			return err
		}
		if err := timed(proxied, func() error {
			_, err := through.exec(ctx, callerKey{0, group, ""}, sql)
			return err
		}); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(out, "direct p50 %s p99 %s; proxied p50 %s p99 %s; added p50 %s p99 %s (n=%d)\n",
		micros(plain.ValueAtQuantile(50)), micros(plain.ValueAtQuantile(99)),
		micros(proxied.ValueAtQuantile(50)), micros(proxied.ValueAtQuantile(99)),
		micros(proxied.ValueAtQuantile(50)-plain.ValueAtQuantile(50)),
		micros(proxied.ValueAtQuantile(99)-plain.ValueAtQuantile(99)), n)
	return err
}

func timed(h *hdrhistogram.Histogram, f func() error) error {
	start := time.Now()
	err := f()
	_ = h.RecordValue(max(time.Since(start).Microseconds(), 1))
	return err
}

// Rates prints processor time and the given metrics per second and process
// over a stretch of time.
func Rates(ctx context.Context, out io.Writer, urls, names []string, length time.Duration) error {
	before := scrape(ctx, urls)
	if err := sleepUntil(ctx, time.Now().Add(length)); err != nil {
		return err
	}
	after := scrape(ctx, urls)
	per := length.Seconds() * float64(len(urls))
	if _, err := fmt.Fprintf(out, "processes %d: cpu %.3f%% of a core, memory %.1f MB", len(urls),
		100*(after[metricCPU]-before[metricCPU])/per, after[metricMemory]/1e6/float64(len(urls))); err != nil {
		return err
	}
	for _, name := range names {
		if _, err := fmt.Fprintf(out, ", %s %.2f/s", name, (after[name]-before[name])/per); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(out)
	return err
}
