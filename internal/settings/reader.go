package settings

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Problem is one error in a settings file.
type Problem struct {
	File string
	// Section is empty if the problem concerns the whole file.
	Section string
	// Key is empty if the problem concerns the whole section or file.
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

// Problems is the error type of LoadEntry, LoadSidecar, ParseEntry and
// ParseSidecar. It contains all problems that were found.
type Problems []Problem

// Error implements error. It returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// reader reads typed values from one file and collects the problems.
type reader struct {
	// name is the name of the file in problems.
	name string
	// file is nil if the data is not valid INI.
	file *ini.File
	// known holds, for each section, the keys that have been read.
	known    map[string]map[string]bool
	problems Problems
}

// newReader parses data. Inline comments are not supported, so that a secret
// may contain the characters '#' and ';'. Shadow values, as package ini calls the
// values of repeated keys, are enabled to detect repeated keys.
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

// rawValue returns the value of a key, without expanding references to other
// keys, and whether the key is present. It adds the key to the known keys.
func (r *reader) rawValue(section, key string) (string, bool) {
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

// required reads a key and reports a problem if it is absent.
func required[T any](r *reader, section, key string, parse func(string) (T, error)) T {
	v, ok := optional(r, section, key, *new(T), parse)
	if !ok {
		r.report(section, key, "is missing")
	}
	return v
}

// optional reads a key and returns fallback if the key is absent or its value
// is invalid. The second result is whether the key is present.
func optional[T any](r *reader, section, key string, fallback T, parse func(string) (T, error)) (T, bool) {
	text, ok := r.rawValue(section, key)
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

// withDefault is like optional but does not return whether the key is present.
func withDefault[T any](r *reader, section, key string, fallback T, parse func(string) (T, error)) T {
	v, _ := optional(r, section, key, fallback, parse)
	return v
}

// reportUnknown reports the sections and keys of the file that are not in
// known.
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
