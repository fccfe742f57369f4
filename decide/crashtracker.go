package decide

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wardturn"
)

// CrashTracker decides which requests are refused because they crash upstreams. A request
// is identified by its content, across all of its attempts. Once a number of upstreams
// have ended while they served the same content, the content is refused until it has
// caused no crash for a long time. Gateways report crashes to each other, and each does
// its own counting.
//
// Upstreams also end for other reasons, and every request they were serving becomes
// suspect along with the one that caused the crash. A successful response tells them
// apart: content that was answered successfully does not crash upstreams, so its crashes
// are cleared, and for a while it does not become suspect again.
type CrashTracker struct {
	cfg      CrashConfig
	contents map[wardturn.ContentID]*suspectContent
	answered map[wardturn.ContentID]time.Time // when each was last answered successfully
	// brokenRequests holds when requests broke off whose upstream may have ended.
	brokenRequests map[wardturn.Crash]time.Time
	ended          map[wardturn.UpstreamID]time.Time // when each upstream ended without notice
	pendingDeletes map[wardturn.Crash]bool           // records to be deleted from the store
	// spacing is the time after a crash of a content in which further ones belong to the
	// same failure and are not counted; zero: all are counted.
	spacing time.Duration
	// held holds crashes observed here of contents that were answered shortly before; nil:
	// these are dropped.
	held    map[wardturn.Crash]time.Time
	dropped int // entries that had no room since the last call of TakeDropped
}

// suspectContent is a content that was being served by upstreams when they ended.
type suspectContent struct {
	crashes  map[wardturn.UpstreamID]*crashState
	counted  int // crashes that are not simultaneous with an earlier one
	latest   time.Time
	requests int // requests since it was suspected; counted for parts of prompts only
}

// crashState is the state of one crash.
type crashState struct {
	observedHere bool // observed by this gateway, which has to record it
	recorded     bool
	simultaneous bool      // with a counted one: not counted and not recorded
	at           time.Time // when the upstream ended, or was known to have ended
	learnedAt    time.Time // when this gateway learned of it
}

func newCrash(content wardturn.ContentID, id wardturn.UpstreamID) wardturn.Crash {
	return wardturn.Crash{
		Content:  content,
		Upstream: id,
	}
}

const (
	// minRecordedCrashes is the number of crashes from which a content is recorded in the
	// store. Most requests cut off by the end of an upstream never see a second one.
	minRecordedCrashes = 2
	// adoptDelay is how long a crash observed by another gateway may lack a record before
	// this gateway writes it. Gateways that are killed while the store is unavailable
	// lose the crashes that they have not recorded.
	adoptDelay = 3 * time.Second
	// answeredGrace is how long a successful response keeps a content from becoming
	// suspect. It exceeds the time between two responses to a content sent by many
	// callers, and is below the 3 s within which a content has to be refused once it has
	// started to crash upstreams.
	answeredGrace = 2 * time.Second
	// endCorrelationWindow is the longest time between the end of an upstream and a
	// request that broke off there for the two to be related. It covers the time until
	// the upstream's entry has expired and been read, also by a gateway that was frozen
	// meanwhile.
	endCorrelationWindow = 12 * time.Second
)

// CrashConfig holds the limits of a CrashTracker.
type CrashConfig struct {
	Limit  int           // upstreams that end while serving a content before it is refused
	Memory time.Duration // how long crashes count after the latest one
}

// NewCrashTracker returns a CrashTracker without any recorded crash.
func NewCrashTracker(cfg CrashConfig) *CrashTracker {
	return &CrashTracker{
		cfg:            cfg,
		contents:       make(map[wardturn.ContentID]*suspectContent),
		answered:       make(map[wardturn.ContentID]time.Time),
		brokenRequests: make(map[wardturn.Crash]time.Time),
		ended:          make(map[wardturn.UpstreamID]time.Time),
		pendingDeletes: make(map[wardturn.Crash]bool),
	}
}

// Refuses reports whether a content is refused, and for how much longer.
func (c *CrashTracker) Refuses(now time.Time, content wardturn.ContentID) (time.Duration, bool) {
	s := c.contents[content]
	if s == nil || s.counted < c.cfg.Limit {
		return 0, false
	}
	left := s.latest.Add(c.cfg.Memory).Sub(now)
	return left, left > 0
}

// RequestBroke records that a request got no complete response from an upstream. It returns
// the crash if the upstream is known to have ended and the crash is new.
func (c *CrashTracker) RequestBroke(now time.Time, content wardturn.ContentID, id wardturn.UpstreamID) []wardturn.Crash {
	at, ended := c.ended[id]
	if ended && now.Sub(at) < endCorrelationWindow {
		return c.observed(now, []wardturn.Crash{newCrash(content, id)})
	}
	c.dropped += setBounded(c.brokenRequests, newCrash(content, id), now)
	return nil
}

// UpstreamEnded records that an upstream has ended without notice. It returns the new
// crashes that follow from this.
func (c *CrashTracker) UpstreamEnded(now time.Time, id wardturn.UpstreamID) []wardturn.Crash {
	c.ended[id] = now
	var list []wardturn.Crash
	for b, at := range c.brokenRequests {
		if b.Upstream != id {
			continue
		}
		delete(c.brokenRequests, b)
		if now.Sub(at) < endCorrelationWindow {
			list = append(list, b)
		}
	}
	return c.observed(now, list)
}

// observed records crashes observed by this gateway, and returns those that count and are
// new.
func (c *CrashTracker) observed(now time.Time, list []wardturn.Crash) []wardturn.Crash {
	for _, crash := range list {
		if c.held != nil && c.recentlyAnswered(now, crash.Content) {
			c.dropped += setBounded(c.held, crash, now)
		}
	}
	fresh := c.AddReported(now, list)
	for _, crash := range fresh {
		c.state(crash).observedHere = true
	}
	slices.SortFunc(fresh, compareCrashes)
	return fresh
}

func compareCrashes(x, y wardturn.Crash) int {
	return cmp.Or(cmp.Compare(x.Content, y.Content), cmp.Compare(x.Upstream, y.Upstream))
}

// AddReported records crashes observed by another gateway, and returns those that count and
// are new.
func (c *CrashTracker) AddReported(now time.Time, list []wardturn.Crash) (fresh []wardturn.Crash) {
	for _, crash := range list {
		if c.add(now, now, crash) {
			fresh = append(fresh, crash)
		}
	}
	return fresh
}

// AddRecorded records crashes that were read from the store, with the times at which they
// were written, and returns those that count and are new.
func (c *CrashTracker) AddRecorded(now time.Time, list []wardturn.RecordedCrash) (fresh []wardturn.Crash) {
	for _, r := range list {
		at := r.At
		if at.After(now) {
			at = now // the clock of the host that wrote it is ahead
		}
		if now.Sub(at) >= c.cfg.Memory {
			continue
		}
		if c.add(now, at, r.Crash) {
			fresh = append(fresh, r.Crash)
		}
		if state := c.state(r.Crash); state != nil {
			state.recorded = true
			c.countSimultaneous(r.Crash.Content, state)
		}
	}
	return fresh
}

// countSimultaneous counts a crash after all, since another gateway has recorded it.
func (c *CrashTracker) countSimultaneous(content wardturn.ContentID, state *crashState) {
	if state.simultaneous {
		state.simultaneous = false
		c.contents[content].counted++
	}
}

// StoreRestored records that the store may have lost records because it was restored from
// an older copy. Call AddRecorded with the remaining records afterwards. The gateways that
// observed a crash write its record again; other gateways do so only if that fails to
// happen.
func (c *CrashTracker) StoreRestored(now time.Time) {
	for _, s := range c.contents {
		for _, state := range s.crashes {
			state.recorded = false
			state.learnedAt = now
		}
	}
}

// state returns the state of a crash, or nil.
func (c *CrashTracker) state(crash wardturn.Crash) *crashState {
	s := c.contents[crash.Content]
	if s == nil {
		return nil
	}
	return s.crashes[crash.Upstream]
}

// countedNear reports whether a counted crash occurred less than d before or after a time.
func (s *suspectContent) countedNear(at time.Time, d time.Duration) bool {
	for _, state := range s.crashes {
		if !state.simultaneous && at.Sub(state.at).Abs() < d {
			return true
		}
	}
	return false
}

// recentlyAnswered reports whether a content was answered shortly before a time, or after it.
func (c *CrashTracker) recentlyAnswered(at time.Time, content wardturn.ContentID) bool {
	answeredAt, ok := c.answered[content]
	return ok && at.Sub(answeredAt) < answeredGrace
}

// add counts a crash that occurred at a time, and reports whether it counts and is new.
func (c *CrashTracker) add(now, at time.Time, crash wardturn.Crash) bool {
	if c.recentlyAnswered(at, crash.Content) {
		return false
	}
	s := c.contents[crash.Content]
	if s == nil {
		c.evictContents()
		s = &suspectContent{
			crashes: make(map[wardturn.UpstreamID]*crashState),
		}
		c.contents[crash.Content] = s
	}
	if s.crashes[crash.Upstream] != nil {
		return false
	}
	state := &crashState{
		simultaneous: s.countedNear(at, c.spacing),
		at:           at,
		learnedAt:    now,
	}
	s.crashes[crash.Upstream] = state
	if !state.simultaneous {
		s.counted++
		s.latest = latest(s.latest, at)
	}
	return true
}

// Answered records that a content was answered successfully, and reports whether crashes
// had been counted for it. Their records in the store are scheduled for deletion.
func (c *CrashTracker) Answered(now time.Time, content wardturn.ContentID) (suspected bool) {
	c.dropped += setBounded(c.answered, content, now)
	s := c.contents[content]
	if s == nil {
		return false
	}
	for id, state := range s.crashes {
		if state.recorded {
			c.pendingDeletes[newCrash(content, id)] = true
		}
	}
	delete(c.contents, content)
	return true
}

// ClearReported removes contents that were answered successfully at another gateway, which
// deletes their records.
func (c *CrashTracker) ClearReported(contents []wardturn.ContentID) {
	for _, content := range contents {
		delete(c.contents, content)
	}
}

// RecordsRemoved removes crashes whose records were deleted from the store.
func (c *CrashTracker) RecordsRemoved(list []wardturn.Crash) {
	for _, crash := range list {
		s := c.contents[crash.Content]
		if s == nil {
			continue
		}
		if state := s.crashes[crash.Upstream]; state != nil && !state.simultaneous {
			s.counted--
		}
		delete(s.crashes, crash.Upstream)
		if s.counted == 0 {
			delete(c.contents, crash.Content)
		}
	}
}

// PendingWrites returns the pending writes of this gateway to the store: the crashes to
// record and the records to delete. Crashes are due if this gateway observed them or if
// they have lacked a record for long, and if their content has enough of them or all is
// set.
func (c *CrashTracker) PendingWrites(now time.Time, all bool) (crashes, deletes []wardturn.Crash) {
	for content, s := range c.contents {
		if !all && s.counted < min(minRecordedCrashes, c.cfg.Limit) {
			continue
		}
		for id, state := range s.crashes {
			assigned := state.observedHere || now.Sub(state.learnedAt) >= adoptDelay
			if assigned && !state.recorded && !state.simultaneous {
				crashes = append(crashes, newCrash(content, id))
			}
		}
	}
	deletes = slices.Collect(maps.Keys(c.pendingDeletes))
	slices.SortFunc(crashes, compareCrashes)
	slices.SortFunc(deletes, compareCrashes)
	return crashes, deletes
}

// Written records that the store holds the result of pending writes.
func (c *CrashTracker) Written(crashes, deletes []wardturn.Crash) {
	for _, crash := range crashes {
		if state := c.state(crash); state != nil {
			state.recorded = true
		} else {
			c.pendingDeletes[crash] = true // answered successfully meanwhile
		}
	}
	for _, crash := range deletes {
		delete(c.pendingDeletes, crash)
	}
}
