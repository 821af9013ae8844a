// Package event numbers what the daemon logs, so that a reader can look each line
// up in docs/EVENTS.md.
package event

import (
	"fmt"
	"sort"
	"strings"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Level is how much an event matters to the person on call.
type Level string

// The levels, from most to least urgent.
const (
	Error Level = "error"
	Warn  Level = "warn"
	Info  Level = "info"
	Debug Level = "debug"
)

// Event is one kind of log line.
type Event struct {
	// Number is unique over the whole program and never given to another event.
	Number int
	// Name is unique, in kebab case.
	Name  string
	Level Level
	// Meaning is one sentence for the catalogue.
	Meaning string
}

var eventsByNumber = map[int]Event{}

// Define registers an event. It is called from package variables only; a number
// used twice is a programming error and panics.
func Define(number int, name string, lvl Level, meaning string) Event {
	if existing, found := eventsByNumber[number]; found {
		panic(fmt.Sprintf("event %d is both %s and %s", number, existing.Name, name))
	}
	e := Event{Number: number, Name: name, Level: lvl, Meaning: meaning}
	eventsByNumber[number] = e
	return e
}

// Log writes the event with alternating keys (kebab case) and values.
func (e Event) Log(l log.Logger, keyvals ...any) {
	if l == nil {
		return
	}
	pairs := append([]any{"event", e.Number, "name", e.Name}, keyvals...)
	_ = withLevel(l, e.Level).Log(pairs...)
}

func withLevel(l log.Logger, lvl Level) log.Logger {
	switch lvl {
	case Error:
		return level.Error(l)
	case Warn:
		return level.Warn(l)
	case Info:
		return level.Info(l)
	}
	return level.Debug(l)
}

// All lists the defined events by number.
func All() []Event {
	list := make([]Event, 0, len(eventsByNumber))
	for _, e := range eventsByNumber {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Number < list[j].Number })
	return list
}

// toolsFrom is the first number of the stand-ins and tools, which the daemon's
// catalogue leaves out.
const firstToolNumber = 8000

// Catalogue renders the daemon's events as the table of docs/EVENTS.md.
func Catalogue() string {
	var b strings.Builder
	b.WriteString("| number | name | level | meaning |\n| --- | --- | --- | --- |\n")
	for _, e := range All() {
		if e.Number >= firstToolNumber {
			break
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning)
	}
	return b.String()
}
