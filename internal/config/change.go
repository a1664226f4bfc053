package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/validate"
)

// Revision numbers the changes of a deployment, starting at 1. It is also the
// version of the object that the change wrote. Revision 0 stands for the empty
// configuration and for an object that never existed.
type Revision uint64

// Limits of a change.
const (
	// MaxObjectBytes is the maximum size of the value of a configuration object.
	// A change holds the object's values before and after the change. With this
	// limit, a page of 96 changes in Base64 fits in the platform client's
	// response limit of 16 MiB.
	MaxObjectBytes = 48 << 10
	// MaxIDBytes is the maximum length of a change id or author.
	MaxIDBytes = 128
)

var (
	// ErrNotFound means the object doesn't exist.
	ErrNotFound = errors.New("config: object not found")
	// ErrChangeIDReused means an accepted change has the same id but different
	// content.
	ErrChangeIDReused = errors.New("config: change id belongs to another change")
)

// Change is one entry of the configuration log and of the audit trail.
type Change struct {
	Revision Revision `cbor:"1,keyasint" json:"revision"`
	// ID identifies the change across retries.
	ID string `cbor:"2,keyasint" json:"id"`
	// Author is the authenticated operator.
	Author string `cbor:"3,keyasint" json:"author"`
	// Time is the acceptance time in UTC. It is for display only; the order of
	// changes does not depend on it.
	Time time.Time `cbor:"4,keyasint" json:"time"`
	Kind Kind      `cbor:"5,keyasint" json:"kind"`
	Name string    `cbor:"6,keyasint" json:"name"`
	// Base is the version of the object that the change replaced. It is the
	// revision of the previous change in the object's history; 0 for the first.
	Base Revision `cbor:"7,keyasint" json:"base"`
	// Before is the replaced value; empty if the object didn't exist.
	Before json.RawMessage `cbor:"8,keyasint,omitempty" json:"before,omitempty"`
	// After is the new value; empty if Deleted.
	After   json.RawMessage `cbor:"9,keyasint,omitempty" json:"after,omitempty"`
	Deleted bool            `cbor:"10,keyasint,omitempty" json:"deleted,omitempty"`
}

// Proposal is a change that isn't accepted yet.
type Proposal struct {
	// ID identifies the change across retries; a UUIDv7 by convention.
	ID     string `json:"id"`
	Author string `json:"author,omitempty"`
	Kind   Kind   `json:"kind"`
	Name   string `json:"name"`
	// Base is the version of the object that the operator read; 0 if the object
	// never existed. A deleted object has the version of its deletion.
	Base Revision `json:"base"`
	// Value is the new object; empty if Deleted.
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

// ConflictError reports that the object changed after the version on which a
// proposal is based.
type ConflictError struct {
	Kind Kind
	Name string
	// Base is the version on which the proposal is based.
	Base Revision
	// ChangeID, Author and Revision identify the object's last change. They
	// are empty and 0 if the object never existed.
	ChangeID string
	Author   string
	Revision Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Revision == 0 {
		return fmt.Sprintf("config: conflict: %s %q doesn't exist, but the change is based on version %d", e.Kind, e.Name, e.Base)
	}
	return fmt.Sprintf("config: conflict: %s %q is at revision %d by %s (change %s), but the change is based on version %d",
		e.Kind, e.Name, e.Revision, e.Author, e.ChangeID, e.Base)
}

// Matches reports whether c is the accepted form of p, which must be
// normalized. The bases may differ: an operator may repeat a change after
// reading the version that the change itself wrote.
func (c *Change) Matches(p *Proposal) bool {
	return c.ID == p.ID && c.Kind == p.Kind && c.Name == p.Name &&
		c.Deleted == p.Deleted && bytes.Equal(c.After, p.Value)
}

// Normalize checks the parts of p that don't depend on the state and
// rewrites its value in canonical JSON. It returns a *validate.Error for an
// invalid field.
func (p Proposal) Normalize() (Proposal, error) {
	if p.ID == "" || len(p.ID) > MaxIDBytes {
		return p, validate.Errorf("id", "must have 1 to %d bytes", MaxIDBytes)
	}
	if p.Author == "" || len(p.Author) > MaxIDBytes {
		return p, validate.Errorf("author", "must have 1 to %d bytes", MaxIDBytes)
	}
	if err := validate.Name("name", p.Name); err != nil {
		return p, err
	}
	if p.Deleted {
		if len(p.Value) > 0 {
			return p, validate.Errorf("value", "must be empty in a deletion")
		}
		if _, err := newValue(p.Kind); err != nil {
			return p, err
		}
		p.Value = nil
		return p, nil
	}
	if len(p.Value) > MaxObjectBytes {
		return p, validate.Errorf("value", "must not exceed %d bytes", MaxObjectBytes)
	}
	value, err := parseSubmitted(p.Kind, p.Value)
	if err != nil {
		return p, err
	}
	if value.objectName() != p.Name {
		return p, validate.Errorf("name", "is %q in the value and %q in the change", value.objectName(), p.Name)
	}
	if p.Value, err = json.Marshal(value.stored()); err != nil {
		return p, validate.Errorf("value", "%v", err)
	}
	return p, nil
}

// NextChange returns the change that appends p to the log directly after s. p
// must be normalized. NextChange returns *ConflictError if the object's version
// differs from p's base, ErrNotFound if p deletes an object that doesn't exist,
// and *validate.Error if p contradicts another object.
func (s *State) NextChange(p Proposal, now time.Time) (Change, error) {
	current, exists := s.Object(p.Kind, p.Name)
	if current.Version != p.Base {
		return Change{}, &ConflictError{Kind: p.Kind, Name: p.Name, Base: p.Base,
			ChangeID: current.ChangeID, Author: current.Author, Revision: current.Version}
	}
	if p.Deleted && !exists {
		return Change{}, ErrNotFound
	}
	if err := s.checkKeyHashes(p); err != nil {
		return Change{}, err
	}
	return Change{
		Revision: s.revision + 1, ID: p.ID, Author: p.Author, Time: now.UTC().Truncate(time.Millisecond),
		Kind: p.Kind, Name: p.Name, Base: p.Base, Before: current.Value, After: p.Value, Deleted: p.Deleted,
	}, nil
}

// checkKeyHashes returns an error if p adds an API key that another team owns:
// a key identifies exactly one team.
func (s *State) checkKeyHashes(p Proposal) error {
	if p.Kind != KindTeam || p.Deleted {
		return nil
	}
	value, err := parseStored(p.Kind, p.Value)
	if err != nil {
		return err
	}
	for _, hash := range value.(*teamValue).KeyHashes {
		if owner, ok := s.teamsByKeyHash.get(hash); ok && owner != p.Name {
			return validate.Errorf("key_hashes", "%q belongs to team %q", hash, owner)
		}
	}
	return nil
}
