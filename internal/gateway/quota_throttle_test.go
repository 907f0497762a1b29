package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

// quotaHome refuses operations of the organisation "full" and advises a wait.
type quotaHome struct {
	advised time.Duration
	calls   int
}

func (h *quotaHome) Run(_ context.Context, r *statement.Request, _ statement.Conversation) (statement.Result, error) {
	h.calls++
	if r.Organisation != "full" || h.advised == 0 {
		return statement.Result{}, nil
	}
	err := errcode.New(errcode.QuotaExceeded, "quota", "full")
	err.RetryAfter = h.advised
	return statement.Result{}, err
}

// TestQuotaRefusalIsRepeatedAtTheEntry guards against a flood that reaches the homes, and
// against refusals of others than the organisation at the home that refused.
func TestQuotaRefusalIsRepeatedAtTheEntry(t *testing.T) {
	for _, tt := range []struct {
		name         string
		wait         time.Duration
		organisation string
		home         cluster.ProxyID
		hops         int
		asked        bool
	}{
		{name: "at once", organisation: "full"},
		{name: "before a trial", organisation: "full", wait: quotaTrialInterval - time.Millisecond},
		{name: "trial", organisation: "full", wait: quotaTrialInterval, asked: true},
		{name: "after the share of the advised time", organisation: "full", wait: maxQuotaThrottleTime, asked: true},
		{name: "another organisation", organisation: "other", asked: true},
		{name: "no organisation", asked: true},
		{name: "another home", organisation: "full", home: "p3", asked: true},
		{name: "forwarded by another proxy", organisation: "full", hops: 1, asked: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				home := &quotaHome{advised: 4 * time.Second}
				locator := &fakeLocator{home: "p2", runners: map[cluster.ProxyID]statement.Runner{"p2": home, "p3": home}}
				g := New(Config{Self: "p1", HomeLocator: locator})
				ask := func(organisation string, hops int) error {
					r := readRequest(cluster.RankNormal, time.Second)
					r.Organisation, r.Hops = organisation, hops
					_, err := g.Run(t.Context(), &r, noConversation{})
					return err
				}
				_ = ask("full", 0)
				time.Sleep(tt.wait)
				if tt.home != "" {
					locator.home = tt.home
				}
				err := ask(tt.organisation, tt.hops)
				if asked := home.calls == 2; asked != tt.asked {
					t.Errorf("home asked: %v", asked)
				}
				if refused := errcode.Is(err, errcode.QuotaExceeded); refused != (tt.organisation == "full") {
					t.Errorf("error %v", err)
				}
				if after := errcode.From(err).RetryAfter; !tt.asked && after != home.advised-tt.wait {
					t.Errorf("advised wait %v", after)
				}
			})
		})
	}
}

// TestAdmittedTrialEndsQuotaThrottling guards against an organisation that is refused at
// the entry although the home has credits again.
func TestAdmittedTrialEndsQuotaThrottling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		throttle := newQuotaThrottle()
		refusal := errcode.New(errcode.QuotaExceeded, "quota", "o")
		refusal.RetryAfter = 4 * time.Second
		throttle.record("o", "p2", false, refusal)
		throttle.record("o", "p2", false, nil) // sent before the refusal
		if _, err := throttle.check("o", "p2"); err == nil {
			t.Error("an operation that was no trial ended the refusals")
		}
		time.Sleep(quotaTrialInterval)
		trial, err := throttle.check("o", "p2")
		if !trial || err != nil {
			t.Fatalf("trial %v, error %v", trial, err)
		}
		throttle.record("o", "p2", trial, nil)
		if _, err := throttle.check("o", "p2"); err != nil {
			t.Errorf("refused after an admitted trial: %v", err)
		}
		throttle.record("o", "p2", false, refusal)
		time.Sleep(maxQuotaThrottleTime)
		for range 2 {
			if trial, err := throttle.check("o", "p2"); trial || err != nil {
				t.Errorf("after the time of the refusal: trial %v, error %v", trial, err)
			}
		}
		for i := range 2 * maxQuotaEntries {
			throttle.record("o", cluster.ProxyID(time.Duration(i).String()), false, refusal)
			time.Sleep(time.Millisecond)
		}
		if n := len(throttle.entries); n > maxQuotaEntries+1 {
			t.Errorf("%d entries are kept", n)
		}
	})
}
