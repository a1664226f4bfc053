package config

import "github.com/nutmegroute/nutmegroute/internal/validate"

// DefaultOperationDeadlineMillis is the deadline of one call of an operation
// that sets none, in milliseconds.
const DefaultOperationDeadlineMillis = 10_000

// Limits of a service's fields.
const (
	MaxOperations              = 1024
	MaxOperationDeadlineMillis = 3_600_000
)

// WithDefaults returns a copy of s in which every unset field has its default.
func (s Service) WithDefaults() Service {
	operations := make([]Operation, len(s.Operations))
	for i, o := range s.Operations {
		if o.DeadlineMillis == 0 {
			o.DeadlineMillis = DefaultOperationDeadlineMillis
		}
		operations[i] = o
	}
	s.Operations = operations
	return s
}

// Operation returns the operation with the given name. An operation that is
// not listed is non-idempotent and has the default deadline.
func (s *Service) Operation(name string) Operation {
	for _, o := range s.Operations {
		if o.Name == name {
			return o
		}
	}
	return Operation{Name: name, DeadlineMillis: DefaultOperationDeadlineMillis}
}

// Validate checks s with defaults applied. It returns a *validate.Error that
// holds the JSON name of the first invalid field.
func (s *Service) Validate() error {
	d := s.WithDefaults()
	if err := validate.Name("name", d.Name); err != nil {
		return err
	}
	if len(d.Operations) > MaxOperations {
		return validate.Errorf("operations", "must not exceed %d entries", MaxOperations)
	}
	seen := make(map[string]bool, len(d.Operations))
	for _, o := range d.Operations {
		err := validate.FirstError(
			validate.Name("operations.name", o.Name),
			validate.Range("operations.deadline_ms", o.DeadlineMillis, 1, MaxOperationDeadlineMillis),
		)
		if err != nil {
			return err
		}
		if seen[o.Name] {
			return validate.Errorf("operations.name", "%q is listed twice", o.Name)
		}
		seen[o.Name] = true
	}
	return nil
}

// WithDefaults returns a copy of p. No field of a placement has a default.
func (p Placement) WithDefaults() Placement { return p }

// Validate checks p. It returns a *validate.Error that holds the JSON name of
// the first invalid field.
func (p *Placement) Validate() error {
	return validate.FirstError(
		validate.Name("name", p.Name),
		validate.Reference("version", p.Version),
	)
}
