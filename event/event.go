// Package event defines the numbered log events. Each area has a range of a hundred
// numbers. docs/EVENTS.md is the catalogue; a test compares it with the code.
package event

import (
	"context"
	"fmt"
	"log/slog"
	"sort"
)

// Event is one kind of log line.
type Event struct {
	ID    int
	Level slog.Level
	// Message is the constant text of the log line.
	Message string
	// Action is what an operator does about the event. Empty means nothing.
	Action string
}

var catalogue = make(map[int]Event)

// define adds an event to the catalogue. It panics if the number is already defined.
func define(id int, level slog.Level, message, action string) Event {
	if _, ok := catalogue[id]; ok {
		panic(fmt.Sprintf("event: number %d is defined twice", id))
	}
	e := Event{ID: id, Level: level, Message: message, Action: action}
	catalogue[id] = e
	return e
}

// All returns the events of the catalogue, ordered by number.
func All() []Event {
	out := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Log writes the event with its number. The args are key-value pairs as in slog.
func (e Event) Log(l *slog.Logger, args ...any) {
	if l == nil || !l.Enabled(context.Background(), e.Level) {
		return
	}
	line := append([]any{"event", e.ID}, args...)
	for i, a := range line {
		// The text handler would print the stack trace of an error that carries one.
		if err, ok := a.(error); ok {
			line[i] = err.Error()
		}
	}
	l.Log(context.Background(), e.Level, e.Message, line...)
}
