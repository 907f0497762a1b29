package load

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const scrapeTimeout = 2 * time.Second

// scrape returns the metrics of several processes summed by name, both with and
// without labels. Processes that do not respond are omitted.
func scrape(ctx context.Context, urls []string) map[string]float64 {
	sums := map[string]float64{}
	for _, metrics := range scrapeEach(ctx, urls) {
		for name, value := range metrics {
			sums[name] += value
		}
	}
	return sums
}

// scrapeEach scrapes several processes concurrently. The map of a process that
// does not respond is empty.
func scrapeEach(ctx context.Context, urls []string) []map[string]float64 {
	out := make([]map[string]float64, len(urls))
	var wait sync.WaitGroup
	for i, url := range urls {
		out[i] = map[string]float64{}
		wait.Go(func() { scrapeOne(ctx, url, out[i]) })
	}
	wait.Wait()
	return out
}

func scrapeOne(ctx context.Context, url string, metrics map[string]float64) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		name, value, ok := strings.Cut(scanner.Text(), " ")
		wanted := strings.HasPrefix(name, "rattan_") || name == metricCPU || name == metricMemory
		if f, err := strconv.ParseFloat(value, 64); ok && err == nil && wanted {
			metrics[name] += f
			if base, _, labelled := strings.Cut(name, "{"); labelled {
				metrics[base] += f
			}
		}
	}
}

// metricsDelta returns the changes between two scrapes, summed over the
// processes. A process that responded to only one of them is omitted: it ended,
// or it was restarted and its counters started from zero.
func metricsDelta(before, after []map[string]float64) map[string]float64 {
	delta := map[string]float64{}
	for i := range after {
		if len(before[i]) == 0 {
			continue
		}
		for name, value := range after[i] {
			if d := value - before[i][name]; d != 0 {
				delta[name] += d
			}
		}
	}
	return delta
}
