package catalog

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// A panic while one change is read must not end the process or the feed.
func TestPanicInOneReadDoesNotEndTheFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := zerolog.New(&out)
		source := &scriptedSource{script: []func() (Update, error){
			func() (Update, error) { panic("odd entry") },
			func() (Update, error) {
				return Update{Configuration: configuration(7), Coverage: coverageUpTo(30)}, nil
			},
		}}
		tracker := newTracker()
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		work.Go(func() { _ = NewFollower(source, tracker, nil, &log).Run(ctx, TopicConfiguration) })
		time.Sleep(2 * time.Second)
		cancel()
		work.Wait()
		if version, _ := tracker.Versions(); version != 7 || strings.Count(out.String(), "catalog_read_panicked") != 1 {
			t.Errorf("version %d, want 7 and one line of the panic:\n%s", version, out.String())
		}
	})
}
