package decide

import (
	"time"

	"wardturn"
)

const (
	// wishRepeat is how often a wish is told again while requests wait: less
	// than half of wishLife, so that one lost message does not end it.
	wishRepeat = 300 * time.Millisecond
	// plainOverfill is how many requests a plain upstream is given at once, in
	// its slots: a few may queue there.
	plainOverfill = 2.0
	// engineOverfill is the same for engines: more run slower, and beyond the
	// batch they queue.
	engineOverfill = 1.0
	// spreadLoad is the least number of requests at an engine for which an
	// adapter gets another one; engines are quick up to there.
	spreadLoad = 8
	// spreadFactor is how many times the mean load that must be.
	spreadFactor = 1.4
	// spreadUse is how many of them must be this gateway's for that adapter.
	spreadUse = 2
	// copyCost is what a copy must save each request, in milliseconds.
	copyCost = 10.0
	// goneMargin is the least time that a leaving upstream must have left to be
	// given a request; generations take about half a second.
	goneMargin = time.Second
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
	Deadline  time.Time
	Prompt    wardturn.Tokens
	Bytes     int // of the request and, by estimate, of its answer
	Tried     []wardturn.UpstreamID
	Assign    func(Assignment) // called once, under the fleet's lock

	holdUntil time.Time
	want      *want
}

// Assignment is the upstream of a request, or the word that there is none.
type Assignment struct {
	Member     wardturn.Member // zero ID: none
	Version    wardturn.Version
	Load       int // requests that were at the member, as far as known
	Prefill    int // tokens of prompts of this gateway that it was reading
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
}

// LoadNote says that an adapter that was asked for arrived.
type LoadNote struct {
	Adapter  wardturn.AdapterVersion
	Upstream wardturn.UpstreamID
	Took     time.Duration // since it was asked for
	Waited   time.Duration // since the first request waited
	Warm     bool          // its engine held it before
	Window   int           // loads that may be under way
	Asked    int           // loads that were under way
}

// want is an adapter that requests wait for, or that is loaded for those that
// were told to come back.
type want struct {
	key     wardturn.ModelAdapter
	service wardturn.ServiceName
	waiting []*Ticket
	owed    int       // requests that were told to come back
	first   time.Time // of the present wait
	home    wardturn.UpstreamID
	failed  wardturn.UpstreamID // a home that took too long
	askedAt time.Time           // of the first ask; zero: not yet
	toldAt  time.Time           // of the latest
	warm    bool                // the home held it before: no load from the weight store
}

// Admit finds an upstream for a request, lets it wait, or refuses it.
func (f *Fleet) Admit(now time.Time, t *Ticket, out *Moves) {
	spec := f.Engine(t.Service)
	if spec == nil {
		f.admitPlain(now, t)
		return
	}
	if f.place(now, t, out) {
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
	t.refuse(f.emptiness(now, t), shortPause)
}

// plainMember returns the member of the least cost that is filled less than a limit, or nil.
func (f *Fleet) plainMember(now time.Time, t *Ticket, limit float64) *Member {
	return f.best(f.services[t.Service], func(m *Member) bool {
		return m.usable(now, t.Tried) && m.fill() < limit
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
		RetryAfter: min(retryAfter, maxComeBack),
	})
}

func (f *Fleet) assign(now time.Time, t *Ticket, m *Member, v wardturn.Version) {
	a := Assignment{
		Member:  m.Member,
		Version: v,
		Load:    m.load(),
		Prefill: m.prefill,
	}
	f.sent(now, m, t.Key, t.Prompt)
	t.Assign(a)
}

// place gives a request to an engine that is ready for it.
func (f *Fleet) place(now time.Time, t *Ticket, out *Moves) bool {
	m := f.engineFor(now, t, f.versions[t.Key])
	if m == nil && f.oldVersionServes(now, t.Key) {
		m = f.engineFor(now, t, 0)
	}
	if m == nil {
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
// one, or nil.
func (f *Fleet) engineFor(now time.Time, t *Ticket, least wardturn.Version) *Member {
	list := f.services[t.Service]
	if t.Key.Adapter != "" {
		list = f.holders[t.Key]
	}
	return f.best(list, func(m *Member) bool {
		if m.Service != t.Service || !m.usable(now, t.Tried) || m.fill() >= engineOverfill {
			return false
		}
		return m.serves(now, t.Key, least)
	})
}

// serves reports whether an engine holds an adapter at the newest version, or,
// for a request without one, the model.
func (m *Member) serves(now time.Time, key wardturn.ModelAdapter, newest wardturn.Version) bool {
	if key.Adapter == "" {
		for _, have := range m.holding.Models {
			if have == key.Model {
				return m.holding.Known
			}
		}
		return false
	}
	h, ok := m.held[key]
	return ok && h.ready && h.version >= newest && !now.Before(m.doubts[key])
}

// spread asks for an adapter at one more engine: if the one that serves it is
// busier than others, or if it is far and as much has been sent there as a load
// costs.
func (f *Fleet) spread(now time.Time, t *Ticket, m *Member, out *Moves) {
	near := m.Domain == f.cfg.Domain
	if !near {
		f.crossed[t.Key] += t.Bytes
	}
	costly := !near && f.crossed[t.Key] >= f.cfg.CrossBytes
	if !costly && !f.overbusy(t, m) {
		return
	}
	if f.wants[t.Key] != nil || f.asked >= f.window.Size() {
		return
	}
	home := f.idlest(now, t, costly)
	if home == nil || !costly && f.cost(home)+copyCost > f.cost(m) {
		return
	}
	f.crossed[t.Key] = 0
	f.ask(now, f.wantOf(now, t.Key, t.Service), home, out)
}

// overbusy reports whether an engine has far more to do than others, and not
// because of others' requests alone.
func (f *Fleet) overbusy(t *Ticket, m *Member) bool {
	u := m.uses[t.Key]
	if m.load() < spreadLoad || u == nil || u.Running < spreadUse {
		return false
	}
	total := 0
	list := f.services[t.Service]
	for _, o := range list {
		total += o.load()
	}
	return float64(m.load()) >= spreadFactor*float64(total)/float64(len(list))
}

// idlest returns the engine of the least cost that may load an adapter which it
// does not hold.
func (f *Fleet) idlest(now time.Time, t *Ticket, near bool) *Member {
	return f.best(f.services[t.Service], func(m *Member) bool {
		if near && m.Domain != f.cfg.Domain {
			return false
		}
		_, holds := m.held[t.Key]
		return !holds && m.loads(now, t.Key.Model) && m.loading() < MaxComing
	})
}

// wantOf returns the want of an adapter.
func (f *Fleet) wantOf(now time.Time, key wardturn.ModelAdapter, s wardturn.ServiceName) *want {
	w := f.wants[key]
	if w == nil {
		w = &want{
			key:     key,
			service: s,
			first:   now,
		}
		f.wants[key] = w
	}
	return w
}

// wait lets a request wait for its adapter if that can be there in time, and
// tells it when to come back if not.
func (f *Fleet) wait(now time.Time, t *Ticket, out *Moves) {
	w := f.wantOf(now, t.Key, t.Service)
	t.want = w
	t.holdUntil = t.Arrived.Add(time.Duration(f.cfg.HoldPart * float64(t.Objective)))
	w.waiting = append(w.waiting, t)
	if !w.askedAt.IsZero() || w.key.Adapter == "" {
		return
	}
	if len(w.waiting) == 1 {
		f.askWarm(now, w, out)
	}
	f.pump(now, out)
}

// askWarm asks for a want at once if its home held the adapter before: the home
// takes it from its own memory, not from the weight store.
func (f *Fleet) askWarm(now time.Time, w *want, out *Moves) {
	home := f.home(now, w.service, w.key, false, w.failed)
	if home != nil && home.everHeld[w.key] {
		f.ask(now, w, home, out)
	}
}

// home returns the engine that should load an adapter: the first in the order
// of homes that does not hold it and has room on the way.
func (f *Fleet) home(now time.Time, s wardturn.ServiceName, key wardturn.ModelAdapter, near bool, failed wardturn.UpstreamID) *Member {
	newest := f.versions[key]
	for _, m := range f.homes(now, s, key, near) {
		if m.ID == failed || m.serves(now, key, newest) || m.loading() >= MaxComing || m.fill() >= engineOverfill {
			continue
		}
		return m
	}
	return nil
}

func (m *Member) loading() int {
	n := 0
	for _, h := range m.held {
		if h.loading {
			n++
		}
	}
	return n
}

// pump asks for the worthiest wants while the window has room.
func (f *Fleet) pump(now time.Time, out *Moves) {
	for f.asked < f.window.Size() {
		w := f.nextWant(now)
		if w == nil {
			return
		}
		home := f.home(now, w.service, w.key, false, w.failed)
		if home == nil {
			w.toldAt = now // looked at again later
			continue
		}
		f.ask(now, w, home, out)
	}
}

// nextWant returns the want to ask for next, or nil.
func (f *Fleet) nextWant(now time.Time) *want {
	var best *want
	for _, w := range f.wants {
		if w.key.Adapter == "" || !w.askedAt.IsZero() || w.backlog() == 0 || now.Sub(w.toldAt) < wishRepeat {
			continue
		}
		if best == nil || w.before(best) {
			best = w
		}
	}
	return best
}

func (w *want) backlog() int {
	return len(w.waiting) + w.owed
}

// before ranks wants: more requests first, then the longer wait.
func (w *want) before(o *want) bool {
	if w.backlog() != o.backlog() {
		return w.backlog() > o.backlog()
	}
	if !w.first.Equal(o.first) {
		return w.first.Before(o.first)
	}
	return w.key.Adapter < o.key.Adapter
}

// ask asks the keeper of an engine for a wanted adapter.
func (f *Fleet) ask(now time.Time, w *want, home *Member, out *Moves) {
	if w.askedAt.IsZero() {
		w.askedAt = now
		w.warm = home.everHeld[w.key]
		if !w.warm {
			f.asked++
		}
	}
	w.home = home.ID
	w.toldAt = now
	out.Asks = append(out.Asks, LoadAsk{
		Upstream: home.ID,
		Adapter: wardturn.AdapterVersion{
			Model:   w.key.Model,
			Adapter: w.key.Adapter,
			Version: f.versions[w.key],
		},
		Waiting: w.backlog(),
		Oldest:  now.Sub(w.first),
	})
}

// arrived hands the requests that wait for an adapter to an engine that holds
// it now.
func (f *Fleet) arrived(now time.Time, m *Member, a wardturn.AdapterVersion, out *Moves) {
	w := f.wants[a.Key()]
	if w == nil || a.Version < f.versions[a.Key()] {
		return
	}
	if w.home != m.ID {
		f.placeWaiting(now, w, out)
		return
	}
	if !w.warm {
		f.window.Loaded(now, now.Sub(w.askedAt))
	}
	out.Loads = append(out.Loads, LoadNote{
		Adapter:  a,
		Upstream: m.ID,
		Took:     now.Sub(w.askedAt),
		Warm:     w.warm,
		Waited:   now.Sub(w.first),
		Window:   f.window.Size(),
		Asked:    f.asked,
	})
	waiting := w.waiting
	f.drop(w)
	if r := f.rollouts[a.Key()]; r != nil {
		f.advance(now, a.Key(), r, out)
	}
	for _, t := range waiting {
		t.want = nil
		if !f.place(now, t, out) {
			f.wait(now, t, out)
		}
	}
}

// drop ends a want.
func (f *Fleet) drop(w *want) {
	f.unask(w)
	delete(f.wants, w.key)
}

// Withdraw ends the wait of a request whose caller left.
func (f *Fleet) Withdraw(t *Ticket) {
	w := t.want
	if w == nil {
		return
	}
	t.want = nil
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
	for _, w := range f.wants {
		f.placeWaiting(now, w, out)
		f.expire(now, w)
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
		if !f.place(now, t, out) {
			kept = append(kept, t)
			continue
		}
		t.want = nil
	}
	clear(w.waiting[len(kept):])
	w.waiting = kept
}

func (f *Fleet) expire(now time.Time, w *want) {
	kept := w.waiting[:0]
	for _, t := range w.waiting {
		if now.Before(t.holdUntil) {
			kept = append(kept, t)
			continue
		}
		t.want = nil
		w.owed++
		t.refuse(wardturn.ReasonLoading, f.comeBack(now, w))
	}
	clear(w.waiting[len(kept):])
	w.waiting = kept
}

// renew repeats the wish of a load under way, and gives up one that takes far
// too long: another engine may do better.
func (f *Fleet) renew(now time.Time, w *want, out *Moves) {
	late := now.Sub(w.askedAt) > loadGiveUp
	if len(w.waiting) == 0 && late && now.Sub(w.first) > maxComeBack {
		f.drop(w)
		return
	}
	if w.askedAt.IsZero() {
		return
	}
	if late {
		w.failed = w.home
		f.unask(w)
		return
	}
	if now.Sub(w.toldAt) < wishRepeat {
		return
	}
	home := f.members[w.home]
	if home == nil || !home.usable(now, nil) || !home.holding.Connected {
		f.unask(w)
		return
	}
	f.ask(now, w, home, out)
}

// unask ends the ask of a want, so that another engine is asked.
func (f *Fleet) unask(w *want) {
	if !w.askedAt.IsZero() && !w.warm {
		f.asked--
	}
	w.askedAt = time.Time{}
	w.toldAt = time.Time{}
	w.home = ""
}

// loadGiveUp is how long a load may take before another engine is asked: four
// times one without contention.
const loadGiveUp = time.Second

// comeBack estimates when an adapter that is waited for will be there.
func (f *Fleet) comeBack(now time.Time, w *want) time.Duration {
	typical := f.window.Typical()
	if w.askedAt.IsZero() {
		return 2 * typical
	}
	return max(typical-now.Sub(w.askedAt), typical/4)
}

// Levels are the sizes of a fleet's queues and windows.
type Levels struct {
	Waiting int // requests that wait for an adapter
	Asked   int // loads under way that count in the window
	Window  int // loads that may be under way
}

// Levels returns the present sizes.
func (f *Fleet) Levels() Levels {
	l := Levels{
		Asked:  f.asked,
		Window: f.window.Size(),
	}
	for _, w := range f.wants {
		l.Waiting += len(w.waiting)
	}
	return l
}
