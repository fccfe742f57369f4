package decide

import (
	"time"

	"wardturn"
)

const (
	// plainOverfill is how many requests a plain upstream is given at once, in
	// its slots: a few may queue there.
	plainOverfill = 2.0
	// engineOverfill is the same for engines: more run slower, and beyond the
	// batch they queue.
	engineOverfill = 1.0
	// shortPause is told to callers refused for want of a free place; places
	// free up within a few generations.
	shortPause = 300 * time.Millisecond
	// maxComeBack bounds the time told to callers.
	maxComeBack = 3 * time.Second
)

// Ticket is a request that needs an upstream.
type Ticket struct {
	Service   wardturn.ServiceName
	Key       wardturn.ModelAdapter // zero for a plain service
	Arrived   time.Time
	Objective time.Duration
	Pause     time.Duration // longest between two events of an answer in time; zero: any
	Deadline  time.Time
	Prompt    wardturn.Tokens
	Body      int // bytes of the request's body
	Bytes     int // of the request and, by estimate, of its answer
	Regions   wardturn.Regions
	Tried     []wardturn.UpstreamID
	Assign    func(Assignment) // called once, under the fleet's lock

	want    *want
	booked  *Member // whose adapter it waits for, and which will read its prompt
	settled bool    // takes a slow engine rather than wait any longer
}

// Assignment is the upstream of a request, or the word that there is none.
type Assignment struct {
	Member     wardturn.Member // zero ID: none
	Version    wardturn.Version
	Load       int // requests that were at the member, as far as known
	Prefill    int // tokens of prompts that it was reading, as far as known
	Reason     wardturn.Reason
	RetryAfter time.Duration
}

// LoadAsk asks the keeper of an engine for an adapter.
type LoadAsk struct {
	Upstream wardturn.UpstreamID
	Adapter  wardturn.AdapterVersion
	Waiting  int
	Oldest   time.Duration
}

// Moves collects what a decision wants done.
type Moves struct {
	Asks  []LoadAsk
	Loads []LoadNote
	// Ended are versions whose older ones serve no more: a request to such a one that
	// has not begun has to be broken off.
	Ended []wardturn.AdapterVersion
	// Leaving are upstreams that have just said that they leave.
	Leaving []wardturn.UpstreamID
}

// LoadNote says that an adapter that was asked for arrived.
type LoadNote struct {
	Adapter  wardturn.AdapterVersion
	Upstream wardturn.UpstreamID
	Took     time.Duration // since it was asked for
	Waited   time.Duration // since the first request waited
	Warm     bool          // its engine held it before
	Window   int           // loads that may be under way
	Under    int           // loads that are under way
	Cause    LoadCause
}

// Admit finds an upstream for a request, lets it wait, or refuses it.
func (f *Fleet) Admit(now time.Time, t *Ticket, out *Moves) {
	if reason, none := f.noneMay(t); none {
		t.refuse(reason, maxComeBack)
		return
	}
	spec := f.Engine(t.Service)
	if spec == nil {
		f.admitPlain(now, t)
		return
	}
	if f.place(now, t, out) {
		return
	}
	if reason, back, none := f.turnedAway(now, t); none {
		t.refuse(reason, back)
		return
	}
	f.wait(now, t, out)
}

func (f *Fleet) admitPlain(now time.Time, t *Ticket) {
	m := f.plainMember(now, t, 1)
	if m == nil {
		m = f.plainMember(now, t, plainOverfill)
	}
	if m != nil {
		f.assign(now, t, m, 0)
		return
	}
	if reason, back, none := f.turnedAway(now, t); none {
		t.refuse(reason, back)
		return
	}
	t.refuse(f.emptiness(now, t), shortPause)
}

// plainMember returns the member of the least cost that is filled less than a limit, or nil.
func (f *Fleet) plainMember(now time.Time, t *Ticket, limit float64) *Member {
	return f.best(now, f.services[t.Service], func(m *Member) bool {
		return m.usable(now, t.Tried) && f.inRegions(m, t.Regions) && m.fill() < limit && f.holds(m, t) && f.limits.Allows(now, m.ID)
	})
}

// emptiness tells a full service from one without upstreams.
func (f *Fleet) emptiness(now time.Time, t *Ticket) wardturn.Reason {
	for _, m := range f.services[t.Service] {
		if m.usable(now, t.Tried) {
			return wardturn.ReasonQueueFull
		}
	}
	return wardturn.ReasonNoUpstream
}

func (t *Ticket) refuse(reason wardturn.Reason, retryAfter time.Duration) {
	t.Assign(Assignment{
		Reason:     reason,
		RetryAfter: retryAfter,
	})
}

func (f *Fleet) assign(now time.Time, t *Ticket, m *Member, v wardturn.Version) {
	a := Assignment{
		Member:  m.Member,
		Version: v,
		Load:    m.load(),
		Prefill: m.toRead(now),
	}
	m.bodies += t.Body
	f.sent(now, m, t.Key, t.Prompt)
	t.Assign(a)
}

// place gives a request to an engine that is ready for it.
func (f *Fleet) place(now time.Time, t *Ticket, out *Moves) bool {
	m := f.engineFor(now, t, f.newest(t.Key), anyMember)
	if m == nil && f.oldVersionServes(now, t.Key) {
		m = f.engineFor(now, t, 0, func(m *Member) bool {
			return f.beginsInTime(now, m, t)
		})
	}
	if m == nil || f.waitsForQuicker(now, t, m) {
		return false
	}
	version := wardturn.Version(0)
	if t.Key.Adapter != "" {
		version = m.held[t.Key].version
		f.spread(now, t, m, out)
	}
	f.assign(now, t, m, version)
	return true
}

// engineFor returns the engine that takes a request now, at a version or a newer
// one, among those that match, or nil.
func (f *Fleet) engineFor(now time.Time, t *Ticket, least wardturn.Version, match func(*Member) bool) *Member {
	list := f.services[t.Service]
	if t.Key.Adapter != "" {
		list = f.holders[t.Key]
	}
	return cheapest(list, func(m *Member) bool {
		if m.Service != t.Service || !m.usable(now, t.Tried) || !f.inRegions(m, t.Regions) || m.fill() >= engineOverfill || !f.holds(m, t) {
			return false
		}
		return m.serves(now, t.Key, least) && match(m) && f.limits.Allows(now, m.ID)
	}, func(m *Member) float64 {
		return f.costOf(now, t, m)
	})
}

// serves reports whether an engine holds an adapter at a version or a newer one, or,
// for a request without one, the model.
func (m *Member) serves(now time.Time, key wardturn.ModelAdapter, least wardturn.Version) bool {
	if key.Adapter == "" {
		for _, have := range m.holding.Models {
			if have == key.Model {
				return m.holding.Known
			}
		}
		return false
	}
	h, ok := m.held[key]
	return ok && h.ready && h.version >= least && !now.Before(m.doubts[key])
}

// wait lets a request wait for its adapter if that can be there in time, and
// tells it when to come back if not.
func (f *Fleet) wait(now time.Time, t *Ticket, out *Moves) {
	w := f.wantOf(now, t.Key, t.Service, t.Regions)
	t.want = w
	w.waiting = append(w.waiting, t)
	w.latest = now
	f.book(t, f.members[w.home])
	if !w.askedAt.IsZero() || w.key.Adapter == "" {
		return
	}
	if len(w.waiting) == 1 {
		f.askFree(now, w, out)
	}
	f.pump(now, out)
}

// nowhere reports whether no upstream can get a request that waits, whatever its load, why,
// and when its caller should come back.
func (f *Fleet) nowhere(now time.Time, t *Ticket) (reason wardturn.Reason, back time.Duration, none bool) {
	if reason, none := f.noneMay(t); none {
		return reason, maxComeBack, true
	}
	if left, all := f.allRest(now, t); all {
		return wardturn.ReasonResting, f.spreadRest(left), true
	}
	return "", 0, false
}

// Withdraw ends the wait of a request whose caller left.
func (f *Fleet) Withdraw(t *Ticket) {
	w := t.want
	if w == nil {
		return
	}
	t.want = nil
	f.book(t, nil)
	for i, o := range w.waiting {
		if o == t {
			w.waiting = append(w.waiting[:i], w.waiting[i+1:]...)
			break
		}
	}
}

// Tick lets time pass: requests that waited as long as they may are told when to
// come back, and wishes are repeated.
func (f *Fleet) Tick(now time.Time, out *Moves) {
	f.countGateways(now)
	for _, w := range f.wants {
		f.placeWaiting(now, w, out)
		f.expire(now, w, out)
		f.renew(now, w, out)
	}
	f.advanceRollouts(now, out)
	f.pump(now, out)
}

// placeWaiting tries to place the requests of a want: an engine that was full may
// have room again.
func (f *Fleet) placeWaiting(now time.Time, w *want, out *Moves) {
	if len(w.waiting) == 0 || w.key.Adapter != "" && len(f.holders[w.key]) == 0 {
		return
	}
	kept := w.waiting[:0]
	for _, t := range w.waiting {
		f.book(t, nil)
		if !f.place(now, t, out) {
			f.book(t, f.members[w.home])
			kept = append(kept, t)
			continue
		}
		t.want = nil
	}
	clear(w.waiting[len(kept):])
	w.waiting = kept
}

// expire ends the waits that have become hopeless. A request that waited only for
// a quicker engine takes the slow one now.
func (f *Fleet) expire(now time.Time, w *want, out *Moves) {
	kept := w.waiting[:0]
	for _, t := range w.waiting {
		reason, back, none := f.nowhere(now, t)
		if !none && !f.hopeless(now, w, t) {
			kept = append(kept, t)
			continue
		}
		t.want = nil
		f.book(t, nil)
		if none {
			t.refuse(reason, back)
			continue
		}
		t.settled = true
		if f.place(now, t, out) {
			continue
		}
		back = f.comeBack(now, w)
		w.owed++
		w.owedTo = now.Add(min(back, maxComeBack) + t.Objective)
		t.refuse(wardturn.ReasonLoading, min(back, maxComeBack))
	}
	clear(w.waiting[len(kept):])
	w.waiting = kept
}
