package order

import (
	"errors"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/errcode"
)

func TestOutcomes(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name    string
		events  []Event
		outcome errcode.Outcome
		// retry and retryWithID tell whether a request without and with an id may be retried.
		retry, retryWithID bool
	}{
		{"not sent", []Event{EventFail}, errcode.OutcomeNotRun, true, true},
		{"connection lost after it was sent", []Event{EventSend, EventFail}, errcode.OutcomeUnknown, false, true},
		{"refused by the server", []Event{EventSend, EventRefuse}, errcode.OutcomeNotRun, true, true},
		{"answered but not acknowledged", []Event{EventSend, EventAnswer, EventFail}, errcode.OutcomeUnknown, false, true},
		{"acknowledged", []Event{EventSend, EventAnswer, EventAcknowledge}, errcode.OutcomeDone, false, false},
		{"unknown, then not sent", []Event{EventSend, EventFail, EventRetry, EventFail}, errcode.OutcomeUnknown, true, true},
		{"unknown, then retried", []Event{EventSend, EventFail, EventRetry, EventSend, EventAnswer, EventAcknowledge}, errcode.OutcomeDone, false, false},
	}
	for _, tt := range tests {
		for _, hasID := range []bool{false, true} {
			a := New(hasID, now.Add(time.Second))
			for _, e := range tt.events {
				if err := a.Fire(e); err != nil {
					t.Fatalf("%s: %v", tt.name, err)
				}
			}
			want := tt.retry
			if hasID {
				want = tt.retryWithID
			}
			if a.Outcome() != tt.outcome || a.MayRetry(now) != want {
				t.Errorf("%s, id %v: outcome %v, may retry %v", tt.name, hasID, a.Outcome(), a.MayRetry(now))
			}
			if a.MayRetry(now.Add(time.Second)) {
				t.Errorf("%s: may be retried after its deadline", tt.name)
			}
		}
	}
}

func TestEventThatTheStateForbids(t *testing.T) {
	a := New(true, time.Now())
	if err := a.Fire(EventAcknowledge); err == nil || a.State() != StateWaiting {
		t.Fatalf("state %s, error %v", a.State(), err)
	}
}

func TestNumberOfAttemptsIsBounded(t *testing.T) {
	a := New(true, time.Now().Add(time.Hour))
	n := 1
	for ; a.Fire(EventFail) == nil && a.MayRetry(time.Now()); n++ {
		if err := a.Fire(EventRetry); err != nil {
			t.Fatal(err)
		}
	}
	if n != MaxAttempts {
		t.Fatalf("%d attempts", n)
	}
}

func TestAnEarlierUnknownOutcomeIsNotForgotten(t *testing.T) {
	a := New(true, time.Now().Add(time.Second))
	for _, e := range []Event{EventSend, EventFail, EventRetry, EventFail} {
		if err := a.Fire(e); err != nil {
			t.Fatal(err)
		}
	}
	err := a.Error(errcode.Wrap(errors.New("refused"), errcode.ConnectionLost, "connect", "s1"))
	if !errcode.Is(err, errcode.Unknown) || errcode.From(err).Peer != "s1" {
		t.Fatalf("reported as %v", err)
	}
}
