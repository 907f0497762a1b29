package integration

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
)

// oddData holds data with the bytes that separate messages and fields.
var oddData = []string{
	"a\nb", "a\n", "\na", "a\rb", "a\r", "a\n\r", "a\x00b", " a", "a  b  ", "a\nQUIT", "a\nQUERY - DISCARD", "a\nREADY I 9.9",
	"a\nCOMPLETE x.1.1.0123456789abcdef", "a\nCOMPLETE x.1.1.0123456789abcdef\nREADY I 9.9\n", "a\nERROR BUSY x\nREADY I 9.9\nb",
}

// oddRows returns up to two rows of oddData.
func oddRows(number int) []string {
	first := number % len(oddData)
	return slices.Clone(oddData[first:min(first+number%3, len(oddData))])
}

// startIncident starts rattan-edge processes and waits until they serve.
func startIncident(t *testing.T, processes int) *soak {
	program := filepath.Join(t.TempDir(), "rattan-edge")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/rattan-edge").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	s := newSoak(t, 0, program, processes, false)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, e := range s.edges {
		go e.pollReadiness(ctx.Done())
	}
	s.awaitService("at the start")
	if len(s.history.violations) > 0 {
		t.Fatal(s.history.violations)
	}
	return s
}

// forEachEdge runs a test on a new session with each process.
func (s *soak) forEachEdge(t *testing.T, name string, test func(t *testing.T, c *lineCaller, id string)) {
	for _, e := range s.edges {
		id := name + "." + e.name
		t.Run(id, func(t *testing.T) {
			c, err := connectCaller(e.callers, s.groups[0].Name+"-orders", "u", s.exchanges)
			if err != nil {
				t.Fatal(err)
			}
			defer c.conn.Close()
			test(t, c, id)
		})
	}
}

// A statement with a line feed was cut there, and what followed was run as another one.
func TestStatementCutAtLineFeed(t *testing.T) {
	s := startIncident(t, 2)
	for i, data := range append(oddData, "a\nQUERY f38774771b9b5a51 WRITE stolen b") {
		s.forEachEdge(t, fmt.Sprintf("text-%d", i), func(t *testing.T, c *lineCaller, id string) {
			a, err := c.query(id, "WRITE odd "+data)
			if err != nil || a.signature == "" {
				t.Fatalf("WRITE odd %q: %+v %v", data, a, err)
			}
		})
	}
	s.checkExchanges()
	s.report()
}

// A row with a line feed was cut there, and what followed was taken for another message.
func TestRowCutAtLineFeed(t *testing.T) {
	s := startIncident(t, 2)
	for i, data := range oddData {
		item := fmt.Sprintf("odd%d", i)
		s.groups[0].Insert(item, data)
		s.forEachEdge(t, fmt.Sprintf("row-%d", i), func(t *testing.T, c *lineCaller, id string) {
			for n := range 2 {
				a, err := c.query(fmt.Sprintf("%s.%d", id, n), "READ "+item)
				if err != nil || !slices.Equal(a.rows[max(len(a.rows)-1, 0):], []string{data}) {
					t.Fatalf("read %+v %v, want %q", a, err, data)
				}
			}
		})
	}
	s.checkExchanges()
	s.report()
}
