package main

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/member"
)

// TestHomeIsOnTheLargeVM guards against a capacity in the settings that does not reach the
// placement of the other processes, and against a home that leaves the large VM again.
func TestHomeIsOnTheLargeVM(t *testing.T) {
	var entries []member.Entry
	for i := range 3 {
		m := member.Member{ID: fmt.Sprint("front-", i), Role: member.RoleProxy}
		entries = append(entries, member.Entry{Member: m, State: member.StateAlive, Stable: true})
	}
	byName := member.NewSnapshot(entries).Place([]cluster.GroupName{"orders"})["orders"][0].ID
	large := 0
	for fmt.Sprint("front-", large) == byName {
		large++
	}
	logs, peers := &logBuffer{}, addresses(t, 3)
	d := &deployment{t: t, log: zerolog.New(logs)}
	d.deploy(0, "shop")
	for i := range 3 {
		d.settings = []string{"limits.cpu_share=0.192", "limits.link_mbps=10"}
		if i == large {
			d.settings = []string{"limits.cpu_share=0.8", "limits.link_mbps=200"}
		}
		d.start(i, peers)
	}
	for i := range 3 {
		d.awaitReady(i, true)
	}
	const started = `"group":"orders","weight":64,"weight_known":true,"homes":1,"rank":1,"of_equal_weight":1`
	d.eventually("a home on the large VM", func() error {
		if !strings.Contains(logs.String(), started) {
			return errors.New(logs.String())
		}
		return nil
	})
	d.eventually("first order", func() error { _, err := d.runStatements((large+1)%3, "WRITE crate one"); return err })
	time.Sleep(6 * time.Second) // all members have become stable
	d.mustRead((large+2)%3, "crate", "one")
	if got := strings.Count(logs.String(), started); got != 1 {
		t.Errorf("the home started %d times:\n%s", got, logs.String())
	}
}
