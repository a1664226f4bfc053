package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/nutmegroute/nutmegroute/internal/profile"
	"github.com/nutmegroute/nutmegroute/internal/team"
	"github.com/nutmegroute/nutmegroute/internal/validate"
)

// value is the parsed value of a configuration object. Each kind has an
// implementation.
type value interface {
	Validate() error
	objectName() string
	// stored returns the form that is written to the log: the operator's fields
	// without defaults, so that a later release can change a default.
	stored() any
	// effective returns a copy of the profile, team, service or placement with
	// defaults applied.
	effective() any
}

type profileValue struct{ profile.Profile }
type teamValue struct{ team.Team }
type serviceValue struct{ Service }
type placementValue struct{ Placement }

func (v *profileValue) objectName() string   { return v.Name }
func (v *profileValue) stored() any          { return v.Profile }
func (v *profileValue) effective() any       { return v.WithDefaults() }
func (v *teamValue) objectName() string      { return v.Name }
func (v *teamValue) stored() any             { return v.Team }
func (v *teamValue) effective() any          { return v.WithDefaults() }
func (v *serviceValue) objectName() string   { return v.Name }
func (v *serviceValue) stored() any          { return v.Service }
func (v *serviceValue) effective() any       { return v.WithDefaults() }
func (v *placementValue) objectName() string { return v.Name }
func (v *placementValue) stored() any        { return v.Placement }
func (v *placementValue) effective() any     { return v.WithDefaults() }

// Kinds returns every kind of configuration object.
func Kinds() []Kind { return []Kind{KindProfile, KindTeam, KindService, KindPlacement} }

// newValue returns an empty value of the given kind.
func newValue(kind Kind) (value, error) {
	switch kind {
	case KindProfile:
		return &profileValue{}, nil
	case KindTeam:
		return &teamValue{}, nil
	case KindService:
		return &serviceValue{}, nil
	case KindPlacement:
		return &placementValue{}, nil
	}
	return nil, validate.Errorf("kind", "%q is not one of %q", kind, Kinds())
}

// parseStored decodes a value in the form that is written to the log. It ignores
// unknown fields, which a newer release may have accepted.
func parseStored(kind Kind, data []byte) (value, error) {
	v, err := newValue(kind)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return nil, validate.Errorf("value", "%v", err)
	}
	return v, nil
}

// parseSubmitted decodes and validates a value from an operator. It returns an
// error for an unknown field so that a misspelt field isn't silently ignored.
func parseSubmitted(kind Kind, data []byte) (value, error) {
	v, err := newValue(kind)
	if err != nil {
		return nil, err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return nil, validate.Errorf("value", "%v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, validate.Errorf("value", "must hold exactly one JSON object")
	}
	return v, v.Validate()
}
