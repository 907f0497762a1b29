// Package event declares the numbered log events. Each package declares its events
// with New at initialization; docs/EVENTS.md is generated from them.
package event

import (
	"fmt"
	"slices"

	"github.com/rs/zerolog"
)

// Event is one kind of log line.
type Event struct {
	// Number is unique. Each package uses its own range of one hundred numbers.
	Number int
	Name   string
	Level  zerolog.Level
	// Meaning describes to an operator, in one sentence, what happened and what to do.
	Meaning string
}

var declared = map[int]Event{}

// New declares an event. It panics when the number is already used, which is a
// programming error.
func New(number int, level zerolog.Level, name, meaning string) Event {
	if old, ok := declared[number]; ok {
		panic(fmt.Sprintf("event %d declared twice: %s and %s", number, old.Name, name))
	}
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	declared[number] = e
	return e
}

// Log starts a log line of the event. The caller adds fields and calls Send.
func (e Event) Log(l *zerolog.Logger) *zerolog.Event {
	return l.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}

// All returns the declared events, sorted by number.
func All() []Event {
	events := make([]Event, 0, len(declared))
	for _, e := range declared {
		events = append(events, e)
	}
	slices.SortFunc(events, func(a, b Event) int { return a.Number - b.Number })
	return events
}
