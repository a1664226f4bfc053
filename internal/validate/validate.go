// Package validate holds the field checks that the aggregates share.
package validate

import (
	"fmt"
	"strings"
)

// MaxNameBytes is the longest name of a configuration object, in bytes.
const MaxNameBytes = 128

// Error reports a field with an invalid value.
type Error struct {
	// Field is the JSON name of the field.
	Field string
	// Reason says which rule the value breaks.
	Reason string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("invalid field %q: %s", e.Field, e.Reason) }

// Errorf returns an *Error for field.
func Errorf(field, format string, args ...any) error {
	return &Error{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Name checks the name of a configuration object: 1 to MaxNameBytes letters,
// digits, '.', '_' or '-', starting with a letter or digit. Names are segments
// of URL paths and of store keys, so they hold no '/'.
func Name(field, s string) error {
	return text(field, s, "._-")
}

// Reference checks a reference to a model or version, which may also hold
// '/', ':', '@' and '+'.
func Reference(field, s string) error {
	return text(field, s, "._-/:@+")
}

func text(field, s, punctuation string) error {
	if s == "" {
		return Errorf(field, "must not be empty")
	}
	if len(s) > MaxNameBytes {
		return Errorf(field, "must not exceed %d bytes", MaxNameBytes)
	}
	for i, c := range s {
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if alphanumeric || i > 0 && strings.ContainsRune(punctuation, c) {
			continue
		}
		return Errorf(field, "character %q at offset %d is not allowed", c, i)
	}
	return nil
}

// Range checks that low <= v <= high. NaN is out of every range.
func Range[T int | float64](field string, v, low, high T) error {
	if v >= low && v <= high {
		return nil
	}
	return Errorf(field, "must be between %v and %v, is %v", low, high, v)
}

// FirstError returns the first error that is not nil.
func FirstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
