package decide

import (
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
	pauses  []time.Duration // before each of them, after the one before
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
	// contradictionWindow is how long after an answer a report of a crash is contradicted if
	// the gateway that reports it has not waited for further answers.
	contradictionWindow = 500 * time.Millisecond
	// trialRetryDelay is the delay after which a trial that was not run is repeated.
	trialRetryDelay = time.Second
	// trialSpacing is the time in which announcements of trials of a part are taken for one.
	trialSpacing = 500 * time.Millisecond
)

// toleratedCrashes is the number of upstreams that a part may crash. Of the requests sent
// later than 3 s after that, at most three may reach upstreams.
const toleratedCrashes = 5

var (
	// trialPauses holds the pauses before the trials of a refused part: after it was refused,
	// and after the previous trial. The first two are over within 3 s.
	trialPauses = []time.Duration{0, 2 * time.Second, 10 * time.Second, 60 * time.Second}
	// lateTrialPauses holds those for a part with toleratedCrashes before it was refused.
	lateTrialPauses = []time.Duration{0, 10 * time.Second, time.Hour}
)

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
	if d.Refused == "" || suspects > 1 || trials == nil || trials.started >= len(trials.pauses) {
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
		trials = &partTrials{
			pauses: trialPauses,
		}
		t.trials[id] = trials
	}
	if now.Sub(trials.latest) < trialSpacing {
		return // announced a second time, or started at two gateways at once
	}
	trials.latest = now
	trials.started++
	if trials.started < len(trials.pauses) {
		trials.next = now.Add(trials.pauses[trials.started])
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

// HeldCrashes are crashes under the end of one upstream.
type HeldCrashes struct {
	At      time.Time // when it was known to have ended
	Crashes []wardturn.Crash
}

// CountHeld counts the ends under parts that were answered shortly before and have not been
// since. It returns the new crashes that follow from this, in order of the ends.
func (t *PartTracker) CountHeld(now time.Time) []HeldCrashes {
	due := make(map[time.Time][]wardturn.Crash)
	for crash, at := range t.counts.held {
		if now.Sub(at) < answerWait {
			continue
		}
		due[at] = append(due[at], crash)
		delete(t.counts.held, crash)
		delete(t.counts.answered, crash.Content)
	}
	var list []HeldCrashes
	for _, at := range slices.SortedFunc(maps.Keys(due), time.Time.Compare) {
		slices.SortFunc(due[at], compareCrashes)
		h := HeldCrashes{
			At: at,
		}
		for _, crash := range due[at] {
			if t.counts.add(now, at, crash) {
				t.counts.state(crash).observedHere = true
				h.Crashes = append(h.Crashes, crash)
			}
		}
		if len(h.Crashes) > 0 {
			list = append(list, h)
		}
	}
	return list
}

// dropHeld forgets the ends under parts that were answered after them.
func (t *PartTracker) dropHeld(parts []wardturn.ContentID) {
	if len(t.counts.held) == 0 {
		return
	}
	answered := make(map[wardturn.ContentID]bool, len(parts))
	for _, id := range parts {
		answered[id] = true
	}
	maps.DeleteFunc(t.counts.held, func(crash wardturn.Crash, _ time.Time) bool {
		return answered[crash.Content]
	})
}

// AddReported records crashes observed by another gateway under an upstream that ended some
// time ago. It returns the parts among them that were answered here, which the others may
// not know: after the end, or shortly before it if the other gateway has not waited for
// further answers.
func (t *PartTracker) AddReported(now time.Time, list []wardturn.Crash, ago time.Duration) (answered []wardturn.ContentID) {
	at := now.Add(-ago)
	waited := ago >= answerWait
	since := at
	if !waited {
		since = at.Add(-contradictionWindow)
	}
	seen := make(map[wardturn.ContentID]bool)
	for _, crash := range list {
		answeredAt, ok := t.answered[crash.Content]
		switch {
		case ok && answeredAt.After(since):
			if !seen[crash.Content] {
				seen[crash.Content] = true
				answered = append(answered, crash.Content)
			}
			continue
		case waited:
			delete(t.counts.answered, crash.Content)
		}
		t.counts.add(now, at, crash)
	}
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
			pauses:  trialPauses,
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
	t.dropHeld(parts)
	for _, id := range parts {
		t.counts.dropped += setBounded(t.answered, id, now)
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
	t.dropHeld(parts)
	for _, id := range parts {
		t.counts.dropped += setBounded(t.cleared, id, now)
		// The grace of answeredGrace after that time ends clearedGrace from now.
		at := now.Add(clearedGrace - answeredGrace)
		t.counts.dropped += setBounded(t.counts.answered, id, latest(t.counts.answered[id], at))
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

// TakeDropped is that of CrashTracker.
func (t *PartTracker) TakeDropped() int {
	return t.counts.TakeDropped()
}

// Levels returns the number of parts with a crash and the number of refused ones.
func (t *PartTracker) Levels() (suspected, refused int) {
	return len(t.counts.contents), len(t.refused)
}
