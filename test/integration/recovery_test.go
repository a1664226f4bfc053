package integration

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// stallTimeout is how long the client of the measurement waits for the next
// token of a frozen entry before it repeats the request at the other entry. A
// frozen entry keeps its connections, so the client has no other sign.
const stallTimeout = time.Second

// recovery measures one interrupted answer.
type recovery struct {
	c      *cluster
	ctx    context.Context
	prompt string
	// fault is brought about when the caller has received position tokens.
	position int
	fault    func(a *answer)
	// stall is the time without a token after which the client gives up.
	stall time.Duration

	hit time.Time
	// fresh holds the arrival of each token that the caller had not received
	// before; repeated tokens of a second request don't count.
	fresh []time.Time
}

// run sends the request and repeats it as a whole at the other entry until the
// answer is complete. It returns the time from the fault to the first token
// after the interruption. Tokens that had already left the faulty process can
// still arrive; the interruption is the longest gap after the fault.
func (r *recovery) run(b *testing.B, profile string) time.Duration {
	for i := 0; ; i++ {
		ctx, cancel := context.WithCancel(r.ctx)
		stall := time.AfterFunc(r.stall, cancel)
		a := r.c.chat(ctx, r.c.entries[i%2], profile, r.prompt, func(a *answer, n int) {
			if n > len(r.fresh) {
				r.fresh = append(r.fresh, time.Now())
			}
			if r.hit.IsZero() && n == r.position {
				r.fault(a)
				r.hit = time.Now()
			}
			stall.Reset(r.stall)
		})
		stall.Stop()
		cancel()
		if a.done {
			if err := a.whole(); err != nil {
				b.Fatal(err)
			}
			break
		}
	}
	longest, next := time.Duration(0), time.Duration(0)
	for i := r.position; i < len(r.fresh); i++ {
		if gap := r.fresh[i].Sub(r.fresh[i-1]); gap > longest {
			longest, next = gap, r.fresh[i].Sub(r.hit)
		}
	}
	return next
}

// BenchmarkRecovery measures the time from a fault to the next correct token at
// the caller, as median, 95th percentile and worst, beside the restart of the
// whole request. Each iteration is one fault in a 30-token answer.
func BenchmarkRecovery(b *testing.B) {
	for _, m := range []struct {
		name, profile string
		entry, freeze bool
	}{
		{"stage killed/resume", "speech", false, false},
		{"stage killed/restart", "restart", false, false},
		{"stage frozen/resume", "speech", false, true},
		{"stage frozen/restart", "restart", false, true},
		{"entry killed/restart", "speech", true, false},
		{"entry frozen/restart", "speech", true, true},
	} {
		b.Run(m.name, func(b *testing.B) {
			random := rand.New(rand.NewPCG(4, 0))
			c := start(b, shape{entries: 2, replicas: 2, stepCost: 5 * time.Millisecond})
			var samples []time.Duration
			for i := range b.N {
				var hit *process
				stage := random.IntN(stages)
				stall := patience
				if m.entry && m.freeze {
					stall = stallTimeout
				}
				r := recovery{c: c, ctx: b.Context(), prompt: prompt(i, 30), stall: stall, position: 5 + random.IntN(20), fault: func(a *answer) {
					hit = c.entries[0]
					if !m.entry {
						hit = c.stageOf(a.id, stage, nil).process
					}
					if m.freeze {
						hit.freeze()
					} else {
						hit.kill()
					}
				}}
				samples = append(samples, r.run(b, m.profile))
				if m.freeze {
					hit.thaw()
				} else {
					hit.start()
				}
				c.ready()
			}
			slices.Sort(samples)
			report := func(unit string, d time.Duration) { b.ReportMetric(float64(d.Microseconds())/1000, unit) }
			report("median-ms", samples[len(samples)/2])
			report("p95-ms", samples[(len(samples)*95+99)/100-1])
			report("worst-ms", samples[len(samples)-1])
			b.ReportMetric(0, "ns/op")
		})
	}
}
