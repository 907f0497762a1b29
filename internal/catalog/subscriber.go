package catalog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/delay"
)

const (
	// upstreamPollTime is how long another process may hold a question for news:
	// short against the 3 s in which a change has to be in force, because a frozen
	// process is only found out when it ends.
	upstreamPollTime = time.Second
	// upstreamGrace is the time beyond subscribeWait after which a question has
	// failed: several times what a peer in the same failure domain takes.
	upstreamGrace = 400 * time.Millisecond
	// upstreamRetryDelay is the time between two looks at whom to ask, for a process
	// that has nobody to ask or could not reach anybody.
	upstreamRetryDelay = 500 * time.Millisecond
)

// ErrNotFollowing reports that a process does not hear from the store itself.
var ErrNotFollowing = errors.New("the process does not hear from the store")

// Peers asks other processes for their catalog.
type Peers interface {
	// Upstreams returns the addresses of the processes that follow the store for
	// this one, in the order in which to ask them; none if it follows by itself.
	Upstreams() []string
	// AwaitUpdate asks the process at an address for its catalog once that is newer than
	// what the tracker holds, for up to wait. It returns nil if it is not.
	AwaitUpdate(ctx context.Context, address string, wait time.Duration) ([]byte, error)
}

// Subscriber keeps a Tracker up to date from processes that follow the store, so
// that the calls of the store do not grow with the number of processes. While
// none of them answers, this process follows the store itself.
type Subscriber struct {
	tracker *Tracker
	peers   Peers
	log     *zerolog.Logger

	mu sync.Mutex
	// ended is closed when the delegation ends; nil while there is none.
	ended chan struct{}
}

// NewSubscriber returns a Subscriber.
func NewSubscriber(tracker *Tracker, peers Peers, log *zerolog.Logger) *Subscriber {
	return &Subscriber{tracker: tracker, peers: peers, log: log}
}

// Ended implements Delegation.
func (s *Subscriber) Ended() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// Run asks for news until ctx ends.
func (s *Subscriber) Run(ctx context.Context) error {
	defer s.setUpstream("")
	for ctx.Err() == nil {
		upstream := s.pollUpstreams(ctx)
		if ctx.Err() != nil {
			break
		}
		s.setUpstream(upstream)
		if upstream == "" {
			delay.Sleep(ctx, upstreamRetryDelay)
		}
	}
	return nil
}

// pollUpstreams puts one question to the first process that answers and returns its
// address; empty if none does or there is none to ask.
func (s *Subscriber) pollUpstreams(ctx context.Context) string {
	for _, address := range s.peers.Upstreams() {
		err := s.pollUpstream(ctx, address)
		if err == nil {
			return address
		}
		if ctx.Err() == nil {
			eventUpstreamFailed.Log(s.log).Str("peer", address).Err(err).Send()
		}
	}
	return ""
}

func (s *Subscriber) pollUpstream(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, upstreamPollTime+upstreamGrace)
	defer cancel()
	data, err := s.peers.AwaitUpdate(ctx, address, upstreamPollTime)
	if err != nil || len(data) == 0 {
		return err
	}
	return s.tracker.Import(data)
}

// setUpstream notes by whom the store is followed for this process.
func (s *Subscriber) setUpstream(upstream string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if (upstream != "") == (s.ended != nil) {
		return
	}
	if upstream != "" {
		s.ended = make(chan struct{})
		eventStoreDelegated.Log(s.log).Str("peer", upstream).Send()
		return
	}
	close(s.ended)
	s.ended = nil
	eventDelegationEnded.Log(s.log).Send()
}
