package panics

import (
	"errors"
	"strings"
	"testing"
)

func TestRecover(t *testing.T) {
	failure := errors.New("failure")
	if err := Recover(func() error { return failure }); !errors.Is(err, failure) {
		t.Errorf("error %v, want the error of the work", err)
	}
	var recovered *Error
	err := Recover(func() error { panic("odd message") })
	if !errors.As(err, &recovered) || recovered.Reason != "odd message" || !strings.Contains(string(recovered.Stack), "TestRecover") {
		t.Errorf("error %v, want the panic with its stack", err)
	}
}
