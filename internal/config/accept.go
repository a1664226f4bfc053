package config

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/nutmegroute/nutmegroute/internal/platform"
)

// acceptance is the state of one call of Accept.
type acceptance struct {
	*Store
	proposal Proposal
	// writePending is true if an earlier write of the change may still be
	// applied.
	writePending bool
}

// Accept appends p to the log as the next change. If the answer to the write is
// lost, Accept reads the stored change to learn the outcome. Repeating an
// accepted proposal with the same id and base returns the accepted change,
// however old. If the base is not below the revision of the accepted change,
// that change is found only while the replica keeps it. Accept returns *ConflictError, ErrNotFound, ErrChangeIDReused,
// *validate.Error, ErrUnavailable (this call did not apply the change) or
// *UnknownOutcomeError.
func (s *Store) Accept(ctx context.Context, p Proposal) (Change, error) {
	p, err := p.Normalize()
	if err != nil {
		return Change{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, AcceptTimeout)
	defer cancel()
	a := &acceptance{Store: s, proposal: p}
	c, err := a.run(ctx)
	if err != nil {
		return Change{}, err
	}
	if c.Revision%SnapshotInterval == 0 {
		select {
		case s.snapshotDue <- struct{}{}:
		default:
		}
	}
	return c, nil
}

func (a *acceptance) run(ctx context.Context) (Change, error) {
	for attempt := 0; ; attempt++ {
		if attempt > 0 {
			if err := sleep(ctx, backoff(min(attempt-1, 3))); err != nil {
				return Change{}, a.abortError(err)
			}
		}
		if c, found := a.replica.FindChange(a.proposal.ID); found {
			accepted, _, err := a.requireSameContent(c)
			return accepted, err
		}
		c, err := a.replica.State().NextChange(a.proposal, a.now())
		if err != nil {
			return a.recheck(ctx, err)
		}
		accepted, done, err := a.write(ctx, c)
		if done {
			return accepted, err
		}
	}
}

// abortError returns the error of a call that can't continue:
// *UnknownOutcomeError if a write may still be applied, else ErrUnavailable.
func (a *acceptance) abortError(cause error) error {
	if a.writePending {
		return &UnknownOutcomeError{ChangeID: a.proposal.ID, Cause: cause}
	}
	return errors.Join(ErrUnavailable, cause)
}

// write creates c in the store. done is false if the proposal must be tried
// again.
func (a *acceptance) write(ctx context.Context, c Change) (accepted Change, done bool, err error) {
	data, err := json.Marshal(c)
	if err != nil {
		return Change{}, true, err
	}
	_, err = a.objects.Create(ctx, changeKey(c.Revision), data)
	switch {
	case err == nil:
		return c, true, a.apply(c)
	case errors.Is(err, platform.ErrConflict):
		return a.resolveWrite(ctx, c.Revision, false)
	case errors.Is(err, platform.ErrOutcomeUnknown):
		a.writePending = true
		return a.resolveWrite(ctx, c.Revision, true)
	}
	if a.writePending || errors.Is(err, platform.ErrUnavailable) {
		return Change{}, true, a.abortError(err)
	}
	return Change{}, true, wrapStoreError(err)
}

// apply adds c to the replica unless the replica already has its revision.
func (a *acceptance) apply(c Change) error {
	if err := a.replica.Apply(c); err != nil && !errors.Is(err, ErrStale) {
		return err
	}
	return nil
}

// resolveWrite reads the change stored at revision r to learn the outcome of a
// write. Its results are those of write. If mayBeAbsent is true and no change is
// stored at r, the write may still be in flight: run then writes the proposal
// again at the same revision, and the store applies at most one of the two
// writes.
func (a *acceptance) resolveWrite(ctx context.Context, r Revision, mayBeAbsent bool) (Change, bool, error) {
	var err error
	for attempt := range resolveAttempts {
		if attempt > 0 && sleep(ctx, backoff(attempt)) != nil {
			break
		}
		var c Change
		if c, err = a.readChange(ctx, r); err != nil {
			if errors.Is(err, ErrNotFound) && mayBeAbsent {
				return Change{}, false, nil
			}
			continue
		}
		if err := a.apply(c); err != nil {
			return Change{}, true, err
		}
		if c.ID == a.proposal.ID {
			return a.requireSameContent(c)
		}
		// Another change has the revision, so no earlier write of this change
		// can be applied any more.
		a.writePending = false
		// A replica that is far behind catches up in pages; otherwise each
		// missing change would cost one conflicting write. If catching up
		// fails, the next write returns the error.
		if _, err := a.catchUp(ctx); err != nil {
			a.reportError(err)
		}
		return Change{}, false, nil
	}
	return Change{}, true, a.abortError(err)
}

// requireSameContent returns c, which has the proposal's id, or
// ErrChangeIDReused if c differs from the proposal in content. The boolean result
// is done of write and always true.
func (a *acceptance) requireSameContent(c Change) (Change, bool, error) {
	if !c.Matches(&a.proposal) {
		return Change{}, true, ErrChangeIDReused
	}
	return c, true, nil
}

// recheck handles a proposal that NextChange refuses with the error refusal. The
// replica may lag behind the store, or the proposal may already have been
// accepted; if neither is the case, recheck returns the refusal by the latest
// state.
func (a *acceptance) recheck(ctx context.Context, refusal error) (Change, error) {
	current, _ := a.replica.State().Object(a.proposal.Kind, a.proposal.Name)
	if current.Version <= a.proposal.Base {
		if _, err := a.catchUp(ctx); err != nil {
			return Change{}, a.abortError(err)
		}
		if _, refusal = a.replica.State().NextChange(a.proposal, a.now()); refusal == nil {
			return a.run(ctx)
		}
		current, _ = a.replica.State().Object(a.proposal.Kind, a.proposal.Name)
	}
	c, found, err := a.findAccepted(ctx, current.Version)
	if err != nil {
		return Change{}, &UnknownOutcomeError{ChangeID: a.proposal.ID, Cause: err}
	}
	if found {
		accepted, _, err := a.requireSameContent(c)
		return accepted, err
	}
	return Change{}, refusal
}

// findAccepted searches the object's history, from revision newest down to the
// proposal's base, for a change with the proposal's id. It also finds changes
// that the replica no longer keeps.
func (a *acceptance) findAccepted(ctx context.Context, newest Revision) (Change, bool, error) {
	for r := newest; r > a.proposal.Base; {
		c, err := a.readChange(ctx, r)
		if err != nil {
			return Change{}, false, err
		}
		if c.ID == a.proposal.ID {
			return c, true, nil
		}
		r = c.Base
	}
	return Change{}, false, nil
}
