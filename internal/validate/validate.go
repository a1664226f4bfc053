// Package validate provides checks of the fields of configuration objects and
// API requests.
package validate

import (
	"fmt"
	"strings"
)

// MaxNameBytes is the maximum length of the name of a configuration object and
// of a reference, in bytes.
const MaxNameBytes = 128

// Error reports a field with an invalid value.
type Error struct {
	// Field is the JSON name of the field.
	Field string
	// Reason describes the rule that the value violates.
	Reason string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("invalid field %q: %s", e.Field, e.Reason) }

// Errorf returns an *Error for field with a formatted reason.
func Errorf(field, format string, args ...any) error {
	return &Error{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Name checks the name of a configuration object: 1 to MaxNameBytes ASCII
// letters, digits, '.', '_' or '-', starting with a letter or digit. '/' is not
// allowed, because names are segments of URL paths and store keys.
func Name(field, s string) error {
	return checkText(field, s, "._-")
}

// Reference checks the name of something that is not a configuration object: a
// model, a version or a failure domain. It follows the rules of Name, but '/',
// ':', '@' and '+' are also allowed after the first character.
func Reference(field, s string) error {
	return checkText(field, s, "._-/:@+")
}

// checkText checks that s has 1 to MaxNameBytes bytes and consists of ASCII
// letters and digits. After the first character, the characters in punctuation
// are also allowed.
func checkText(field, s, punctuation string) error {
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

// Range checks that low <= v <= high. It rejects NaN.
func Range[T int | float64](field string, v, low, high T) error {
	if v >= low && v <= high {
		return nil
	}
	return Errorf(field, "must be between %v and %v, is %v", low, high, v)
}

// FirstError returns the first non-nil error, or nil.
func FirstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
