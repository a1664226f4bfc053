package settings

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Problem is one fault of a settings file.
type Problem struct {
	File    string
	Section string
	// Key is empty if the fault concerns the whole section or file.
	Key    string
	Reason string
}

// Error implements error.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Section != "" {
		fmt.Fprintf(&b, ": [%s]", p.Section)
	}
	if p.Key != "" {
		b.WriteString(" " + p.Key)
	}
	return b.String() + ": " + p.Reason
}

// Problems is the error of LoadEntry, LoadSidecar, ParseEntry and
// ParseSidecar: all faults that were found.
type Problems []Problem

// Error implements error, one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// reader takes typed values out of one file and collects the problems.
type reader struct {
	name     string
	file     *ini.File
	known    map[string]map[string]bool
	problems Problems
}

// newReader parses data. Comments take a whole line, so that a secret may hold
// the characters '#' and ';'. Shadows make repeated keys visible.
func newReader(name string, data []byte) *reader {
	r := &reader{name: name, known: map[string]map[string]bool{}}
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreContinuation:         true,
		IgnoreInlineComment:        true,
		KeyValueDelimiters:         "=",
	}, data)
	if err != nil {
		r.report("", "", err.Error())
		f = nil
	}
	r.file = f
	return r
}

func (r *reader) report(section, key, reason string) {
	r.problems = append(r.problems, Problem{File: r.name, Section: section, Key: key, Reason: reason})
}

// err returns the collected problems, or nil.
func (r *reader) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	return r.problems
}

// raw returns the value of a key without expanding references to other keys.
func (r *reader) raw(section, key string) (string, bool) {
	if r.known[section] == nil {
		r.known[section] = map[string]bool{}
	}
	r.known[section][key] = true
	s, err := r.file.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	k := s.Key(key)
	if len(k.ValueWithShadows()) > 1 {
		r.report(section, key, "is given more than once")
	}
	return k.Value(), true
}

// required reads a key that must be present.
func required[T any](r *reader, section, key string, parse func(string) (T, error)) T {
	v, ok := optional(r, section, key, *new(T), parse)
	if !ok {
		r.report(section, key, "is missing")
	}
	return v
}

// optional reads a key and returns fallback if it is absent; the second result
// reports whether it is present.
func optional[T any](r *reader, section, key string, fallback T, parse func(string) (T, error)) (T, bool) {
	text, ok := r.raw(section, key)
	if !ok {
		return fallback, false
	}
	v, err := parse(text)
	if err != nil {
		r.report(section, key, err.Error())
		return fallback, true
	}
	return v, true
}

// withDefault is optional without the report of presence.
func withDefault[T any](r *reader, section, key string, fallback T, parse func(string) (T, error)) T {
	v, _ := optional(r, section, key, fallback, parse)
	return v
}

// reportUnknown reports sections and keys that no earlier call asked for.
func (r *reader) reportUnknown() {
	for _, s := range r.file.Sections() {
		keys, ok := r.known[s.Name()]
		if !ok {
			if s.Name() != ini.DefaultSection || len(s.Keys()) > 0 {
				r.report(s.Name(), "", "unknown section")
			}
			continue
		}
		for _, k := range s.Keys() {
			if !keys[k.Name()] {
				r.report(s.Name(), k.Name(), "unknown key")
			}
		}
	}
}
