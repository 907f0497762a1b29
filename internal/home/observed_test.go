package home

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/statement"
)

// TestReadsReportAllThatTheySaw checks that the position that a read reports covers
// the value that it returned, so that the later reads of a session are monotonic.
func TestReadsReportAllThatTheySaw(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		h := b.home("p1")
		for n := 1; n <= 60; n++ { // the value equals the offset of its record
			b.mustWrite(h, "", fmt.Sprint("put k ", n))
			time.Sleep(time.Duration(n) * time.Millisecond / 2)
			for range 4 {
				r := b.request(statement.ClassRead, "get k")
				r.FloorExact = true
				text, result, err := run(h, r)
				if err != nil {
					t.Fatal(err)
				}
				if seen, _ := strconv.ParseUint(text, 10, 64); result.Observed.Offset < seen {
					t.Fatalf("read %d but reported position %v at %s", seen, result.Observed, result.Server)
				}
			}
		}
	})
}
