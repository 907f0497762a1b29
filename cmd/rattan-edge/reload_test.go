package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
)

// logBuffer collects the log of a process.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns the log.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

// TestChangedSettingsAreReloadedWithoutASignal changes the settings file of a running
// process, and then makes it invalid.
func TestChangedSettingsAreReloadedWithoutASignal(t *testing.T) {
	logs := &logBuffer{}
	d := &deployment{t: t, storeURL: "127.0.0.1:1", cloudURL: "127.0.0.1:1", log: zerolog.New(logs)}
	d.start(0, addresses(t, 1))
	data, err := os.ReadFile(d.settingsPaths[0])
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(data), "bounds.grace_s=6", "bounds.grace_s=11", 1)
	if err := os.WriteFile(d.settingsPaths[0], []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	d.eventually("the changed stop time", func() error {
		if !logs.contains(`"applied":["stop_time"]`) {
			return errors.New("not logged")
		}
		return nil
	})
	if err := os.WriteFile(d.settingsPaths[0], []byte("node="), 0o600); err != nil {
		t.Fatal(err)
	}
	d.eventually("the broken settings", func() error {
		if !logs.contains("settings_unreadable") {
			return errors.New("not logged")
		}
		return nil
	})
}

// TestHangupDuringAStopDoesNotEndIt checks that SIGHUP reloads the settings of a
// draining process instead of terminating it.
func TestHangupDuringAStopDoesNotEndIt(t *testing.T) {
	logs := &logBuffer{}
	d := &deployment{t: t, storeURL: "127.0.0.1:1", cloudURL: "127.0.0.1:1", log: zerolog.New(logs)}
	d.start(0, addresses(t, 1))
	logged := func(name string) func() error {
		return func() error {
			if !logs.contains(name) {
				return fmt.Errorf("%s is not logged", name)
			}
			return nil
		}
	}
	d.eventually("the start", logged("edge_started"))
	signal.Notify(hangups, syscall.SIGHUP) // as main does
	d.stop()
	d.eventually("the drain", logged("edge_draining"))
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	d.eventually("the settings read in the drain", logged("settings_reloaded"))
	d.eventually("the end", logged("edge_stopped"))
}
