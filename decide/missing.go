package decide

import (
	"slices"
	"time"

	"wardturn"
)

// loadRequestInterval is the interval at which a load request is repeated while requests
// wait for the adapter. It is less than half of loadRequestLifetime, so that one lost
// message doesn't let the load request expire.
const loadRequestInterval = 300 * time.Millisecond

// missingAdapter is an adapter that requests wait for, or that is loaded for requests that
// were refused with a retry time. The engine that is asked to load it is its home.
type missingAdapter struct {
	key             wardturn.ModelAdapter
	service         wardturn.ServiceName
	restriction     restriction // of the requests
	restrictionKey  string      // missingKey.restriction
	waiting         []*PendingRequest
	urgency         waitingUrgency
	expectedRetries int       // requests that were refused with a retry time
	retryWeight     float64   // expectedRetries, weighted by rank
	retriesUntil    time.Time // by when they are retried, if they are
	latestArrival   time.Time // arrival of the latest request
	relieved        int       // requests at a busy engine that a copy elsewhere would relieve
	relievedRank    int       // rank of the request that the copy was considered for
	// relievedObjective is the objective of that request, and of those that the copy is for.
	relievedObjective time.Duration
	waitingSince      time.Time // start of the wait
	home              wardturn.UpstreamID
	failedHome        wardturn.UpstreamID // a previous home that took too long
	firstRequestedAt  time.Time           // of the first load request; zero if there is none
	requestedAt       time.Time           // of the latest load request or attempt to send one
	noHomeSince       time.Time           // of the first attempt in a row without an engine; zero if there is none
	cause             LoadCause           // of the load request
	warm              bool                // the home held it before: no load from the store
	loadsAhead        int                 // adapters before it in the queue of loads, if countedLate
	countedLate       bool                // in the latest Tick: no request can be in time
	countedInTime     bool                // it is one of loadQueue.inTimeBefore
	preload           bool                // it is wanted for requests to come
}

// missingAdapters are the missing adapters, by adapter and by the restriction of their
// requests.
type missingAdapters map[missingKey]*missingAdapter

type missingKey struct {
	adapter     wardturn.ModelAdapter
	restriction string
}

func missingKeyOf(adapter wardturn.ModelAdapter, r restriction) missingKey {
	return missingKey{
		adapter:     adapter,
		restriction: r.key(),
	}
}

// unrestricted returns the entry of an adapter for requests without a restriction,
// or nil.
func (m missingAdapters) unrestricted(adapter wardturn.ModelAdapter) *missingAdapter {
	return m[missingKeyOf(adapter, restriction{})]
}

// all returns all entries of an adapter.
func (m missingAdapters) all(adapter wardturn.ModelAdapter) []*missingAdapter {
	var list []*missingAdapter
	if missing := m.unrestricted(adapter); missing != nil {
		list = append(list, missing)
	}
	for k, missing := range m {
		if k.adapter == adapter && k.restriction != "" {
			list = append(list, missing)
		}
	}
	return list
}

// missingFor returns the entry of an adapter for requests with restriction r, and creates it
// if there is none.
func (f *Fleet) missingFor(now time.Time, key wardturn.ModelAdapter, s wardturn.ServiceName, r restriction) *missingAdapter {
	k := missingKeyOf(key, r)
	missing := f.missing[k]
	if missing == nil {
		missing = &missingAdapter{
			key:            key,
			service:        s,
			restriction:    r,
			restrictionKey: k.restriction,
			waitingSince:   now,
		}
		f.missing[k] = missing
	}
	return missing
}

// isHeld reports whether an engine that may run the requests waiting for an adapter holds it.
func (f *Fleet) isHeld(missing *missingAdapter) bool {
	return slices.ContainsFunc(f.holders[missing.key], func(m *Member) bool {
		return m.Service == missing.service && f.allows(m, missing.restriction)
	})
}

// requestWithoutStore requests an adapter at once if that causes no load from the weight
// store: its home held the adapter before and restores it from its own memory, or is
// already loading it for another gateway.
func (f *Fleet) requestWithoutStore(now time.Time, missing *missingAdapter, out *Actions) {
	home := f.home(now, missing)
	if home != nil && (home.everHeld[missing.key] || home.held[missing.key].loading) {
		f.requestLoad(now, missing, home, out)
	}
}

// home returns the engine that should load an adapter for the requests that wait, or nil:
// one that is already loading it, or the cheapest among those that held it before and the
// first ones in home order that have a free slot. Engines that announce a rate limit are
// used only if there is no other, since their limit may be used up when the adapter is
// loaded.
func (f *Fleet) home(now time.Time, missing *missingAdapter) *Member {
	unlimited := func(m *Member) bool {
		return !f.limits.Bounded(now, m.ID)
	}
	if m := f.homeAmong(now, missing, unlimited); m != nil || !f.limits.Any() {
		return m
	}
	return f.homeAmong(now, missing, func(m *Member) bool {
		return f.limits.Allows(now, m.ID)
	})
}

// homeAmong is like home but considers only the engines that match.
func (f *Fleet) homeAmong(now time.Time, missing *missingAdapter, match func(*Member) bool) *Member {
	newest := f.newest(missing.key)
	fits := func(m *Member) bool {
		return m.Service == missing.service && f.allows(m, missing.restriction) && m.ID != missing.failedHome && m.canLoad(now, missing.key.Model) && !m.serves(now, missing.key, newest) && m.utilization() < engineFillLimit && match(m)
	}
	for m := range inHomeOrder(missing.key, f.loaders[missing.key]) {
		if fits(m) {
			return m // requested by another gateway: one load serves both
		}
	}
	var c homeCandidates
	for m := range inHomeOrder(missing.key, f.heldBefore[missing.key]) {
		if fits(m) {
			c.warm = append(c.warm, m)
		}
	}
	for m := range inHomeOrder(missing.key, f.services[missing.service]) {
		if !m.everHeld[missing.key] && fits(m) && !c.add(m, m.slotFree(missing.key)) {
			break
		}
	}
	return cheapest(c.list(), anyMember, func(m *Member) float64 {
		return m.loadCost(now) + milliseconds(f.timeToAvailable(now, missing, m))
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

// requestMissing requests the missing adapters, the most needed first, while the load
// window has room.
func (f *Fleet) requestMissing(now time.Time, out *Actions) {
	for {
		missing, order := f.nextMissing(now)
		if missing == nil {
			return
		}
		reserved := 0.0
		if !order.inTime {
			reserved = f.reservedLoads()
		}
		if f.availableLoads(now, reserved) == 0 {
			return
		}
		home := f.home(now, missing)
		if home == nil {
			missing.requestedAt = now // try again after loadRequestInterval
			if missing.noHomeSince.IsZero() {
				missing.noHomeSince = now
			}
			continue
		}
		f.requestLoad(now, missing, home, out)
	}
}

// requestLoad sends a load request for a missing adapter to the keeper of an engine, which
// becomes its home.
func (f *Fleet) requestLoad(now time.Time, missing *missingAdapter, home *Member, out *Actions) {
	missing.noHomeSince = time.Time{}
	if missing.firstRequestedAt.IsZero() {
		missing.firstRequestedAt = now
		missing.warm = home.everHeld[missing.key]
		missing.countedLate = false
		missing.countedInTime = false
		if !missing.warm {
			f.queue.requested(now, missing.relieved > 0 || missing.forRequestsToCome() || f.loadInTime(now, missing))
		}
		if missing.cause == "" {
			missing.cause = f.causeOf(missing, home)
		}
	}
	if missing.home != home.ID {
		f.setHome(missing, home)
	}
	missing.requestedAt = now
	out.LoadRequests = append(out.LoadRequests, LoadRequest{
		Upstream: home.ID,
		Adapter: wardturn.AdapterVersion{
			Model:   missing.key.Model,
			Adapter: missing.key.Adapter,
			Version: f.newest(missing.key),
		},
		Waiting: missing.backlog(now) + missing.relieved,
		Oldest:  now.Sub(missing.waitingSince),
		Ranked:  f.ranked && !missing.forRequestsToCome(),
		Weight:  missing.weight(now) + float64(missing.relieved)*rankWeight(missing.relievedRank),
		LateIn:  missing.lateIn(now),
	})
}

// adapterLoaded sends the requests that wait for an adapter to an engine that has loaded
// it.
func (f *Fleet) adapterLoaded(now time.Time, m *Member, a wardturn.AdapterVersion, out *Actions) {
	if a.Version < f.newest(a.Key()) {
		return
	}
	for _, missing := range f.missing.all(a.Key()) {
		f.adapterLoadedFor(now, missing, m, a, out)
	}
}

// adapterLoadedFor does the work of adapterLoaded for one entry of the adapter.
func (f *Fleet) adapterLoadedFor(now time.Time, missing *missingAdapter, m *Member, a wardturn.AdapterVersion, out *Actions) {
	if missing.home != m.ID {
		f.assignWaiting(now, missing, out)
		return
	}
	out.CompletedLoads = append(out.CompletedLoads, CompletedLoad{
		Adapter:  a,
		Upstream: m.ID,
		Took:     now.Sub(missing.firstRequestedAt),
		Warm:     missing.warm,
		Waited:   now.Sub(missing.waitingSince),
		Window:   f.window.Size(),
		InFlight: f.loadsInFlight,
		Cause:    missing.cause,
	})
	waiting := missing.waiting
	f.sortWaiting(now, waiting)
	f.removeMissing(missing)
	if r := f.rollouts[a.Key()]; r != nil {
		f.advanceRollout(now, a.Key(), r, out)
	}
	for _, r := range waiting {
		f.stopsWaiting(r)
		f.reservePrefill(r, nil)
		if !f.tryAssign(now, r, out) {
			f.enqueue(now, r, out)
		}
	}
}

// removeMissing removes a missing adapter.
func (f *Fleet) removeMissing(missing *missingAdapter) {
	f.cancelRequest(missing)
	delete(f.missing, missingKeyOf(missing.key, missing.restriction))
}

// renewRequest repeats the load request of a load in progress. It gives up a load that
// takes far too long, so that another engine can be asked, and removes the missing
// adapter if no request needs it any more.
func (f *Fleet) renewRequest(now time.Time, missing *missingAdapter, out *Actions) {
	late := now.Sub(missing.firstRequestedAt) > loadTimeout && !f.homeIsLoading(missing)
	if missing.abandoned(now) || len(missing.waiting) == 0 && late && now.Sub(missing.waitingSince) > maxLoadRetryDelay {
		f.removeMissing(missing)
		return
	}
	if missing.firstRequestedAt.IsZero() {
		return
	}
	if late {
		missing.failedHome = missing.home
		f.cancelRequest(missing)
		return
	}
	if now.Sub(missing.requestedAt) < loadRequestInterval {
		return
	}
	home := f.members[missing.home]
	if home == nil || !home.eligible(now) || !home.lastUpdate.Connected {
		f.cancelRequest(missing)
		return
	}
	f.requestLoad(now, missing, home, out)
}

// homeIsLoading reports whether the home is loading the adapter. Giving up such a load
// would only start it again elsewhere.
func (f *Fleet) homeIsLoading(missing *missingAdapter) bool {
	m := f.members[missing.home]
	return m != nil && m.held[missing.key].loading
}

// cancelRequest cancels the load request of a missing adapter, so that another engine can
// be asked.
func (f *Fleet) cancelRequest(missing *missingAdapter) {
	missing.firstRequestedAt = time.Time{}
	missing.requestedAt = time.Time{}
	missing.cause = ""
	f.setHome(missing, nil)
}

// setHome sets the home of a missing adapter; nil removes it.
func (f *Fleet) setHome(missing *missingAdapter, home *Member) {
	if old := f.members[missing.home]; old != nil {
		delete(old.requested, missing.key)
	}
	missing.home = ""
	if home != nil {
		missing.home = home.ID
		home.requested[missing.key] = true
	}
	f.reserveAllPrefill(missing, home)
}

// loadTimeout is how long a load may take before another engine is asked. It is four times
// the duration of a load without contention.
const loadTimeout = time.Second

// FleetLevels are the current sizes of a fleet's queues and windows.
type FleetLevels struct {
	Waiting       int // requests waiting for an adapter
	LateWaiting   int // those of them that wait beyond their objective
	LoadsInFlight int // loads from the weight store in flight, for all gateways
	Window        int // loads that may be in flight
	// Evacuated is the number of this gateway's requests at upstreams in evacuated failure
	// domains.
	Evacuated int
}

// Levels returns the current sizes.
func (f *Fleet) Levels() FleetLevels {
	l := FleetLevels{
		LoadsInFlight: f.loadsInFlight,
		Window:        f.window.Size(),
		LateWaiting:   f.queue.lateWaiting,
	}
	for _, missing := range f.missing {
		l.Waiting += len(missing.waiting)
	}
	for _, m := range f.members {
		if m.evacuated {
			l.Evacuated += m.running
		}
	}
	return l
}
