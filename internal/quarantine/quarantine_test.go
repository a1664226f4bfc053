package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time that many milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// load is a sequence of crashes and answers, as a gateway meets it.
type load func(r *Register)

// crashes makes instances end one after the other, every gap, from ms on.
func crashes(count, ms, gap int, parts ...Part) load {
	return func(r *Register) {
		for i := range count {
			ended := ms + (i+1)*gap
			r.RecordCrash(fmt.Sprintf("i-%d-%d", ms, i), parts, at(ended-gap+1), at(ended))
		}
	}
}

// lost makes instances end at the same moment.
func lost(count, ms int, parts ...Part) load {
	return func(r *Register) {
		for i := range count {
			r.RecordCrash(fmt.Sprintf("i-%d-%d", ms, i), parts, at(ms-100-i), at(ms+i))
		}
	}
}

// sameInstance makes the same instance end under the same part.
func sameInstance(ms int) load {
	return func(r *Register) { r.RecordCrash("i", []Part{"bad"}, at(ms-100), at(ms)) }
}

func answers(ms int, parts ...Part) load {
	return func(r *Register) { r.RecordAnswered(parts, at(ms)) }
}

// others answers requests without the parts of the test.
func others(ms int) load {
	return func(r *Register) {
		for range minOtherAnswers {
			r.RecordAnswered([]Part{"other"}, at(ms))
		}
	}
}

// decideOn gives the register the time to decide on a part, which it must quarantine.
func decideOn(part Part, ms int) load {
	return func(r *Register) {
		r.Check([]Part{part}, at(ms))
		if _, refused := r.Check([]Part{part}, at(ms).Add(settleTime)); !refused {
			panic("not quarantined")
		}
	}
}

// Guards against requests that crash instances and are not refused, and against sound
// requests that are refused because instances ended for another reason.
func TestQuarantine(t *testing.T) {
	tests := []struct {
		name string
		load []load
		want []Part
	}{
		{"no crash", []load{answers(0, "a")}, nil},
		{"one after the other", []load{crashes(3, 0, 200, "bad"), others(3000)}, []Part{"bad"}},
		{"nothing is answered", []load{answers(0, "first"), crashes(8, 100, 200, "first", "bad")}, nil},
		{"too few", []load{crashes(2, 0, 200, "bad"), others(3000)}, nil},
		{"five at the same moment", []load{lost(5, 1000, "bad"), others(3000)}, []Part{"bad"}},
		{"many instances lost, rare part", []load{lost(4, 1000, "rare"), others(3000)}, nil},
		{"many instances lost, usual part", []load{answers(0, "usual"), lost(30, 1000, "usual"), others(3000)}, nil},
		{"lost twice, usual part", []load{answers(0, "usual"), lost(30, 1000, "usual"), lost(30, 2000, "usual"), others(3000)}, nil},
		{"first part is answered in between", []load{
			crashes(3, 0, 200, "first", "bad"), answers(700, "first"), crashes(2, 700, 200, "first", "bad"), answers(1150, "first"), others(3000),
		}, []Part{"bad"}},
		{"harmful beside a mass loss", []load{
			lost(4, 90, "elsewhere"), crashes(5, 100, 200, "bad"), others(3000),
		}, []Part{"bad"}},
		{"on one of many lost instances, again and again", []load{
			lost(7, 500, "usual"), crashes(1, 300, 203, "rare"), lost(7, 1000, "usual"), crashes(1, 800, 203, "rare"),
			lost(7, 1500, "usual"), crashes(1, 1300, 203, "rare"), lost(7, 2000, "usual"), crashes(1, 1800, 203, "rare"),
			answers(2500, "usual"), others(3000),
		}, nil},
		{"the same instance, started again under its name", []load{
			sameInstance(0), sameInstance(3000), sameInstance(6000), others(6500),
		}, []Part{"bad"}},
		{"roll of releases", []load{
			answers(0, "usual"), crashes(1, 0, 500, "usual"), answers(600, "usual"), crashes(1, 700, 500, "usual"),
			answers(1300, "usual"), crashes(1, 1400, 500, "usual"), answers(2000, "usual"), crashes(2, 2000, 500, "usual"), others(3000),
		}, nil},
		{"sound part turns harmful", []load{answers(0, "turned"), crashes(5, 100, 200, "turned"), others(3000)}, []Part{"turned"}},
		{"answered after the decision", []load{
			crashes(3, 0, 200, "a"), others(1900), decideOn("a", 2000), answers(2900, "a"),
		}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewRegister()
			for _, l := range tt.load {
				l(r)
			}
			r.Report(at(7000))
			r.Report(at(7000 + int(settleTime.Milliseconds())))
			var got []Part
			for _, q := range r.List() {
				got = append(got, q.Part)
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// Guards against a quarantine that a flood of other parts pushes out, and against memory
// that grows with the parts that clients choose.
func TestFloodOfParts(t *testing.T) {
	r := NewRegister()
	crashes(4, 0, 100, "bad")(r)
	others(450)(r)
	r.Report(at(500))
	r.Report(at(500 + int(settleTime.Milliseconds())))
	for n := range 3 * maxSuspects {
		part := Part(fmt.Sprint("flood-", n))
		r.RecordCrash("i-1", []Part{part}, at(1500), at(1501))
		r.RecordAnswered([]Part{part + "x"}, at(1500))
	}
	_, refused := r.Check([]Part{"good", "bad"}, at(2000))
	assert.Assert(t, refused)
	assert.Assert(t, len(r.suspects) <= maxSuspects)
	assert.Assert(t, len(r.answered.recent)+len(r.answered.older) <= 2*maxRecentAnswered)
	assert.Assert(t, len(r.Report(at(2000)).Suspects) <= maxReportedSuspects)
}

// Guards against a release by an operator that the reports of other gateways undo, and
// against one that keeps a part released that crashes instances again.
func TestReleaseByAnOperator(t *testing.T) {
	a, b := NewRegister(), NewRegister()
	crashes(3, 0, 100, "bad")(a)
	exchange := func(ms int) {
		a.Merge(b.Report(at(ms)), at(ms+3))
		b.Merge(a.Report(at(ms)), at(ms+5))
	}
	exchange(1000)
	others(1500)(b)
	exchange(2000)
	exchange(2200)
	assert.Equal(t, len(b.List()), 1)
	assert.Assert(t, a.Release("bad", at(9000)))
	exchange(9100)
	exchange(9300)
	assert.Equal(t, len(a.List())+len(b.List()), 0)
	assert.DeepEqual(t, a.Outdated(0, at(9400)), []Part{"bad"})
	crashes(3, 10_000, 100, "bad")(b)
	exchange(11_000)
	others(11_500)(a)
	exchange(12_000)
	exchange(12_200)
	assert.Equal(t, len(a.List())+len(b.List()), 2)
}

// Guards against a decision that is forgotten when all gateways restart, and against one
// that an old list of the store brings back after its release.
func TestStoredDecisions(t *testing.T) {
	r := NewRegister()
	r.AddStored("bad", at(0))
	_, refused := r.Check([]Part{"bad"}, at(1))
	assert.Assert(t, refused)
	assert.Equal(t, len(r.Unstored(0, at(1))), 0)
	r.Release("bad", at(10))
	r.AddStored("bad", at(20))
	_, refused = r.Check([]Part{"bad"}, at(21))
	assert.Assert(t, !refused)
}

// Guards against decisions that the store lacks after a restore from a copy, against parts
// that the copy quarantines again after their release, and against all gateways writing at once.
func TestStoreRestored(t *testing.T) {
	const minAge = 5 * time.Second
	r := NewRegister()
	r.AddStored("lost", at(0))
	r.AddStored("kept", at(0))
	r.AddStored("released", at(0))
	assert.Assert(t, r.Release("released", at(1000)))
	r.MarkStored("released", false)
	r.StoreRestored(at(100_000))
	r.AddStored("kept", at(100_000))
	r.AddStored("released", at(100_000))
	_, refused := r.Check([]Part{"released"}, at(100_001))
	assert.Assert(t, !refused)
	assert.Equal(t, len(r.Unstored(minAge, at(104_000)))+len(r.Outdated(minAge, at(104_000))), 0)
	assert.DeepEqual(t, r.Unstored(0, at(104_000)), []Part{"lost"})
	assert.DeepEqual(t, r.Unstored(minAge, at(105_000)), []Part{"lost"})
	assert.DeepEqual(t, r.Outdated(minAge, at(105_000)), []Part{"released"})
	r.RemoveStored("released", at(105_000)) // another gateway removed it
	assert.Equal(t, len(r.Outdated(0, at(105_000))), 0)
	_, refused = r.Check([]Part{"lost"}, at(105_000))
	assert.Assert(t, refused)
	assert.Assert(t, r.Release("kept", at(106_000)))
	assert.DeepEqual(t, r.Outdated(minAge, at(106_000)), []Part{"kept"})
}
