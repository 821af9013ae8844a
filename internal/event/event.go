// Package event defines numbered log events, so that each line of the daemon's log can be
// looked up in docs/EVENTS.md.
package event

import (
	"fmt"
	"sort"
	"strings"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Level is the severity of an event.
type Level string

// The levels, from most to least urgent.
const (
	Error Level = "error"
	Warn  Level = "warn"
	Info  Level = "info"
	Debug Level = "debug"
)

// Event is a kind of log line.
type Event struct {
	// Number is unique in the whole program and never reused for another event.
	Number int
	// Name is unique, in kebab case.
	Name  string
	Level Level
	// Meaning explains the event in one sentence, for the catalogue.
	Meaning string
}

var eventsByNumber = map[int]Event{}

// Define registers an event. It may only be called to initialize package variables. It
// panics if the number is already in use, which is a programming error.
func Define(number int, name string, lvl Level, meaning string) Event {
	if existing, found := eventsByNumber[number]; found {
		panic(fmt.Sprintf("event %d is both %s and %s", number, existing.Name, name))
	}
	e := Event{Number: number, Name: name, Level: lvl, Meaning: meaning}
	eventsByNumber[number] = e
	return e
}

// Log logs the event with alternating keys, in kebab case, and values. A nil logger
// discards it.
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

// All returns all events, sorted by number.
func All() []Event {
	list := make([]Event, 0, len(eventsByNumber))
	for _, e := range eventsByNumber {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Number < list[j].Number })
	return list
}

// firstToolNumber is the first event number of programs other than the daemon: fake servers
// for tests, and tools. Catalogue omits these events.
const firstToolNumber = 8000

// Catalogue returns the daemon's events as a Markdown table, for docs/EVENTS.md.
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
