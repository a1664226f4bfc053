package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/nutmegroute/nutmegroute/internal/validate"
)

var testTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func keyHash(n int) string { return fmt.Sprintf("%064x", n) }

func teamProposal(id, name string, base Revision, keys ...int) Proposal {
	hashes := []string{}
	for _, k := range keys {
		hashes = append(hashes, keyHash(k))
	}
	value, _ := json.Marshal(map[string]any{"name": name, "key_hashes": hashes})
	return Proposal{ID: id, Author: "ama", Kind: KindTeam, Name: name, Base: base, Value: value}
}

// logModel is the reference model of a replica: it keeps every change and scans
// the whole log.
type logModel []Change

func (m logModel) owner(key int) string {
	last := map[string]Change{}
	for _, c := range m {
		last[c.Name] = c
	}
	for name, c := range last {
		if strings.Contains(string(c.After), keyHash(key)) {
			return name
		}
	}
	return ""
}

// Guards against a replica that skips, repeats or reverts changes, and against
// errors in the copy-on-write state and its index of key hashes.
func TestReplicaMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		latest, log, applied := NewState(), logModel{}, 0
		states := []*State{latest}
		r := NewReplica()
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				name := fmt.Sprintf("t%d", rapid.IntRange(0, 4).Draw(t, "name"))
				old, _ := latest.Object(KindTeam, name)
				p := teamProposal(fmt.Sprintf("id%d", len(log)), name, old.Version, rapid.IntRange(0, 5).Draw(t, "key"))
				if rapid.Bool().Draw(t, "delete") {
					p.Value, p.Deleted = nil, true
				}
				c, err := latest.NextChange(p, testTime)
				if err != nil {
					return // a refused proposal leaves no change in the log
				}
				latest, log = latest.WithChange(c), append(log, c)
				states = append(states, latest)
			},
			"apply": func(t *rapid.T) {
				if len(log) == 0 {
					return
				}
				i := rapid.IntRange(0, len(log)-1).Draw(t, "i")
				err := r.Apply(log[i])
				switch {
				case i == applied:
					assert.NilError(t, err)
					applied++
				case i < applied:
					assert.ErrorIs(t, err, ErrStale)
				default:
					assert.ErrorIs(t, err, ErrGap)
				}
			},
			"install": func(t *rapid.T) {
				i := rapid.IntRange(0, len(states)-1).Draw(t, "i")
				data, err := EncodeSnapshot(states[i].Snapshot())
				assert.NilError(t, err)
				s, err := DecodeSnapshot(data)
				assert.NilError(t, err)
				if err := r.Install(s); i > applied {
					assert.NilError(t, err)
					applied = i
				} else {
					assert.ErrorIs(t, err, ErrStale)
				}
			},
			// rapid calls the function with the empty name after each action.
			"": func(t *rapid.T) {
				assert.Equal(t, r.Revision(), Revision(applied))
				for key := range 6 {
					owner, _ := r.State().TeamByKeyHash(keyHash(key))
					assert.Equal(t, owner.Name, log[:applied].owner(key))
				}
				assert.DeepEqual(t, r.State().Teams(), states[applied].Teams())
				after := rapid.IntRange(0, applied).Draw(t, "after")
				if changes, ok := r.ChangesSince(Revision(after)); ok {
					assert.DeepEqual(t, changes, append([]Change(nil), log[after:applied]...))
				}
			},
		})
	})
}

// Guards against lost updates, conflict errors without the author of the
// conflicting change, deletions of objects that don't exist, and keys that belong
// to two teams.
func TestNextChangeConflict(t *testing.T) {
	s := NewState()
	accept := func(p Proposal) {
		c, err := s.NextChange(p, testTime)
		assert.NilError(t, err)
		s = s.WithChange(c)
	}
	accept(teamProposal("c1", "a", 0, 1))
	accept(Proposal{ID: "c2", Author: "kofi", Kind: KindTeam, Name: "a", Base: 1, Deleted: true})
	// A repeated creation after a deletion must not be accepted again.
	_, err := s.NextChange(teamProposal("c1", "a", 0, 1), testTime)
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.DeepEqual(t, *conflict, ConflictError{Kind: KindTeam, Name: "a", ChangeID: "c2", Author: "kofi", Revision: 2})
	_, err = s.NextChange(Proposal{ID: "c3", Kind: KindTeam, Name: "a", Base: 2, Deleted: true}, testTime)
	assert.ErrorIs(t, err, ErrNotFound)
	accept(teamProposal("c4", "a", 2, 1))
	_, err = s.NextChange(teamProposal("c5", "b", 0, 1), testTime)
	assert.ErrorContains(t, err, `belongs to team "a"`)
}

// Guards against Normalize accepting an invalid value, and against an error that
// names another field than the invalid one.
func TestProposalNormalize(t *testing.T) {
	for _, tc := range []struct{ kind, value, field string }{
		{"team", `{"name":"x","key_hashes":[]}`, ""},
		{"team", `{"name":"x","key_hashes":["ab"]}`, "key_hashes"},
		{"team", `{"name":"x","weight":-1}`, "weight"},
		{"team", `{"name":"y"}`, "name"},
		{"profile", `{"name":"x"}`, "model"},
		{"profile", `{"name":"x","model":"m","wieght":1}`, "value"},
		{"profile", `{"name":"x","model":"m"}{}`, "value"},
		{"service", `{"name":"x","operations":[{"name":"o"},{"name":"o"}]}`, "operations.name"},
		{"service", `{"name":"x","operations":[{"name":"o","deadline_ms":-1}]}`, "operations.deadline_ms"},
		{"placement", `{"name":"x"}`, "version"},
		{"other", `{"name":"x"}`, "kind"},
	} {
		_, err := Proposal{ID: "i", Author: "a", Kind: Kind(tc.kind), Name: "x", Value: json.RawMessage(tc.value)}.Normalize()
		var invalid *validate.Error
		if tc.field == "" {
			assert.NilError(t, err)
		} else if assert.Check(t, errors.As(err, &invalid), "%s: %v", tc.value, err) {
			assert.Equal(t, invalid.Field, tc.field, tc.value)
		}
	}
}

// Guards against a replica that keeps more than MaxRecentChanges changes or drops
// a change too early, and against a second change with a known revision.
func TestReplicaBoundsRecentChanges(t *testing.T) {
	r := NewReplica()
	for i := Revision(1); i <= MaxRecentChanges+10; i++ {
		assert.NilError(t, r.Apply(Change{Revision: i, ID: fmt.Sprint(i), Kind: KindTeam, Name: "a", Base: i - 1, After: []byte(`{}`)}))
	}
	_, ok := r.ChangesSince(9)
	assert.Assert(t, !ok)
	changes, ok := r.ChangesSince(10)
	assert.Assert(t, ok)
	assert.Equal(t, len(changes), MaxRecentChanges)
	assert.ErrorIs(t, r.Apply(Change{Revision: 500, ID: "other"}), ErrDiverged)
}

// Guards against panics and errors other than ErrDecode on data from a faulty
// peer, against decoded changes whose encoding can't be decoded, and against a
// snapshot whose state has another revision.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		if changes, err := DecodeChanges(data); err == nil {
			encoded, err := EncodeChanges(changes)
			assert.NilError(t, err)
			_, err = DecodeChanges(encoded)
			assert.NilError(t, err)
		} else {
			assert.ErrorIs(t, err, ErrDecode)
		}
		if s, err := DecodeSnapshot(data); err == nil {
			assert.Equal(t, s.State().Revision(), s.Revision)
		} else {
			assert.ErrorIs(t, err, ErrDecode)
		}
	})
}

// Guards against a reader that sees a part of a batch: a starting entry would
// become ready with some of the teams and refuse the others.
func TestApplyAllIsAtomic(t *testing.T) {
	var changes []Change
	state := NewState()
	for i := range 200 {
		name := fmt.Sprintf("p%d", i)
		c, err := state.NextChange(Proposal{ID: name, Author: "a", Kind: KindPlacement, Name: name,
			Value: json.RawMessage(fmt.Sprintf(`{"name":%q,"version":"1"}`, name))}, time.Unix(1, 0))
		assert.NilError(t, err)
		changes = append(changes, c)
		state = state.WithChange(c)
	}
	r := NewReplica()
	seen := make(chan Revision)
	go func() {
		revision := Revision(0)
		for revision == 0 {
			revision = r.Revision()
		}
		seen <- revision
	}()
	assert.NilError(t, r.ApplyAll(changes))
	assert.Equal(t, <-seen, Revision(200))
}
