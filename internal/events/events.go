// Package events defines the catalogue of numbered log events and the logger
// that writes them. To add an event, declare it with define in the file of its
// subsystem and run "go test ./internal/events -update", which rewrites
// docs/events.md.
package events

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rs/zerolog"
)

// Event is one kind of log line. Numbers are never reused: an event that is
// removed leaves a gap.
type Event struct {
	// Number identifies the event. Its hundreds identify the subsystem.
	Number int
	// Name is the name of the event in kebab case.
	Name string
	// Level is the log level of the line.
	Level zerolog.Level
	// Meaning describes what happened.
	Meaning string
	// Action describes what the operator should do, or is noAction.
	Action string
}

// Code returns the number as it is written in log lines, such as "NR1203".
func (e Event) Code() string { return fmt.Sprintf("NR%04d", e.Number) }

// Subsystem is a part of the program with a range of one hundred event numbers.
type Subsystem struct {
	// First is the lowest number of the range.
	First int
	// Title is the heading of the subsystem in docs/events.md.
	Title string
}

// Subsystems lists the subsystems in order of their event numbers.
var Subsystems = []Subsystem{
	{1000, "Process"},
	{1100, "Peers and membership"},
	{1200, "Sequences"},
	{1300, "Operations"},
	{1400, "Configuration"},
	{1500, "Limits and fairness"},
	{1600, "Orders"},
	{1700, "Callers' API"},
	{1800, "Gateway"},
	{1900, "Placement of layers"},
}

// noAction is the Action of events that require none.
const noAction = "None."

// catalogue maps event numbers to events.
var catalogue = map[int]Event{}

// define adds an event to the catalogue and returns it. It panics if the number
// is already used, because the number must identify the event.
func define(number int, name string, level zerolog.Level, meaning, action string) Event {
	if other, ok := catalogue[number]; ok {
		panic(fmt.Sprintf("events: number %d is used by %s and %s", number, other.Name, name))
	}
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning, Action: action}
	catalogue[number] = e
	return e
}

// All returns all events, sorted by number.
func All() []Event {
	list := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Event) int { return a.Number - b.Number })
	return list
}

// Markdown returns the contents of docs/events.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString(`# Log events

Each line of the log carries the number of its event in the field ` + "`event`" + ` and the event's name in the field
` + "`name`" + `. Numbers are never reused. This page is generated from ` + "`internal/events`" + ` by
` + "`go test ./internal/events -update`" + `.
`)
	for _, s := range Subsystems {
		fmt.Fprintf(&b, "\n## %s (%d to %d)\n\n", s.Title, s.First, s.First+99)
		b.WriteString("| Event | Name | Level | Meaning | Action |\n|---|---|---|---|---|\n")
		for _, e := range All() {
			if e.Number/100*100 == s.First {
				fmt.Fprintf(&b, "| %s | `%s` | %s | %s | %s |\n", e.Code(), e.Name, e.Level, e.Meaning, e.Action)
			}
		}
	}
	return b.String()
}
