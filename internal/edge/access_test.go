package edge

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/catalog"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
)

const testRevocation = 5 * time.Second

var testKey = catalog.DigestKey([]byte("key"))

// keyed returns a configuration in which testKey belongs to an organisation; it is
// withdrawn if that is empty.
func keyed(version uint64, organisation string) *catalog.Configuration {
	c := &catalog.Configuration{Version: version, KeysRequired: true}
	if organisation != "" {
		c.Organisations = []catalog.Organisation{{Name: organisation, Keys: []catalog.KeyDigest{testKey}}}
	}
	return c
}

// newAccess returns an access whose clock is the time since start.
func newAccess(start time.Time) *access {
	log := zerolog.Nop()
	return &access{
		tracker: catalog.NewTracker(&log), clock: func() time.Duration { return time.Since(start) },
		revocation: func() time.Duration { return testRevocation }, log: &log,
	}
}

// decide returns the organisation, or the code of the refusal.
func (a *access) decide(public bool) string {
	organisation, refusal := a.authorize(testKey, catalog.Route{Public: public})
	if refusal != nil {
		return refusal.Code.Name
	}
	return "for " + organisation
}

// TestKeysNeedARecentConfirmation guards against a process that serves withdrawn keys since
// it has just started, was frozen, or has heard of nothing, and against one that then calls
// a valid key unknown or refuses public routes.
func TestKeysNeedARecentConfirmation(t *testing.T) {
	now, revocation := time.Hour, testRevocation
	a := newAccess(time.Now())
	a.clock, a.revocation = func() time.Duration { return now }, func() time.Duration { return revocation }
	for _, step := range []struct {
		name            string
		change          func()
		private, public string
	}{
		{"no keys required", func() { a.tracker.SetConfiguration(&catalog.Configuration{Version: 1}, catalog.OriginStore) }, "for ", "for "},
		{"never confirmed", func() { a.tracker.SetConfiguration(keyed(2, "red"), catalog.OriginStore) }, "old_document", "for "},
		{"confirmed", func() { a.tracker.Confirm(2, now) }, "for red", "for red"},
		{"at the bound", func() { now += 4500 * time.Millisecond }, "for red", "for red"},
		{"just frozen for too long", func() { now++ }, "old_document", "for "},
		{"newer version, not confirmed", func() { a.tracker.SetConfiguration(keyed(3, ""), catalog.OriginPeer) }, "old_document", "for "},
		{"confirmed again", func() { a.tracker.Confirm(3, now) }, "denied", "for "},
		{"not strict", func() { revocation, now = 0, now+time.Hour }, "denied", "for "},
		{"given back to another organisation", func() { a.tracker.SetConfiguration(keyed(4, "blue"), catalog.OriginPeer) }, "for blue", "for blue"},
		{"withdrawn and confirmed after a freeze in the check", func() {
			revocation, a.clock = testRevocation, func() time.Duration {
				a.tracker.SetConfiguration(keyed(5, ""), catalog.OriginPeer)
				a.tracker.Confirm(5, now)
				return now
			}
		}, "denied", "for "},
	} {
		step.change()
		if strict := revocation > 0 && a.tracker.KeysRequired(); a.strict() != strict {
			t.Errorf("%s: polls are short: %v", step.name, !strict)
		}
		if private, public := a.decide(false), a.decide(true); private != step.private || public != step.public {
			t.Errorf("%s: %q and %q on a public route, want %q and %q", step.name, private, public, step.private, step.public)
		}
	}
}

// cutStore is a store that can be cut off.
type cutStore struct {
	mu            sync.Mutex
	configuration *catalog.Configuration
	cut           bool
}

func (s *cutStore) read() (catalog.Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut {
		return catalog.Update{}, errors.New("unreachable")
	}
	return catalog.Update{Configuration: s.configuration, Coverage: catalog.Coverage{Complete: s.configuration.Version}}, nil
}

func (s *cutStore) Load(context.Context, catalog.Topic) (catalog.Update, error) { return s.read() }

func (s *cutStore) Changes(_ context.Context, _ catalog.Topic, _ uint64, wait time.Duration) (catalog.Update, error) {
	time.Sleep(wait)
	return s.read()
}

// TestProcessThatIsCutOffStopsInTime withdraws a key just after a process has lost the
// store, at different moments of its polls. Later than the revocation time after that, the
// process must not serve the key; it must not refuse public routes, nor the key right away.
func TestProcessThatIsCutOffStopsInTime(t *testing.T) {
	for cutAt := 3 * time.Second; cutAt < 4500*time.Millisecond; cutAt += 130 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			a, log := newAccess(time.Now()), zerolog.Nop()
			store := &cutStore{configuration: keyed(1, "red")}
			follower := catalog.NewFollower(store, a.tracker, nil, &log)
			follower.ConfirmBy(a.clock, a.strict)
			ctx, cancel := context.WithCancel(t.Context())
			var work sync.WaitGroup
			work.Go(func() { _ = follower.Run(ctx, catalog.TopicConfiguration) })
			time.Sleep(cutAt)
			store.mu.Lock()
			store.cut, store.configuration = true, keyed(2, "")
			store.mu.Unlock()
			for a.clock() < cutAt+2*testRevocation {
				time.Sleep(10 * time.Millisecond)
				since := a.clock() - cutAt
				if got := a.decide(false); got == "for red" && since > testRevocation || got != "for red" && since < 2*time.Second {
					t.Errorf("cut at %s: %q after %s", cutAt, got, since)
				}
				if got := a.decide(true); got != "for " && got != "for red" {
					t.Errorf("cut at %s: %q on a public route", cutAt, got)
				}
			}
			store.mu.Lock()
			store.cut = false
			store.mu.Unlock()
			time.Sleep(2 * time.Second)
			if got := a.decide(false); got != "denied" {
				t.Errorf("cut at %s: %q after the store has returned", cutAt, got)
			}
			cancel()
			work.Wait()
		})
	}
}

// TestRepliesConfirmWhatWasTrueWhenTheyWereSent guards against a confirmation that is newer
// than what the peer knew, when a ping or the reply to it is held up, or a poll.
func TestRepliesConfirmWhatWasTrueWhenTheyWereSent(t *testing.T) {
	const heldUp, ageAtPeer = 3 * time.Second, time.Second
	synctest.Test(t, func(t *testing.T) {
		start, ctx := time.Now(), t.Context()
		var other *Edge
		newEdge := func(origin time.Duration) *Edge {
			dial := func(context.Context, string) (net.Conn, error) {
				time.Sleep(heldUp)
				client, server := net.Pipe()
				go func() { _ = other.peerServer.ServeConn(ctx, server) }()
				return client, nil
			}
			e, err := New(Config{ID: "front", RevocationTime: testRevocation}, Adapters{Dial: dial}, zerolog.Nop())
			if err != nil {
				t.Fatal(err)
			}
			e.access.clock = func() time.Duration { return origin + time.Since(start) }
			e.tracker.SetConfiguration(keyed(7, "red"), catalog.OriginStore)
			return e
		}
		ping := func(e *Edge) {
			if _, err := (pinger{e}).Ping(ctx, "peer", member.PingMessage{}); err != nil {
				t.Error(err)
			}
		}
		poll := func(e *Edge) {
			reply, err := catalogPeers{e}.AwaitUpdate(ctx, "peer", time.Second)
			if err != nil || e.tracker.Merge(reply) != nil {
				t.Error(err)
			}
		}
		other = newEdge(500 * time.Hour)
		for _, tt := range []struct {
			name string
			call func(e *Edge)
			// want is the age afterwards; known is not set if the peer has no confirmation.
			want  time.Duration
			known bool
		}{
			{"ping to an unconfirmed peer", ping, 0, false},
			{"ping", ping, heldUp + ageAtPeer + heldUp, true},
			{"poll", poll, heldUp + ageAtPeer + heldUp + time.Second, true},
		} {
			e := newEdge(time.Hour)
			if tt.known {
				other.tracker.Confirm(7, other.access.clock())
				time.Sleep(ageAtPeer)
			}
			tt.call(e)
			if age, known := e.tracker.ConfirmedAge(e.access.clock()); age != tt.want || known != tt.known {
				t.Errorf("%s: age %s, known %v, want %s, %v", tt.name, age, known, tt.want, tt.known)
			}
			e.controlPeers.Close()
		}
		received := newEdge(time.Hour)
		if _, err := received.handlePing(ctx, &peerpb.PingRequest{Documents: other.catalogVersions()}); err != nil {
			t.Fatal(err)
		}
		if _, known := received.tracker.ConfirmedAge(received.access.clock()); known {
			t.Error("a received ping confirms the configuration")
		}
		sent := received.access.clock()
		if c := received.confirmationOf(other.confirmedVersion(other.access.clock()), sent, time.Hour); c.At >= sent {
			t.Errorf("a peer held a poll for longer than it took: %+v", c)
		}
	})
}
