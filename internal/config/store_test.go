package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/platform"
)

// fakeObjects is an in-memory ObjectStore. Reads and Create fail with probability
// faultRate. A failed Create is not sent, sent but not applied, applied with a
// lost answer, or applied later.
type fakeObjects struct {
	mu            sync.Mutex
	objects       map[string]platform.Object
	version       uint64
	random        *rand.Rand
	faultRate     float64
	down          bool
	delayedWrites sync.WaitGroup
}

func newFakeObjects(seed uint64, faults float64) *fakeObjects {
	return &fakeObjects{objects: map[string]platform.Object{}, random: rand.New(rand.NewPCG(seed, 0)), faultRate: faults}
}

func (f *fakeObjects) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeObjects) readError() error {
	if f.down || f.random.Float64() < f.faultRate {
		return platform.ErrUnavailable
	}
	return nil
}

func (f *fakeObjects) Get(_ context.Context, key string) (platform.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.readError(); err != nil {
		return platform.Object{}, err
	}
	if o, ok := f.objects[key]; ok {
		return o, nil
	}
	return platform.Object{}, platform.ErrNotFound
}

func (f *fakeObjects) createLocked(key string, value []byte) (platform.Object, error) {
	if _, ok := f.objects[key]; ok {
		return platform.Object{}, platform.ErrConflict
	}
	f.version++
	f.objects[key] = platform.Object{Key: key, Version: f.version, Value: value}
	return f.objects[key], nil
}

func (f *fakeObjects) Create(_ context.Context, key string, value []byte) (platform.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.Object{}, platform.ErrUnavailable
	}
	if f.random.Float64() >= f.faultRate {
		return f.createLocked(key, value)
	}
	switch f.random.IntN(4) {
	case 0:
		return platform.Object{}, platform.ErrUnavailable
	case 1:
		_, _ = f.createLocked(key, value)
	case 2:
		f.delayedWrites.Add(1)
		time.AfterFunc(time.Duration(f.random.IntN(60))*time.Millisecond, func() {
			defer f.delayedWrites.Done()
			f.mu.Lock()
			defer f.mu.Unlock()
			_, _ = f.createLocked(key, value)
		})
	}
	return platform.Object{}, platform.ErrOutcomeUnknown
}

func (f *fakeObjects) Delete(_ context.Context, key string, _ uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.objects, key)
	return nil
}

func (f *fakeObjects) List(_ context.Context, prefix, after string, limit int) (platform.ListResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := platform.ListResponse{Revision: f.version}
	for key, o := range f.objects {
		if strings.HasPrefix(key, prefix) && key > after {
			r.Objects = append(r.Objects, o)
		}
	}
	sort.Slice(r.Objects, func(i, j int) bool { return r.Objects[i].Key < r.Objects[j].Key })
	if len(r.Objects) > limit {
		r.Objects, r.More = r.Objects[:limit], true
	}
	return r, f.readError()
}

func (f *fakeObjects) Watch(ctx context.Context, prefix string, after uint64, _ time.Duration) (platform.ListResponse, error) {
	for ctx.Err() == nil {
		r, err := f.List(ctx, prefix, "", 1<<20)
		n := sort.Search(len(r.Objects), func(i int) bool { return r.Objects[i].Version > after })
		if r.Objects = r.Objects[n:]; err != nil || len(r.Objects) > 0 {
			return r, err
		}
		time.Sleep(time.Millisecond)
	}
	return platform.ListResponse{}, platform.ErrUnavailable
}

type acceptInput struct {
	name string
	base Revision
}

// acceptOutput is the accepted revision, or 0 for a conflict.
type acceptOutput struct{ revision Revision }

// versionModel is the sequential specification of one object: a proposal is
// accepted exactly if its base is the object's version.
var versionModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byName := map[string][]porcupine.Operation{}
		for _, o := range history {
			name := o.Input.(acceptInput).name
			byName[name] = append(byName[name], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range byName {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() any { return Revision(0) },
	Step: func(state, input, output any) (bool, any) {
		version, base, revision := state.(Revision), input.(acceptInput).base, output.(acceptOutput).revision
		if revision == 0 {
			return version != base, state
		}
		return version == base && revision > version, revision
	},
}

// Guards against lost, duplicated and reordered changes when operators write
// concurrently at several entries and the store loses answers and has outages.
func TestAcceptIsLinearizable(t *testing.T) {
	const seed, entries, operators, rounds = 20261204, 3, 6, 40
	t.Logf("seed %d", seed)
	fake := newFakeObjects(seed, 0.15)
	ctx, cancel := context.WithCancel(context.Background())
	var followers, workers sync.WaitGroup
	stores := make([]*Store, entries)
	for i := range stores {
		s := NewStore(fake, NewReplica(), time.Now, nil)
		stores[i] = s
		followers.Go(func() { _ = s.Follow(ctx) })
	}
	var mu sync.Mutex
	var history []porcupine.Operation
	unresolved := map[string]porcupine.Operation{}
	results := map[string]Revision{}
	start := time.Now()
	for w := range operators {
		random := rand.New(rand.NewPCG(seed, uint64(w)))
		workers.Go(func() {
			for i := range rounds {
				time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
				s := stores[random.IntN(entries)]
				name := fmt.Sprintf("t%d", random.IntN(3))
				o, _ := s.State().Object(KindTeam, name)
				p := teamProposal(fmt.Sprintf("w%d-%d", w, i), name, o.Version)
				op := porcupine.Operation{ClientId: w, Input: acceptInput{name, o.Version}, Call: time.Since(start).Nanoseconds()}
				c, err := s.Accept(ctx, p)
				for tries := 0; tries < 2 && errors.Is(err, ErrUnknownOutcome); tries++ {
					c, err = stores[random.IntN(entries)].Accept(ctx, p)
				}
				op.Return = time.Since(start).Nanoseconds()
				op.Output = acceptOutput{c.Revision}
				var conflict *ConflictError
				mu.Lock()
				switch {
				case err == nil:
					results[p.ID] = c.Revision
					history = append(history, op)
				case errors.As(err, &conflict):
					history = append(history, op)
				default:
					assert.Check(t, errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknownOutcome), "%v", err)
					unresolved[p.ID] = op
				}
				mu.Unlock()
			}
		})
	}
	outages := make(chan struct{})
	go func() {
		defer close(outages)
		for range 4 {
			time.Sleep(100 * time.Millisecond)
			fake.setDown(true)
			time.Sleep(100 * time.Millisecond)
			fake.setDown(false)
		}
	}()
	workers.Wait()
	<-outages
	fake.delayedWrites.Wait()

	fake.mu.Lock()
	logLength := len(fake.objects)
	fake.mu.Unlock()
	loggedIDs := map[string]bool{}
	for _, s := range stores {
		waitCtx, cancelWait := context.WithTimeout(ctx, 30*time.Second)
		assert.NilError(t, s.Replica().WaitForRevision(waitCtx, Revision(logLength)))
		cancelWait()
	}
	cancel()
	followers.Wait()
	changes, ok := stores[0].Replica().ChangesSince(0)
	assert.Assert(t, ok)
	end := time.Since(start).Nanoseconds()
	for _, c := range changes {
		assert.Assert(t, !loggedIDs[c.ID], "change %s is in the log twice", c.ID)
		loggedIDs[c.ID] = true
		if op, ok := unresolved[c.ID]; ok {
			op.Output, op.Return = acceptOutput{c.Revision}, end
			history = append(history, op)
		} else {
			assert.Equal(t, results[c.ID], c.Revision)
		}
	}
	for id := range results {
		assert.Assert(t, loggedIDs[id], "accepted change %s is not in the log", id)
	}
	t.Logf("%d operations, %d accepted, %d without an answer", operators*rounds, len(changes), len(unresolved))
	result := porcupine.CheckOperationsTimeout(versionModel, history, time.Minute)
	assert.Equal(t, result, porcupine.Ok)
}

// Guards against a repeated change that is applied twice and against a change
// with other content that is accepted under a used id.
func TestAcceptRepeated(t *testing.T) {
	ctx := context.Background()
	fake := newFakeObjects(1, 0)
	a, b := NewStore(fake, NewReplica(), time.Now, nil), NewStore(fake, NewReplica(), time.Now, nil)
	first, err := a.Accept(ctx, teamProposal("c1", "a", 0, 1))
	assert.NilError(t, err)
	_, err = a.Accept(ctx, teamProposal("c2", "a", 1, 2))
	assert.NilError(t, err)
	repeated, err := b.Accept(ctx, teamProposal("c1", "a", 0, 1))
	assert.NilError(t, err)
	assert.DeepEqual(t, repeated, first)
	_, err = b.Accept(ctx, teamProposal("c1", "a", 0, 3))
	assert.ErrorIs(t, err, ErrChangeIDReused)
	_, err = b.Accept(ctx, teamProposal("c1", "b", 0, 1))
	assert.ErrorIs(t, err, ErrChangeIDReused)
	repeated, err = b.Accept(ctx, teamProposal("c1", "a", 2, 1))
	assert.NilError(t, err)
	assert.DeepEqual(t, repeated, first)
	fake.setDown(true)
	_, err = b.Accept(ctx, teamProposal("c3", "a", 2, 3))
	assert.ErrorIs(t, err, ErrUnavailable)
}

// Guards against a start that loses changes before or after a snapshot, old
// snapshots that are never deleted, and an incomplete audit trail or history.
func TestLoadSnapshotHistoryAudit(t *testing.T) {
	ctx := context.Background()
	fake := newFakeObjects(1, 0)
	a := NewStore(fake, NewReplica(), time.Now, nil)
	for i := range 300 {
		_, err := a.Accept(ctx, teamProposal(fmt.Sprint("c", i), "a", Revision(i), i))
		assert.NilError(t, err)
		if i%100 == 50 {
			assert.NilError(t, a.WriteSnapshot(ctx))
		}
	}
	b := NewStore(fake, NewReplica(), time.Now, nil)
	assert.NilError(t, b.Load(ctx))
	want, err := EncodeSnapshot(a.State().Snapshot())
	assert.NilError(t, err)
	got, err := EncodeSnapshot(b.State().Snapshot())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	assert.Equal(t, len(fake.objects), 300+keptSnapshots)
	audit, err := b.Audit(ctx, 10, 200)
	assert.NilError(t, err)
	assert.Equal(t, len(audit), 200)
	assert.Equal(t, audit[0].Revision, Revision(11))
	history, err := b.History(ctx, KindTeam, "a", 300)
	assert.NilError(t, err)
	assert.Equal(t, len(history), 300)
	assert.Equal(t, history[299].Revision, Revision(1))
}
