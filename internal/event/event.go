// Package event numbers the log events. Each package declares its events with
// New at start-up; docs/EVENTS.md is generated from the catalogue.
package event

import (
	"fmt"
	"slices"

	"github.com/rs/zerolog"
)

// Event is one kind of log line.
type Event struct {
	// Number is unique. Each package has its own range of one hundred.
	Number int
	Name   string
	Level  zerolog.Level
	// Meaning tells operators what happened and what to do, in one sentence.
	Meaning string
}

var declared = map[int]Event{}

// New declares an event. It panics when the number is taken, which only a
// programming error can cause.
func New(number int, level zerolog.Level, name, meaning string) Event {
	if old, ok := declared[number]; ok {
		panic(fmt.Sprintf("event %d declared twice: %s and %s", number, old.Name, name))
	}
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	declared[number] = e
	return e
}

// Log starts a log line of the event. The caller adds fields and ends it with Send.
func (e Event) Log(l *zerolog.Logger) *zerolog.Event {
	return l.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}

// All returns the declared events by number.
func All() []Event {
	events := make([]Event, 0, len(declared))
	for _, e := range declared {
		events = append(events, e)
	}
	slices.SortFunc(events, func(a, b Event) int { return a.Number - b.Number })
	return events
}
