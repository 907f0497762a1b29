package integration

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

const (
	// preparedReads is the default number of reads in each mode; RATTAN_READS
	// overrides it.
	preparedReads = 48
	// preparedSessions is the number of sessions per table.
	preparedSessions = 12
	// preparedLag is the replay lag of replicas, longer than the time between a
	// session's write and its read.
	preparedLag = 300 * time.Millisecond
)

// TestNewTableIsSeenInEveryMode guards against stale and failed reads of new
// tables. It creates tables, writes rows in named sessions through one proxy and
// reads them through another while replicas lag. In its default mode pgx prepares
// statements in a batch of their own.
func TestNewTableIsSeenInEveryMode(t *testing.T) {
	f := startFleetWithLag(t, 1, false, preparedLag)
	f.eventually("administration API", func() bool { code, _ := f.rattanctl(0, "status"); return code == 0 })
	f.eventually("all members known", func() bool { return len(f.status(0).Members) == proxyCount+wardenCount })
	f.expectRattanctl(0, "in force on every member", "doc", "promote", "--file", f.writeFile("1.yaml", f.documentText(2000)),
		"--to", environment, "--why", "test", "--yes", "--wait")
	f.createTable(0)
	reads := preparedReads
	if n, err := strconv.Atoi(os.Getenv("RATTAN_READS")); err == nil {
		reads = n
	}
	for name, mode := range map[string]pgx.QueryExecMode{
		"cache_statement": pgx.QueryExecModeCacheStatement, "exec": pgx.QueryExecModeExec, "simple": pgx.QueryExecModeSimpleProtocol,
	} {
		t.Run(name, func(t *testing.T) {
			var failed, stale int
			for round := range reads / preparedSessions {
				roundFailed, roundStale := f.withT(t).writeAndReadTable(fmt.Sprintf("t_%s_%d", name, round), mode)
				failed, stale = failed+roundFailed, stale+roundStale
			}
			t.Logf("%d reads, %d failed, %d stale", reads, failed, stale)
			if failed > 0 || stale > 0 {
				t.Errorf("%d of %d reads failed, %d were stale", failed, reads, stale)
			}
		})
	}
}

// writeAndReadTable creates a table that concurrent sessions write to and read
// from, and returns the numbers of failed and of stale reads.
func (f *fleet) writeAndReadTable(table string, mode pgx.QueryExecMode) (failed, stale int) {
	f.t.Helper()
	if err := f.execute(f.t.Context(), 0, 0, "CREATE TABLE "+table+" (id TEXT)"); err != nil {
		f.t.Fatalf("create %s: %v", table, err)
	}
	var mu sync.Mutex
	var sessions sync.WaitGroup
	for i := range preparedSessions {
		sessions.Go(func() {
			seen, err := f.writeThenRead(i, table, mode)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				f.t.Logf("%s: %v", table, err)
			} else if !seen {
				stale++
			}
		})
	}
	sessions.Wait()
	return failed, stale
}

// writeThenRead writes a row in a session through one proxy and reports whether a
// read in the same session through another proxy returns it.
func (f *fleet) writeThenRead(session int, table string, mode pgx.QueryExecMode) (bool, error) {
	ctx, cancel := context.WithTimeout(f.t.Context(), statementTimeout)
	defer cancel()
	hint := fmt.Sprintf("/*rattancove.session='s-%s-%d'*/ ", table, session)
	id := strconv.Itoa(session)
	writer, err := f.connect(ctx, session%proxyCount, 0)
	if err != nil {
		return false, err
	}
	defer writer.Close(ctx)
	if _, err := writer.Exec(ctx, hint+"INSERT INTO "+table+" VALUES ($1)", mode, id); err != nil {
		return false, err
	}
	reader, err := f.connect(ctx, (session+1)%proxyCount, 0)
	if err != nil {
		return false, err
	}
	defer reader.Close(ctx)
	rows, err := reader.Query(ctx, hint+"SELECT id FROM "+table+" WHERE id = $1", mode, id)
	if err != nil {
		return false, err
	}
	found, err := pgx.CollectRows(rows, pgx.RowTo[string])
	return len(found) == 1, err
}
