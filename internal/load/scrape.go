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

// scrape sums the metrics of several processes by name, with and without
// labels. A process that does not answer is left out.
func scrape(ctx context.Context, urls []string) map[string]float64 {
	sums := map[string]float64{}
	for _, metrics := range scrapeEach(ctx, urls) {
		for name, value := range metrics {
			sums[name] += value
		}
	}
	return sums
}

// scrapeEach reads the metrics of several processes at once. A process that
// does not answer has none.
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

// metricsDelta returns what rose between two scrapes. A process that answered
// only one of them is left out: it died, or it began to count anew.
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
