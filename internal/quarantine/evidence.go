package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// minCrashes is the number of instances that a part must have crashed before it is
	// quarantined. A part that was answered before the first crash must have crashed
	// minCrashesOfSound: when many instances are lost for another reason, most of the
	// requests that wait there have such parts only.
	minCrashes        = 3
	minCrashesOfSound = 5
	// minRounds and minRoundsOfSound are the numbers of crashes that must have followed
	// one another: each request was sent after the crash before. Instances that are lost
	// at the same moment make one round.
	minRounds        = 2
	minRoundsOfSound = 3
	// enoughCrashes is the number of instances that are enough in a single round, unless
	// the part was answered before.
	enoughCrashes = 5
	// minExplained is the share of the instances that ended since the first crash which the
	// part must explain, on average over the losses. Instances that end within sameLossTime
	// are one loss.
	minExplained = 0.6
	sameLossTime = 150 * time.Millisecond
	// minOtherAnswers is the number of requests without the part that must have been answered
	// while the evidence was enough. While nothing is answered, the crashes may have any cause.
	minOtherAnswers = 8
	// settleTime is the time for which the evidence must hold. In it, other gateways
	// report requests with the part that were answered.
	settleTime = 700 * time.Millisecond
	// crashMaxAge is how long a crash counts.
	crashMaxAge = 2 * time.Minute
	// maxCrashes is the number of crashes of a part that are remembered.
	maxCrashes = 8
	// sameEndTime is the difference up to which two records of the end of an instance are
	// of the same end: an instance may start again under the same name.
	sameEndTime = time.Second
	// maxEnds is the number of ended instances that are remembered.
	maxEnds = 512
	// maxInstanceBytes bounds the names of instances that are remembered.
	maxInstanceBytes = 32
)

// crash is the end of an instance while a request with a part waited for the beginning
// of its answer.
type crash struct {
	instance string
	// sentAt is when the request was sent, endedAt when the instance ended.
	sentAt, endedAt time.Time
	// cleared is true if another request with the part was answered since sentAt.
	cleared bool
}

// suspect is a part that was in the prompt of a request under which an instance ended.
type suspect struct {
	// crashes holds the crashes by the time of their end.
	crashes []crash
	// soundBefore is true if a request with the part was answered before the first crash.
	soundBefore bool
	// convincingSince is when the evidence became enough, zero if it is not.
	convincingSince time.Time
	// timesReported is the number of reports since the latest change.
	timesReported int
}

// uncleared returns the crashes that count.
func (s *suspect) uncleared(now time.Time) []crash {
	var list []crash
	for _, c := range s.crashes {
		if !c.cleared && now.Sub(c.endedAt) <= crashMaxAge {
			list = append(list, c)
		}
	}
	return list
}

// rounds returns the number of crashes that followed one another.
func rounds(crashes []crash) int {
	count := 0
	var ended time.Time
	for _, c := range crashes {
		if count == 0 || c.sentAt.After(ended) {
			count++
			ended = c.endedAt
		}
	}
	return count
}

// enough reports whether the crashes are so many that the part may crash instances.
func (s *suspect) enough(crashes []crash) bool {
	n, following := len(crashes), rounds(crashes)
	if s.soundBefore {
		return n >= minCrashesOfSound && following >= minRoundsOfSound
	}
	return n >= minCrashes && following >= minRounds || n >= enoughCrashes
}

// convincing reports whether the crashes of a suspect show that its part crashes
// instances.
func (r *Register) convincing(s *suspect, now time.Time) bool {
	crashes := s.uncleared(now)
	return s.enough(crashes) && r.explained(crashes) >= minExplained
}

// explained returns the share of the ended instances that a part explains, on average over
// the losses since the first of its crashes.
func (r *Register) explained(crashes []crash) float64 {
	own := func(e end) bool {
		return slices.ContainsFunc(crashes, func(c crash) bool { return e.is(c.instance, c.endedAt) })
	}
	ends := r.endsSince(crashes[0].endedAt.Add(-sameLossTime))
	losses, sum := 0, 0.0
	for first := 0; first < len(ends); {
		next, explained := first, 0
		for ; next < len(ends) && (next == first || ends[next].at.Sub(ends[next-1].at) <= sameLossTime); next++ {
			if own(ends[next]) {
				explained++
			}
		}
		sum += float64(explained) / float64(next-first)
		losses++
		first = next
	}
	return sum / float64(max(losses, 1))
}

// end is the end of an instance under any request that waited for its answer.
type end struct {
	instance string
	at       time.Time
}

// is reports whether a record of the end of an instance is of this end.
func (e end) is(instance string, at time.Time) bool {
	return e.instance == instance && e.at.Sub(at).Abs() <= sameEndTime
}

// endsSince returns the ends of instances from a time on, in their order.
func (r *Register) endsSince(from time.Time) []end {
	var list []end
	for _, e := range r.ends {
		if !e.at.Before(from) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b end) int {
		return cmp.Or(a.at.Compare(b.at), strings.Compare(a.instance, b.instance))
	})
	return list
}

// recordEnd records the end of an instance. Of two records the earlier time is kept.
func (r *Register) recordEnd(instance string, at time.Time) {
	known := slices.IndexFunc(r.ends, func(e end) bool { return e.is(instance, at) })
	switch {
	case known >= 0 && at.Before(r.ends[known].at):
		r.ends[known].at = at
	case known < 0 && len(r.ends) < maxEnds:
		r.ends = append(r.ends, end{instance, at})
	}
}

// evaluate quarantines a part if the evidence has been enough for settleTime.
func (r *Register) evaluate(part Part, now time.Time) {
	s := r.suspects[part]
	if s == nil {
		return
	}
	if d := r.decisions[part]; d != nil && d.quarantined {
		return
	}
	switch {
	case !r.convincing(s, now):
		s.convincingSince = time.Time{}
	case s.convincingSince.IsZero():
		s.convincingSince = now
	case now.Sub(s.convincingSince) >= settleTime && r.answered.since(s.convincingSince, minOtherAnswers):
		// The crashes are not cleared, so that none of these answers was to a request with
		// the part.
		r.decide(part, decision{quarantined: true, at: now, instances: len(s.uncleared(now))}, FromEvidence)
	}
}

// RecordCrash records that an instance ended while a request waited for the beginning of
// its answer.
func (r *Register) RecordCrash(instance string, parts []Part, sentAt, endedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, part := range parts {
		answeredAt, answered := r.answered.latest(part)
		c := crash{instance: instance, sentAt: sentAt, endedAt: endedAt, cleared: answeredAt.After(sentAt)}
		r.addCrash(part, c, answered)
		r.evaluate(part, endedAt)
	}
}

// addCrash adds a crash unless it is known. Of two records of a crash the earlier times
// are kept: each gateway that passes a record on delays it.
func (r *Register) addCrash(part Part, c crash, soundBefore bool) {
	c.instance = c.instance[:min(len(c.instance), maxInstanceBytes)]
	r.recordEnd(c.instance, c.endedAt)
	s := r.suspects[part]
	if s == nil {
		if c.cleared {
			return
		}
		r.makeRoomForSuspect()
		s = &suspect{}
		r.suspects[part] = s
	}
	s.soundBefore = s.soundBefore || soundBefore
	at := slices.IndexFunc(s.crashes, func(k crash) bool { return end{k.instance, k.endedAt}.is(c.instance, c.endedAt) })
	if at >= 0 {
		known := &s.crashes[at]
		if c.cleared && !known.cleared {
			known.cleared, s.timesReported = true, 0
		}
		if c.endedAt.Before(known.endedAt) {
			known.sentAt, known.endedAt = c.sentAt, c.endedAt
		}
	} else {
		s.crashes, s.timesReported = append(s.crashes, c), 0
	}
	slices.SortFunc(s.crashes, func(a, b crash) int { return a.endedAt.Compare(b.endedAt) })
	if len(s.crashes) > maxCrashes {
		s.crashes = s.crashes[len(s.crashes)-maxCrashes:]
	}
}

// makeRoomForSuspect removes the suspect with the fewest crashes that count, of these the
// one whose latest crash is the longest ago, if there are too many suspects.
func (r *Register) makeRoomForSuspect() {
	if len(r.suspects) < maxSuspects {
		return
	}
	var least Part
	var leastCount int
	var leastAt time.Time
	for part, s := range r.suspects {
		count, at := 0, time.Time{}
		for _, c := range s.crashes {
			if !c.cleared {
				count, at = count+1, c.endedAt
			}
		}
		if least == "" || count < leastCount || count == leastCount && at.Before(leastAt) {
			least, leastCount, leastAt = part, count, at
		}
	}
	delete(r.suspects, least)
}

// RecordAnswered records that an instance began to answer a request at begunAt and did
// not end. Crashes under requests with these parts that were sent earlier have another
// cause.
func (r *Register) RecordAnswered(parts []Part, begunAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(parts) > 0 {
		r.answered.recordTime(begunAt)
	}
	for _, part := range parts {
		r.answered.record(part, begunAt)
		r.clear(part, begunAt)
	}
}

// clear marks the crashes of a part under requests that were sent before it was answered.
func (r *Register) clear(part Part, answeredAt time.Time) {
	s := r.suspects[part]
	if s == nil {
		return
	}
	for i := range s.crashes {
		if c := &s.crashes[i]; !c.cleared && answeredAt.After(c.sentAt) {
			c.cleared, s.timesReported = true, 0
		}
	}
	r.releaseIfCleared(part, s, answeredAt)
}

// releaseIfCleared ends a quarantine that no crash supports any longer.
func (r *Register) releaseIfCleared(part Part, s *suspect, at time.Time) {
	d := r.decisions[part]
	if d == nil || !d.quarantined {
		return
	}
	if slices.ContainsFunc(s.crashes, func(c crash) bool { return !c.cleared }) {
		return
	}
	r.decide(part, decision{at: at, stored: true}, FromAnswer)
}

// prune removes the suspects whose crashes no longer count. Crashes that support a
// quarantine are kept, so that a late answer can end it.
func (r *Register) prune(now time.Time) {
	r.ends = slices.DeleteFunc(r.ends, func(e end) bool { return now.Sub(e.at) > crashMaxAge })
	for part, s := range r.suspects {
		if d := r.decisions[part]; d != nil && d.quarantined {
			continue
		}
		s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return now.Sub(c.endedAt) > crashMaxAge })
		if len(s.crashes) == 0 {
			delete(r.suspects, part)
		}
	}
}

func compareParts(a, b Part) int { return strings.Compare(string(a), string(b)) }

// answeredParts remembers when requests with a part were last answered, for a bounded
// number of parts.
type answeredParts struct {
	// recent holds the parts that were answered since older was replaced.
	recent, older map[Part]time.Time
	// times holds when the latest answers to any request began, in a ring; next is the
	// index of the oldest.
	times [minOtherAnswers]time.Time
	next  int
}

// maxRecentAnswered is the number of parts after which the older half is forgotten.
const maxRecentAnswered = 4096

func newAnsweredParts() answeredParts { return answeredParts{recent: make(map[Part]time.Time)} }

func (a *answeredParts) record(part Part, at time.Time) {
	if known, _ := a.latest(part); known.After(at) {
		at = known
	}
	if len(a.recent) >= maxRecentAnswered {
		a.older, a.recent = a.recent, make(map[Part]time.Time)
	}
	a.recent[part] = at
}

// recordTime records when an answer to any request began.
func (a *answeredParts) recordTime(at time.Time) {
	a.times[a.next] = at
	a.next = (a.next + 1) % len(a.times)
}

// since reports whether count of the latest answers, at most minOtherAnswers, began after
// a time.
func (a *answeredParts) since(t time.Time, count int) bool {
	for _, at := range a.times {
		if at.After(t) {
			count--
		}
	}
	return count <= 0
}

// latest returns when the latest answer to a request with a part began.
func (a *answeredParts) latest(part Part) (time.Time, bool) {
	if at, known := a.recent[part]; known {
		return at, true
	}
	at, known := a.older[part]
	return at, known
}

// compareSuspects orders suspects for a report: those that were reported least often
// since their latest change first, of these the ones with the most crashes.
func compareSuspects(a, b *suspect) int {
	return cmp.Or(cmp.Compare(a.timesReported, b.timesReported), cmp.Compare(len(b.crashes), len(a.crashes)))
}
