package config

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/nutmegroute/nutmegroute/internal/platform"
)

// acceptance is one run of Accept.
type acceptance struct {
	*Store
	proposal Proposal
	// pending is true if a write of the change may still be applied.
	pending bool
}

// Accept makes p the next change of the log. The change in the store decides:
// a lost answer is resolved by reading it. Repeating a proposal with the same
// id and base returns the accepted change, however old; with another base, the
// change is recognised while the replica keeps it. It returns *ConflictError, ErrNotFound,
// ErrChangeIDReused, *validate.Error, ErrUnavailable (not applied by this call)
// or *UnknownOutcomeError.
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
				return Change{}, a.undecided(err)
			}
		}
		if c, found := a.replica.FindChange(a.proposal.ID); found {
			accepted, _, err := a.compare(c)
			return accepted, err
		}
		c, err := a.replica.State().NextChange(a.proposal, a.now())
		if err != nil {
			return a.refuse(ctx, err)
		}
		accepted, done, err := a.write(ctx, c)
		if done {
			return accepted, err
		}
	}
}

// undecided returns the error for a call that can't be continued.
func (a *acceptance) undecided(cause error) error {
	if a.pending {
		return &UnknownOutcomeError{ChangeID: a.proposal.ID, Cause: cause}
	}
	return errors.Join(ErrUnavailable, cause)
}

// write creates c in the store. It returns done unless the change must be
// tried again.
func (a *acceptance) write(ctx context.Context, c Change) (accepted Change, done bool, err error) {
	data, err := json.Marshal(c)
	if err != nil {
		return Change{}, true, err
	}
	_, err = a.objects.Create(ctx, changeKey(c.Revision), data)
	switch {
	case err == nil:
		return c, true, a.install(c)
	case errors.Is(err, platform.ErrConflict):
		return a.resolve(ctx, c.Revision, false)
	case errors.Is(err, platform.ErrOutcomeUnknown):
		a.pending = true
		return a.resolve(ctx, c.Revision, true)
	}
	if a.pending || errors.Is(err, platform.ErrUnavailable) {
		return Change{}, true, a.undecided(err)
	}
	return Change{}, true, storeError(err)
}

func (a *acceptance) install(c Change) error {
	if err := a.replica.Apply(c); err != nil && !errors.Is(err, ErrStale) {
		return err
	}
	return nil
}

// resolve reads the change that holds a revision. If absent is allowed and
// nothing holds it, the write may still be under way: the same change is tried
// again at the same revision, of which the store applies one at most.
func (a *acceptance) resolve(ctx context.Context, r Revision, mayBeAbsent bool) (Change, bool, error) {
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
		if err := a.install(c); err != nil {
			return Change{}, true, err
		}
		if c.ID == a.proposal.ID {
			return a.compare(c)
		}
		// Another change holds the revision, so no earlier write of this one
		// can be applied any more.
		a.pending = false
		// A replica that is far behind catches up in pages instead of losing
		// one race for each missing change. If this fails, the next write
		// reports it.
		if _, err := a.catchUp(ctx); err != nil {
			a.report(err)
		}
		return Change{}, false, nil
	}
	return Change{}, true, a.undecided(err)
}

// compare accepts c, which has the proposal's id, if it has its content too.
func (a *acceptance) compare(c Change) (Change, bool, error) {
	if !c.Matches(&a.proposal) {
		return Change{}, true, ErrChangeIDReused
	}
	return c, true, nil
}

// refuse decides about a proposal that the replica's state contradicts. The
// replica may lag, and the proposal may already have been accepted.
func (a *acceptance) refuse(ctx context.Context, refusal error) (Change, error) {
	current, _ := a.replica.State().Object(a.proposal.Kind, a.proposal.Name)
	if current.Version <= a.proposal.Base {
		if _, err := a.catchUp(ctx); err != nil {
			return Change{}, a.undecided(err)
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
		accepted, _, err := a.compare(c)
		return accepted, err
	}
	return Change{}, refusal
}

// findAccepted follows the object's history down to the proposal's base, for a
// change that is older than the recent ones the replica keeps.
func (a *acceptance) findAccepted(ctx context.Context, from Revision) (Change, bool, error) {
	for r := from; r > a.proposal.Base; {
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
