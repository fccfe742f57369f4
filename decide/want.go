package decide

import (
	"fmt"
	"time"

	"wardturn"
)

// wishRepeat is how often a wish is told again while requests wait: less than
// half of wishLife, so that one lost message does not end it.
const wishRepeat = 300 * time.Millisecond

// want is an adapter that requests wait for, or that is loaded for those that
// were told to come back.
type want struct {
	key     wardturn.ModelAdapter
	service wardturn.ServiceName
	regions wardturn.Regions // in which the requests may be served
	waiting []*Ticket
	owed    int       // requests that were told to come back
	owedTo  time.Time // by which they have come back, if they do
	latest  time.Time // when a request last asked
	relief  int       // requests at a busy engine that a copy elsewhere relieves
	first   time.Time // of the present wait
	home    wardturn.UpstreamID
	failed  wardturn.UpstreamID // a home that took too long
	askedAt time.Time           // of the first ask; zero: not yet
	toldAt  time.Time           // of the latest
	cause   LoadCause           // of the ask
	warm    bool                // the home held it before: no load from the weight store
}

// wants are the wants by adapter and by the regions in which their requests may be served.
type wants map[wantKey]*want

type wantKey struct {
	adapter wardturn.ModelAdapter
	regions string
}

func keyOf(adapter wardturn.ModelAdapter, r wardturn.Regions) wantKey {
	k := wantKey{
		adapter: adapter,
	}
	if r != nil {
		k.regions = fmt.Sprintf("%q", r)
	}
	return k
}

// anywhere returns the want of an adapter whose requests may be served anywhere, or nil.
func (ws wants) anywhere(adapter wardturn.ModelAdapter) *want {
	return ws[keyOf(adapter, nil)]
}

// of returns the wants of an adapter.
func (ws wants) of(adapter wardturn.ModelAdapter) []*want {
	var list []*want
	if w := ws.anywhere(adapter); w != nil {
		list = append(list, w)
	}
	for k, w := range ws {
		if k.adapter == adapter && k.regions != "" {
			list = append(list, w)
		}
	}
	return list
}

// wantOf returns the want of an adapter.
func (f *Fleet) wantOf(now time.Time, key wardturn.ModelAdapter, s wardturn.ServiceName, r wardturn.Regions) *want {
	k := keyOf(key, r)
	w := f.wants[k]
	if w == nil {
		w = &want{
			key:     key,
			service: s,
			regions: r,
			first:   now,
		}
		f.wants[k] = w
	}
	return w
}

// askFree asks for a want at once if that costs the weight store nothing: its home
// held the adapter before and takes it from its own memory, or another gateway
// has had it loaded there.
func (f *Fleet) askFree(now time.Time, w *want, out *Moves) {
	home := f.home(now, w)
	if home != nil && (home.everHeld[w.key] || home.held[w.key].loading) {
		f.ask(now, w, home, out)
	}
}

// home returns the engine that should load an adapter for the requests that wait:
// one that loads it already, or the cheapest of those that held it before and of
// the first in the order of homes that have a place for it.
// Engines that name a limit are asked if there is no other: their room may be used up when
// the adapter is there.
func (f *Fleet) home(now time.Time, w *want) *Member {
	unlimited := func(m *Member) bool {
		return !f.limits.Bounded(now, m.ID)
	}
	if m := f.homeAmong(now, w, unlimited); m != nil || !f.limits.Any() {
		return m
	}
	return f.homeAmong(now, w, func(m *Member) bool {
		return f.limits.Allows(now, m.ID)
	})
}

// homeAmong is home among the engines that match.
func (f *Fleet) homeAmong(now time.Time, w *want, match func(*Member) bool) *Member {
	newest := f.newest(w.key)
	fits := func(m *Member) bool {
		return m.Service == w.service && f.inRegions(m, w.regions) && m.ID != w.failed && m.loads(now, w.key.Model) && !m.serves(now, w.key, newest) && m.fill() < engineOverfill && match(m)
	}
	for m := range inOrder(w.key, f.loaders[w.key]) {
		if fits(m) {
			return m // another gateway asked there: one load serves both
		}
	}
	var c homeChoice
	for m := range inOrder(w.key, f.heldBefore[w.key]) {
		if fits(m) {
			c.warm = append(c.warm, m)
		}
	}
	for m := range inOrder(w.key, f.services[w.service]) {
		if !m.everHeld[w.key] && fits(m) && !c.add(m, m.placeFree(w.key)) {
			break
		}
	}
	return cheapest(c.list(), anyMember, func(m *Member) float64 {
		return m.busyCost(now) + milliseconds(f.bringTime(now, w, m))
	})
}

func anyMember(*Member) bool {
	return true
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
	for {
		w := f.nextWant(now)
		if w == nil || f.room(now) == 0 {
			return
		}
		home := f.home(now, w)
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
		if w.key.Adapter == "" || !w.askedAt.IsZero() || w.backlog(now) == 0 || now.Sub(w.toldAt) < wishRepeat {
			continue
		}
		if best == nil || w.before(now, best) {
			best = w
		}
	}
	return best
}

// backlog returns the requests that a load would still serve: those that wait,
// and those that were told to come back and may.
func (w *want) backlog(now time.Time) int {
	if now.Before(w.owedTo) {
		return len(w.waiting) + w.owed
	}
	return len(w.waiting)
}

// abandoned reports whether all requests that a want was for have gone.
func (w *want) abandoned(now time.Time) bool {
	return w.owed > 0 && w.backlog(now) == 0
}

// before ranks wants: more requests first, then the later one. When loads are
// behind, the one that has waited longest is refused before its load is there;
// served first, all would be late.
func (w *want) before(now time.Time, o *want) bool {
	if x, y := w.backlog(now), o.backlog(now); x != y {
		return x > y
	}
	if !w.latest.Equal(o.latest) {
		return w.latest.After(o.latest)
	}
	return w.key.Adapter < o.key.Adapter
}

// ask asks the keeper of an engine for a wanted adapter.
func (f *Fleet) ask(now time.Time, w *want, home *Member, out *Moves) {
	if w.askedAt.IsZero() {
		w.askedAt = now
		w.warm = home.everHeld[w.key]
		if w.cause == "" {
			w.cause = f.causeOf(w, home)
		}
	}
	if w.home != home.ID {
		f.settle(w, home)
	}
	w.toldAt = now
	out.Asks = append(out.Asks, LoadAsk{
		Upstream: home.ID,
		Adapter: wardturn.AdapterVersion{
			Model:   w.key.Model,
			Adapter: w.key.Adapter,
			Version: f.newest(w.key),
		},
		Waiting: w.backlog(now) + w.relief,
		Oldest:  now.Sub(w.first),
	})
}

// arrived hands the requests that wait for an adapter to an engine that holds
// it now.
func (f *Fleet) arrived(now time.Time, m *Member, a wardturn.AdapterVersion, out *Moves) {
	if a.Version < f.newest(a.Key()) {
		return
	}
	for _, w := range f.wants.of(a.Key()) {
		f.arrivedFor(now, w, m, a, out)
	}
}

// arrivedFor is arrived for one want.
func (f *Fleet) arrivedFor(now time.Time, w *want, m *Member, a wardturn.AdapterVersion, out *Moves) {
	if w.home != m.ID {
		f.placeWaiting(now, w, out)
		return
	}
	out.Loads = append(out.Loads, LoadNote{
		Adapter:  a,
		Upstream: m.ID,
		Took:     now.Sub(w.askedAt),
		Warm:     w.warm,
		Waited:   now.Sub(w.first),
		Window:   f.window.Size(),
		Under:    f.coming,
		Cause:    w.cause,
	})
	waiting := w.waiting
	f.drop(w)
	if r := f.rollouts[a.Key()]; r != nil {
		f.advance(now, a.Key(), r, out)
	}
	for _, t := range waiting {
		t.want = nil
		f.book(t, nil)
		if !f.place(now, t, out) {
			f.wait(now, t, out)
		}
	}
}

// drop ends a want.
func (f *Fleet) drop(w *want) {
	f.unask(w)
	delete(f.wants, keyOf(w.key, w.regions))
}

// renew repeats the wish of a load under way, and gives up one that takes far
// too long: another engine may do better.
func (f *Fleet) renew(now time.Time, w *want, out *Moves) {
	late := now.Sub(w.askedAt) > loadGiveUp && !f.isComing(w)
	if w.abandoned(now) || len(w.waiting) == 0 && late && now.Sub(w.first) > maxComeBack {
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
	if home == nil || !home.open(now) || !home.holding.Connected {
		f.unask(w)
		return
	}
	f.ask(now, w, home, out)
}

// isComing reports whether the engine that was asked is loading the adapter: giving
// that up would only begin it once more elsewhere.
func (f *Fleet) isComing(w *want) bool {
	m := f.members[w.home]
	return m != nil && m.held[w.key].loading
}

// unask ends the ask of a want, so that another engine is asked.
func (f *Fleet) unask(w *want) {
	w.askedAt = time.Time{}
	w.toldAt = time.Time{}
	w.cause = ""
	f.settle(w, nil)
}

// settle makes an engine the home of a want; nil: none.
func (f *Fleet) settle(w *want, home *Member) {
	if old := f.members[w.home]; old != nil {
		delete(old.asks, w.key)
	}
	w.home = ""
	if home != nil {
		w.home = home.ID
		home.asks[w.key] = true
	}
	f.bookAll(w, home)
}

// loadGiveUp is how long a load may take before another engine is asked: four
// times one without contention.
const loadGiveUp = time.Second

// Levels are the sizes of a fleet's queues and windows.
type Levels struct {
	Waiting int // requests that wait for an adapter
	Under   int // loads under way from the weight store, for all gateways
	Window  int // loads that may be under way
	// Evacuated are this gateway's requests at upstreams of evacuated failure domains.
	Evacuated int
}

// Levels returns the present sizes.
func (f *Fleet) Levels() Levels {
	l := Levels{
		Under:  f.coming,
		Window: f.window.Size(),
	}
	for _, w := range f.wants {
		l.Waiting += len(w.waiting)
	}
	for _, m := range f.members {
		if m.evacuated {
			l.Evacuated += m.running
		}
	}
	return l
}
