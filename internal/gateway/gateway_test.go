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

type fakeRunner struct {
	name  string
	calls *[]string
	// errs are returned in order; nil, or no further element, means success.
	errs    []error
	answers bool
}

func (f *fakeRunner) Run(ctx context.Context, _ *statement.Request, c statement.Conversation) (statement.Result, error) {
	*f.calls = append(*f.calls, f.name)
	if f.answers {
		_ = c.SendResponse(ctx, []byte("x"))
	}
	if len(f.errs) == 0 {
		return statement.Result{Home: cluster.ProxyID(f.name)}, nil
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	if err == nil {
		return statement.Result{Home: cluster.ProxyID(f.name)}, nil
	}
	return statement.Result{}, err
}

// stubLocator is a HomeLocator whose only relay is p3.
type stubLocator struct {
	home    cluster.ProxyID
	runners map[cluster.ProxyID]*fakeRunner
}

func (d *stubLocator) HomeOf(cluster.GroupName) cluster.ProxyID { return d.home }
func (d *stubLocator) Relay(...cluster.ProxyID) cluster.ProxyID { return "p3" }
func (d *stubLocator) Runner(id cluster.ProxyID) statement.Runner {
	return d.runners[id]
}

type noConversation struct{}

func (noConversation) Next(context.Context) (*statement.Batch, error) { return nil, nil }
func (noConversation) SendResponse(context.Context, []byte) error     { return nil }

func TestRunSelectsRouteAndRetriesOnlySafely(t *testing.T) {
	superseded := errcode.New(errcode.Superseded, "run", "p3")
	unreachable := errcode.New(errcode.NoHome, "dial peer", "p2")
	unknown := errcode.New(errcode.Unknown, "run at home", "p2")
	overloaded := errcode.New(errcode.Overloaded, "queue", "g")
	tests := []struct {
		name    string
		home    cluster.ProxyID
		hops    int
		orderID string
		errs    []error
		answer  bool
		want    []string
		code    *errcode.Code
	}{
		{name: "local home", home: "p1", want: []string{"p1"}},
		{name: "remote home", home: "p2", want: []string{"p2"}},
		{name: "redirect", home: "p2", errs: []error{superseded}, want: []string{"p2", "p3"}},
		{name: "relay when the direct path fails, then direct again", home: "p2", errs: []error{unreachable}, want: []string{"p2", "p3"}},
		{name: "overload is not retried", home: "p2", errs: []error{overloaded}, want: []string{"p2"}, code: &errcode.Overloaded},
		{name: "unknown without an order id is not retried", home: "p2", errs: []error{unknown}, want: []string{"p2"}, code: &errcode.Unknown},
		{name: "unknown with an order id is retried", home: "p2", orderID: "o", errs: []error{unknown}, want: []string{"p2", "p2"}},
		{name: "a refusal after an unknown outcome is reported as unknown", home: "p2", orderID: "o", errs: []error{unknown, overloaded}, want: []string{"p2", "p2"}, code: &errcode.Unknown},
		{name: "no retry after an answer to the caller", home: "p2", errs: []error{unreachable}, answer: true, want: []string{"p2"}, code: &errcode.NoHome},
		{name: "a forwarded request is not retried", home: "p2", hops: 1, errs: []error{unreachable}, want: []string{"p2"}, code: &errcode.NoHome},
		{name: "hops are limited", home: "p2", hops: maxHops, want: nil, code: &errcode.Superseded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var calls []string
				runners := map[cluster.ProxyID]*fakeRunner{}
				for _, id := range []cluster.ProxyID{"p1", "p2", "p3"} {
					runners[id] = &fakeRunner{name: string(id), calls: &calls}
				}
				if target := runners[test.home]; target != nil {
					target.errs, target.answers = test.errs, test.answer
				}
				g := New(Config{Self: "p1", Local: runners["p1"], HomeLocator: &stubLocator{home: test.home, runners: runners}})
				_, err := g.Run(t.Context(), &statement.Request{Group: "g", OrderID: test.orderID, Hops: test.hops, Timeout: 100 * time.Millisecond}, noConversation{})
				if test.code == nil && err != nil || test.code != nil && !errcode.Is(err, *test.code) {
					t.Fatalf("error %v", err)
				}
				if len(calls) < len(test.want) {
					t.Fatalf("calls %v, want %v", calls, test.want)
				}
				for i, want := range test.want {
					if calls[i] != want {
						t.Fatalf("calls %v, want %v", calls, test.want)
					}
				}
			})
		})
	}
}

func TestRunRefusesImmediatelyAtHopLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Config{Self: "p1", HomeLocator: &stubLocator{home: "p2"}})
		start := time.Now()
		_, err := g.Run(t.Context(), &statement.Request{Group: "g", Hops: maxHops, Timeout: time.Minute}, noConversation{})
		if !errcode.Is(err, errcode.Superseded) {
			t.Errorf("error %v", err)
		}
		if took := time.Since(start); took != 0 {
			t.Errorf("refused after %s", took)
		}
	})
}
