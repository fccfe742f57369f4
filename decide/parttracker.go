package decide

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wardturn"
)

// PartTracker decides which requests are refused because a part of their prompts crashes
// upstreams, whatever else they hold. It counts the crashes of parts as a CrashTracker does
// those of contents, from the requests whose answers had not begun when an upstream ended.
//
// The other parts of these requests are suspected too. As in group testing, an answer that
// begins clears all parts of its prompt, and what is left is decoded greedily: the part with
// the most crashes is refused, and crashes that it explains no longer count against others
// (SCOMP of Aldridge, Baldassini and Johnson: "Group Testing Algorithms: Bounds and
// Simulations", 2014; after Dorfman, 1943). A few requests with a refused part pass as
// trials, so that one that is refused wrongly is cleared by their answers.
type PartTracker struct {
	limit    int
	counts   *CrashTracker
	suspects map[wardturn.ContentID]bool // parts with at least limit crashes
	refused  map[wardturn.ContentID]bool // those that explain crashes no other one explains
	trials   map[wardturn.ContentID]*partTrials
	// answered and cleared hold when each part was answered here, and when another gateway
	// said so, within answeredGrace.
	answered map[wardturn.ContentID]time.Time
	cleared  map[wardturn.ContentID]time.Time
}

// partTrials is the state of the trials of a refused part.
type partTrials struct {
	started int
	latest  time.Time // when the latest one started
	next    time.Time // from when on the next one may start
	retried bool      // a trial that was not run has been made up for
}

const (
	// partCrashSpacing is the time in which the ends of several upstreams under a part are
	// taken for one failure, such as a loss of power.
	partCrashSpacing = 200 * time.Millisecond
	// clearedGrace is how long a part does not become suspect after another gateway has
	// cleared it. It keeps the gateways from reporting and clearing the same part in turn.
	clearedGrace = 500 * time.Millisecond
	// answerWait is how long an end of an upstream under a part that was answered shortly
	// before waits for a further answer. Without one it counts: the part may have turned bad.
	answerWait = time.Second
	// trialRetryDelay is the delay after which a trial that was not run is repeated.
	trialRetryDelay = time.Second
	// trialSpacing is the time in which announcements of trials of a part are taken for one.
	trialSpacing = 500 * time.Millisecond
)

// trialPauses holds the pauses before the trials of a refused part: after it was refused,
// and after the previous trial. The first two are over within 3 s.
var trialPauses = []time.Duration{0, 2 * time.Second, 10 * time.Second, 60 * time.Second}

// NewPartTracker returns a PartTracker without any recorded crash.
func NewPartTracker(cfg CrashConfig) *PartTracker {
	counts := NewCrashTracker(cfg)
	counts.spacing = partCrashSpacing
	counts.held = make(map[wardturn.Crash]time.Time)
	return &PartTracker{
		limit:    cfg.Limit,
		counts:   counts,
		suspects: make(map[wardturn.ContentID]bool),
		refused:  make(map[wardturn.ContentID]bool),
		trials:   make(map[wardturn.ContentID]*partTrials),
		answered: make(map[wardturn.ContentID]time.Time),
		cleared:  make(map[wardturn.ContentID]time.Time),
	}
}

// PartDecision is the decision about a request whose prompt has certain parts.
type PartDecision struct {
	Refused    wardturn.ContentID // the refused part; empty: none
	Trial      bool               // the request may be sent as a trial of that part
	RetryAfter time.Duration      // until the next trial, or until the part is forgotten
}

// Decide decides about a request by the parts of its prompt. Only requests without a
// further suspect may be trials, since a crash would not show which part caused it.
func (t *PartTracker) Decide(now time.Time, parts []wardturn.ContentID) PartDecision {
	if len(t.refused) == 0 {
		return PartDecision{}
	}
	var d PartDecision
	suspects := 0
	for _, id := range parts {
		if t.suspects[id] {
			suspects++
		}
		left, _ := t.counts.Refuses(now, id)
		if t.refused[id] && left > 0 && (d.Refused == "" || left > d.RetryAfter) {
			d.Refused, d.RetryAfter = id, left
		}
	}
	trials := t.trials[d.Refused]
	if d.Refused == "" || suspects > 1 || trials == nil || trials.started >= len(trialPauses) {
		return d
	}
	if wait := trials.next.Sub(now); wait > 0 {
		d.RetryAfter = min(d.RetryAfter, wait)
		return d
	}
	d.Trial = true
	return d
}

// CountRequest counts a request for its suspected parts. Of two parts that explain the same
// crashes, the one in fewer requests is the better explanation: the other one would have
// caused more.
func (t *PartTracker) CountRequest(parts []wardturn.ContentID) {
	for _, id := range parts {
		if s := t.counts.contents[id]; s != nil {
			s.requests++
		}
	}
}

// StartTrial records that this gateway or another one sends a trial of a part.
func (t *PartTracker) StartTrial(now time.Time, id wardturn.ContentID) {
	if t.counts.contents[id] == nil {
		return
	}
	trials := t.trials[id]
	if trials == nil {
		trials = &partTrials{}
		t.trials[id] = trials
	}
	if now.Sub(trials.latest) < trialSpacing {
		return // announced a second time, or started at two gateways at once
	}
	trials.latest = now
	trials.started++
	if trials.started < len(trialPauses) {
		trials.next = now.Add(trialPauses[trials.started])
	}
}

// TrialNotRun records that no upstream has run a trial of this gateway. It is repeated,
// but only once: even a trial that is not run has reached an upstream.
func (t *PartTracker) TrialNotRun(now time.Time, id wardturn.ContentID) {
	if trials := t.trials[id]; trials != nil && trials.started > 0 && !trials.retried {
		trials.started--
		trials.retried = true
		trials.next = now.Add(trialRetryDelay)
	}
}

// RequestBroke records that the connection of a request to an upstream broke before an answer
// had begun. It returns the new crashes if the upstream is known to have ended.
func (t *PartTracker) RequestBroke(now time.Time, parts []wardturn.ContentID, id wardturn.UpstreamID) []wardturn.Crash {
	var fresh []wardturn.Crash
	for _, part := range parts {
		fresh = append(fresh, t.counts.RequestBroke(now, part, id)...)
	}
	return fresh
}

// UpstreamEnded records that an upstream has ended without notice. It returns the new
// crashes that follow from this.
func (t *PartTracker) UpstreamEnded(now time.Time, id wardturn.UpstreamID) []wardturn.Crash {
	return t.counts.UpstreamEnded(now, id)
}

// CountHeld counts the ends under parts that were answered shortly before and have not been
// since. It returns the new crashes that follow from this.
func (t *PartTracker) CountHeld(now time.Time) []wardturn.Crash {
	var due []wardturn.Crash
	for crash, at := range t.counts.held {
		if now.Sub(at) < answerWait {
			continue
		}
		due = append(due, crash)
		delete(t.counts.held, crash)
		delete(t.counts.answered, crash.Content)
	}
	slices.SortFunc(due, compareCrashes)
	return t.counts.observed(now, due)
}

// dropHeld forgets the ends under a part that was answered after them.
func (t *PartTracker) dropHeld(id wardturn.ContentID) {
	maps.DeleteFunc(t.counts.held, func(crash wardturn.Crash, _ time.Time) bool {
		return crash.Content == id
	})
}

// AddReported records crashes observed by another gateway. It returns the parts among them
// that were recently answered here, which the others may not know.
func (t *PartTracker) AddReported(now time.Time, list []wardturn.Crash) (answered []wardturn.ContentID) {
	for _, crash := range list {
		if at, ok := t.answered[crash.Content]; ok && now.Sub(at) < answerWait && !slices.Contains(answered, crash.Content) {
			answered = append(answered, crash.Content)
		}
	}
	t.counts.AddReported(now, list)
	return answered
}

// AddRecorded records crashes that were read from the store. A part that becomes suspect by
// them is not tried at once: other gateways have done so, and each trial of a part that does
// crash upstreams has added a crash. It returns the crashes of parts that were answered here
// shortly before or since, whose records are to be deleted.
func (t *PartTracker) AddRecorded(now time.Time, list []wardturn.RecordedCrash) (refuted []wardturn.Crash) {
	for _, r := range list {
		if at, ok := t.answered[r.Content]; ok && r.At.Sub(at) < answerWait {
			refuted = append(refuted, r.Crash)
		}
	}
	for _, crash := range t.counts.AddRecorded(now, list) {
		id := crash.Content
		s := t.counts.contents[id]
		if s.counted < t.limit || t.suspects[id] {
			continue
		}
		trials := &partTrials{
			started: min(1+s.counted-t.limit, len(trialPauses)),
		}
		if trials.started < len(trialPauses) {
			trials.next = s.latest.Add(trialPauses[trials.started])
		}
		t.trials[id] = trials
	}
	return refuted
}

// DeleteRecords schedules the deletion of records from the store.
func (t *PartTracker) DeleteRecords(list []wardturn.Crash) {
	for _, crash := range list {
		t.counts.pendingDeletes[crash] = true
	}
}

// Answered records that answers to requests with these parts began. It returns the parts
// that were suspected.
func (t *PartTracker) Answered(now time.Time, parts []wardturn.ContentID) (suspected []wardturn.ContentID) {
	for _, id := range parts {
		t.answered[id] = now
		t.dropHeld(id)
		if t.counts.Answered(now, id) {
			suspected = append(suspected, id)
		}
	}
	return suspected
}

// ClearReported removes parts that were answered at another gateway, which deletes their
// records.
func (t *PartTracker) ClearReported(now time.Time, parts []wardturn.ContentID) {
	t.counts.ClearReported(parts)
	for _, id := range parts {
		t.cleared[id] = now
		t.dropHeld(id)
		// The grace of answeredGrace after that time ends clearedGrace from now.
		at := now.Add(clearedGrace - answeredGrace)
		t.counts.answered[id] = latest(t.counts.answered[id], at)
	}
}

// ClearedSince reports whether another gateway has cleared a part since a time.
func (t *PartTracker) ClearedSince(at time.Time, id wardturn.ContentID) bool {
	cleared, ok := t.cleared[id]
	return ok && !cleared.Before(at)
}

// RecordsRemoved removes crashes whose records were deleted from the store.
func (t *PartTracker) RecordsRemoved(list []wardturn.Crash) {
	t.counts.RecordsRemoved(list)
}

// StoreRestored is that of CrashTracker.
func (t *PartTracker) StoreRestored(now time.Time) {
	t.counts.StoreRestored(now)
}

// PendingWrites is that of CrashTracker.
func (t *PartTracker) PendingWrites(now time.Time, all bool) (crashes, deletes []wardturn.Crash) {
	return t.counts.PendingWrites(now, all)
}

// Written is that of CrashTracker.
func (t *PartTracker) Written(crashes, deletes []wardturn.Crash) {
	t.counts.Written(crashes, deletes)
}

// Sweep forgets what no longer counts.
func (t *PartTracker) Sweep(now time.Time) {
	t.counts.Sweep(now)
	deleteOlder(now, t.answered, answeredGrace)
	deleteOlder(now, t.cleared, answeredGrace)
}

// Levels returns the number of parts with a crash and the number of refused ones.
func (t *PartTracker) Levels() (suspected, refused int) {
	return len(t.counts.contents), len(t.refused)
}

// Update determines which parts are refused, after crashes were added or removed. It returns
// those that were not refused before.
func (t *PartTracker) Update(now time.Time) (fresh []wardturn.ContentID) {
	clear(t.suspects)
	for id, s := range t.counts.contents {
		if s.counted >= t.limit {
			t.suspects[id] = true
		}
	}
	maps.DeleteFunc(t.trials, func(id wardturn.ContentID, _ *partTrials) bool {
		return t.counts.contents[id] == nil
	})
	refused := t.explain()
	for _, id := range refused {
		if t.refused[id] {
			continue
		}
		fresh = append(fresh, id)
		if t.trials[id] == nil {
			t.trials[id] = &partTrials{
				next: now.Add(trialPauses[0]),
			}
		}
	}
	clear(t.refused)
	for _, id := range refused {
		t.refused[id] = true
	}
	return fresh
}

// explain returns the suspects that explain the crashes: repeatedly the one that explains
// the most crashes which no earlier one explains, until all are explained.
func (t *PartTracker) explain() []wardturn.ContentID {
	var chosen []wardturn.ContentID
	explained := make(map[wardturn.UpstreamID]bool)
	left := slices.Sorted(maps.Keys(t.suspects))
	for len(left) > 0 {
		best := slices.MaxFunc(left, func(x, y wardturn.ContentID) int {
			sx, sy := t.counts.contents[x], t.counts.contents[y]
			return cmp.Or(cmp.Compare(sx.unexplained(explained), sy.unexplained(explained)), cmp.Compare(sy.requests, sx.requests))
		})
		s := t.counts.contents[best]
		if s.unexplained(explained) == 0 {
			break
		}
		chosen = append(chosen, best)
		for id := range s.crashes {
			explained[id] = true
		}
		left = slices.DeleteFunc(left, func(id wardturn.ContentID) bool {
			return id == best
		})
	}
	return chosen
}

// unexplained returns the number of counted crashes of upstreams that are not in explained.
func (s *suspectContent) unexplained(explained map[wardturn.UpstreamID]bool) int {
	n := 0
	for id, state := range s.crashes {
		if !state.simultaneous && !explained[id] {
			n++
		}
	}
	return n
}
