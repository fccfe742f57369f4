package decide

import (
	"time"

	"wardturn"
)

const (
	// plainFillLimit is the limit of concurrent requests at a plain upstream, relative to
	// its slots. A few may queue there.
	plainFillLimit = 2.0
	// engineFillLimit is the same limit for engines, relative to their batch. Larger
	// batches run slower, and requests beyond the batch queue.
	engineFillLimit = 1.0
	// fullRetryAfter is the retry time for requests that are refused because all
	// upstreams are full. Capacity becomes free within the time of a few generations.
	fullRetryAfter = 300 * time.Millisecond
	// maxLoadRetryDelay bounds the retry time reported to callers.
	maxLoadRetryDelay = 3 * time.Second
)

// PendingRequest is a request that needs an upstream.
type PendingRequest struct {
	Service   wardturn.ServiceName
	Key       wardturn.ModelAdapter // zero for a plain service
	Arrived   time.Time
	Objective time.Duration
	MaxPause  time.Duration // longest gap allowed between two events of the response; zero: unlimited
	Deadline  time.Time
	Prompt    wardturn.Tokens
	Body      int // bytes of the request body
	Bytes     int // of the request and, estimated, of its response
	Regions   wardturn.Regions
	Tried     []wardturn.UpstreamID
	Assign    func(Assignment) // called once, under the fleet's lock

	missing     *missingAdapter
	prefillAt   *Member // the engine whose adapter it waits for and for which its prompt is counted
	acceptsSlow bool    // accepts a slow engine instead of waiting longer
}

// Assignment is the upstream assigned to a request, or a refusal.
type Assignment struct {
	Member     wardturn.Member // its ID is zero for a refusal
	Version    wardturn.Version
	Load       int // estimated requests at the member before this one
	Prefill    int // estimated prompt tokens in prefill at the member
	Reason     wardturn.Reason
	RetryAfter time.Duration
}

// LoadRequest is a load request: it asks the keeper of an engine to load an adapter.
type LoadRequest struct {
	Upstream wardturn.UpstreamID
	Adapter  wardturn.AdapterVersion
	Waiting  int
	Oldest   time.Duration
}

// Actions collects the actions that result from a decision.
type Actions struct {
	LoadRequests   []LoadRequest
	CompletedLoads []CompletedLoad
	// EnforcedVersions are versions whose older versions must not serve any more. Requests that were
	// sent to an older version and have not begun must be cancelled.
	EnforcedVersions []wardturn.AdapterVersion
	// Leaving are upstreams that have just announced that they are shutting down.
	Leaving []wardturn.UpstreamID
}

// CompletedLoad records that a requested adapter has been loaded.
type CompletedLoad struct {
	Adapter  wardturn.AdapterVersion
	Upstream wardturn.UpstreamID
	Took     time.Duration // since the load request
	Waited   time.Duration // since the first request began to wait
	Warm     bool          // the engine held it before
	Window   int           // loads that may be in flight
	InFlight int           // loads in flight
	Cause    LoadCause
}

// Admit assigns an upstream to a request, queues the request, or refuses it.
func (f *Fleet) Admit(now time.Time, t *PendingRequest, out *Actions) {
	if reason, none := f.noneEligible(t); none {
		t.refuse(reason, maxLoadRetryDelay)
		return
	}
	spec := f.Engine(t.Service)
	if spec == nil {
		f.admitPlain(now, t)
		return
	}
	if f.tryAssign(now, t, out) {
		return
	}
	if reason, back, none := f.refusedByLimits(now, t); none {
		t.refuse(reason, back)
		return
	}
	f.enqueue(now, t, out)
}

func (f *Fleet) admitPlain(now time.Time, t *PendingRequest) {
	m := f.plainMember(now, t, 1)
	if m == nil {
		m = f.plainMember(now, t, plainFillLimit)
	}
	if m != nil {
		f.assign(now, t, m, 0)
		return
	}
	if reason, back, none := f.refusedByLimits(now, t); none {
		t.refuse(reason, back)
		return
	}
	t.refuse(f.unavailableReason(now, t), fullRetryAfter)
}

// plainMember returns the usable member of the least cost whose fill is below a limit, or
// nil.
func (f *Fleet) plainMember(now time.Time, t *PendingRequest, limit float64) *Member {
	return f.cheapestMember(now, f.services[t.Service], func(m *Member) bool {
		return m.usable(now, t.Tried) && f.inRegions(m, t.Regions) && m.utilization() < limit && f.bodyFits(m, t) && f.limits.Allows(now, m.ID)
	})
}

// unavailableReason returns the reason for a refusal: the service is full, or it has no
// usable upstream.
func (f *Fleet) unavailableReason(now time.Time, t *PendingRequest) wardturn.Reason {
	for _, m := range f.services[t.Service] {
		if m.usable(now, t.Tried) {
			return wardturn.ReasonQueueFull
		}
	}
	return wardturn.ReasonNoUpstream
}

func (t *PendingRequest) refuse(reason wardturn.Reason, retryAfter time.Duration) {
	t.Assign(Assignment{
		Reason:     reason,
		RetryAfter: retryAfter,
	})
}

func (f *Fleet) assign(now time.Time, t *PendingRequest, m *Member, v wardturn.Version) {
	a := Assignment{
		Member:  m.Member,
		Version: v,
		Load:    m.load(),
		Prefill: m.pendingPrefill(now),
	}
	m.bodyBytes += t.Body
	f.sent(now, m, t.Key, t.Prompt)
	t.Assign(a)
}

// tryAssign assigns a request to an engine that can run it now, and reports whether it did.
func (f *Fleet) tryAssign(now time.Time, t *PendingRequest, out *Actions) bool {
	m := f.engineFor(now, t, f.newest(t.Key), anyMember)
	if m == nil && f.oldVersionServes(now, t.Key) {
		m = f.engineFor(now, t, 0, func(m *Member) bool {
			return f.startsBeforeEnd(now, m, t)
		})
	}
	if m == nil || f.waitsForLoad(now, t, m) {
		return false
	}
	version := wardturn.Version(0)
	if t.Key.Adapter != "" {
		version = m.held[t.Key].version
		f.considerCopy(now, t, m, out)
	}
	f.assign(now, t, m, version)
	return true
}

// engineFor returns the cheapest matching engine that can run a request now and holds its
// adapter at version least or newer, or nil.
func (f *Fleet) engineFor(now time.Time, t *PendingRequest, least wardturn.Version, match func(*Member) bool) *Member {
	list := f.services[t.Service]
	if t.Key.Adapter != "" {
		list = f.holders[t.Key]
	}
	return cheapest(list, func(m *Member) bool {
		if m.Service != t.Service || !m.usable(now, t.Tried) || !f.inRegions(m, t.Regions) || m.utilization() >= engineFillLimit || !f.bodyFits(m, t) {
			return false
		}
		return m.serves(now, t.Key, least) && match(m) && f.limits.Allows(now, m.ID)
	}, func(m *Member) float64 {
		return f.costForRequest(now, t, m)
	})
}

// serves reports whether an engine holds an adapter at version least or newer, or the model
// if the key names no adapter.
func (m *Member) serves(now time.Time, key wardturn.ModelAdapter, least wardturn.Version) bool {
	if key.Adapter == "" {
		for _, have := range m.lastUpdate.Models {
			if have == key.Model {
				return m.lastUpdate.Known
			}
		}
		return false
	}
	h, ok := m.held[key]
	return ok && h.ready && h.version >= least && !now.Before(m.notHeldUntil[key])
}

// enqueue queues a request until its adapter is loaded, and requests the adapter if needed.
func (f *Fleet) enqueue(now time.Time, t *PendingRequest, out *Actions) {
	w := f.missingFor(now, t.Key, t.Service, t.Regions)
	t.missing = w
	w.waiting = append(w.waiting, t)
	w.latestArrival = now
	f.reservePrefill(t, f.members[w.home])
	if !w.firstRequestedAt.IsZero() || w.key.Adapter == "" {
		return
	}
	if len(w.waiting) == 1 {
		f.requestWithoutStore(now, w, out)
	}
	f.requestMissing(now, out)
}

// unservable reports whether no upstream may take a waiting request, whatever the
// upstreams' load. If so, it returns the reason and the retry time for the caller.
func (f *Fleet) unservable(now time.Time, t *PendingRequest) (reason wardturn.Reason, back time.Duration, none bool) {
	if reason, none := f.noneEligible(t); none {
		return reason, maxLoadRetryDelay, true
	}
	if left, all := f.allBackingOff(now, t); all {
		return wardturn.ReasonBackoff, f.jitteredDelay(left), true
	}
	return "", 0, false
}

// Withdraw removes a waiting request whose caller has disconnected.
func (f *Fleet) Withdraw(t *PendingRequest) {
	w := t.missing
	if w == nil {
		return
	}
	t.missing = nil
	f.reservePrefill(t, nil)
	for i, o := range w.waiting {
		if o == t {
			w.waiting = append(w.waiting[:i], w.waiting[i+1:]...)
			break
		}
	}
}

// Tick performs the work that is due at a time: it refuses requests that can't be served in
// time any more, repeats load requests and advances rollouts.
func (f *Fleet) Tick(now time.Time, out *Actions) {
	f.countGateways(now)
	for _, w := range f.missing {
		f.assignWaiting(now, w, out)
		f.expire(now, w, out)
		f.renewRequest(now, w, out)
	}
	f.advanceRollouts(now, out)
	f.requestMissing(now, out)
}

// assignWaiting tries to assign the requests that wait for an adapter: an engine that was
// full may have capacity again.
func (f *Fleet) assignWaiting(now time.Time, w *missingAdapter, out *Actions) {
	if len(w.waiting) == 0 || w.key.Adapter != "" && len(f.holders[w.key]) == 0 {
		return
	}
	kept := w.waiting[:0]
	for _, t := range w.waiting {
		f.reservePrefill(t, nil)
		if !f.tryAssign(now, t, out) {
			f.reservePrefill(t, f.members[w.home])
			kept = append(kept, t)
			continue
		}
		t.missing = nil
	}
	clear(w.waiting[len(kept):])
	w.waiting = kept
}

// expire ends the wait of requests that can't be served in time any more. A request that
// waited only for a faster engine is assigned to a slow one; the others are refused with a
// retry time.
func (f *Fleet) expire(now time.Time, w *missingAdapter, out *Actions) {
	kept := w.waiting[:0]
	for _, t := range w.waiting {
		reason, back, none := f.unservable(now, t)
		if !none && !f.shouldRefuse(now, w, t) {
			kept = append(kept, t)
			continue
		}
		t.missing = nil
		f.reservePrefill(t, nil)
		if none {
			t.refuse(reason, back)
			continue
		}
		t.acceptsSlow = true
		if f.tryAssign(now, t, out) {
			continue
		}
		back = f.loadRetryDelay(now, w)
		w.expectedRetries++
		w.retriesUntil = now.Add(min(back, maxLoadRetryDelay) + t.Objective)
		t.refuse(wardturn.ReasonLoading, min(back, maxLoadRetryDelay))
	}
	clear(w.waiting[len(kept):])
	w.waiting = kept
}
