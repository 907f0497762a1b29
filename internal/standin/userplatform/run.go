package userplatform

import (
	"fmt"
	"hash/fnv"
	"maps"
	"time"
)

// Run is a statement of a caller that a server has received, without the prefix that
// names a position.
type Run struct {
	ID, Text, Server string
	// Organisation is the user of the connection's start-up message.
	Organisation string
	// Connection and Number count the connections and the runs of a group.
	Connection, Number int
	// Definition is the prepared statement that an EXECUTE has run.
	Definition string
	// StartedAt and EndedAt are when the server began to run the statement and when it
	// had run it; EndedAt is zero before.
	StartedAt, EndedAt time.Time
	// Signature and Rows are those of the answer; Code is set instead for an error.
	Signature, Code string
	Rows            []string
	// Writes holds the data that the statement has committed.
	Writes []string
}

// signature returns the text that only this run bears.
func (r *Run) signature() string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s %s", r.ID, r.Text)
	return fmt.Sprintf("%s.%d.%x.%016x", r.Server, r.Connection, r.Number, h.Sum64())
}

// Runs returns the runs of all servers in the order of their start.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	runs := make([]Run, 0, len(g.runs))
	for _, r := range g.runs {
		runs = append(runs, *r)
	}
	return runs
}

// recordStartup records the user of a start-up message.
func (g *Group) recordStartup(organisation string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startups[organisation]++
}

// Startups returns the number of connections that were opened for each organisation.
func (g *Group) Startups() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.startups)
}

// RunOf returns the last run of the statement with an id. The second result is false if
// no server has begun to run it.
func (g *Group) RunOf(id string) (Run, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := len(g.runs) - 1; i >= 0; i-- {
		if g.runs[i].ID == id {
			return *g.runs[i], true
		}
	}
	return Run{}, false
}

// SetWorkTime sets how long each read, write and commit takes.
func (g *Group) SetWorkTime(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.workTime = d
}

// SetExtraRows sets the rows that reads return ahead of the item's own, by the number of
// the run.
func (g *Group) SetExtraRows(rows func(number int) []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.extraRows = rows
}

// startRun records the start of a statement, and waits for the time that it takes if it
// is one that takes any. definition is that of the prepared statement, if it runs one.
func (c *session) startRun(id, text, definition string, takesTime bool) *Run {
	g := c.server.group
	g.mu.Lock()
	r := &Run{ID: id, Text: text, Definition: definition, Server: c.server.ID, Organisation: c.organisation, Connection: c.number, Number: len(g.runs) + 1, StartedAt: time.Now()}
	g.runs = append(g.runs, r)
	workTime := g.workTime
	g.mu.Unlock()
	if takesTime {
		time.Sleep(workTime)
	}
	return r
}

// endRun records the end of a statement.
func (c *session) endRun(r *Run, a answer) {
	g := c.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	r.EndedAt, r.Signature, r.Code, r.Rows = time.Now(), a.signature, a.code, a.rows
}
