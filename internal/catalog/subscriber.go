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
	// upstreamPollTime is the time for which an upstream process may hold a long
	// poll open: short compared to the 3 s within which a change must be active,
	// because a frozen process is only detected when the poll times out.
	upstreamPollTime = time.Second
	// upstreamGrace is the time after upstreamPollTime at which a poll times out:
	// several times the latency of a peer in the same failure domain.
	upstreamGrace = 400 * time.Millisecond
	// upstreamRetryDelay is the delay before the next poll of a process that has no
	// upstream process or could not reach any.
	upstreamRetryDelay = 500 * time.Millisecond
)

// ErrNotFollowing reports that a process does not follow the store itself or
// cannot reach it. Its text is sent to peers.
var ErrNotFollowing = errors.New("the process does not hear from the store")

// Peers reads the catalogs of other processes.
type Peers interface {
	// Upstreams returns the addresses of the processes that follow the store for
	// this one, in order of preference; none if it follows the store itself.
	Upstreams() []string
	// AwaitUpdate waits up to wait until the catalog of the process at address is
	// newer than that of the local tracker, and returns it.
	AwaitUpdate(ctx context.Context, address string, wait time.Duration) (PeerCatalog, error)
}

// PeerCatalog is the reply of a process that follows the store.
type PeerCatalog struct {
	// Data is the result of Export; nil if the catalog is not newer.
	Data []byte
	// Confirmation is what the process knows of the age of the configuration, by the
	// local clock; zero if nothing.
	Confirmation Confirmation
}

// Subscriber updates a Tracker from processes that follow the store, so that the
// load on the store does not grow with the number of processes. While none of
// them answers, this process follows the store itself.
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

// Run polls upstream processes until ctx ends.
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

// pollUpstreams polls the upstream processes in turn until one answers and
// returns its address; empty if none answers or there is none.
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
	reply, err := s.peers.AwaitUpdate(ctx, address, upstreamPollTime)
	if err == nil {
		err = s.tracker.Merge(reply)
	}
	return err
}

// setUpstream begins or ends the delegation. upstream is the address of the
// process that follows the store for this one, or empty.
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
