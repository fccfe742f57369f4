package decide

import (
	"cmp"
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
	MaxPause  time.Duration // longest allowed pause of the response stream; zero: unlimited
	Deadline  time.Time
	Prompt    wardturn.Tokens
	Streaming bool // the response is a stream of events
	Body      int  // bytes of the request body
	Bytes     int  // of the request and, estimated, of its response
	Regions   wardturn.Regions
	// Software is the version that may run the request; nil: any.
	Software wardturn.SoftwareVersions
	// Resumable means that the response is a stream that may be resumed at upstreams of the
	// software version that began it.
	Resumable bool
	Urgency   Urgency
	Tried     []wardturn.UpstreamID
	// Repeatable means that the request may run more than once.
	Repeatable bool
	// Content identifies a request that was refused and comes back; empty if it is not known.
	Content wardturn.ContentID
	Assign  func(Assignment) // called once, under the fleet's lock

	missing     *missingAdapter
	prefillAt   *Member // engine that loads its adapter and for which its prompt is counted
	acceptsSlow bool    // accepts a slow engine instead of waiting longer

	class        PlainClass
	digest       uint32 // of Content
	plainWaiting bool   // it waits for an upstream of a plain service
}

// Assignment is the upstream assigned to a request, or a refusal.
type Assignment struct {
	Member  wardturn.Member // its ID is zero for a refusal
	Version wardturn.Version
	Load    int // estimated requests at the member before this one
	Prefill int // estimated prompt tokens in prefill at the member
	// Turn reports that the request must wait for a turn at the engine. TurnEnded must be
	// called for its prompt.
	Turn       bool
	Reason     wardturn.Reason
	RetryAfter time.Duration
	Rank       int
	Team       wardturn.TeamID
	// Predicted is, for a refusal because of a missing adapter, the time until its response
	// could have started; zero: no load is predicted.
	Predicted time.Duration

	// Capacity and Demand are those of a plain service that refuses a request, in requests
	// per second over all gateways; zero if this gateway hears no other.
	Capacity float64
	Demand   float64

	counted bool // among the requests of its team until AssignmentEnded
}

// LoadRequest asks the keeper of an engine to load an adapter.
type LoadRequest struct {
	Upstream wardturn.UpstreamID
	Adapter  wardturn.AdapterVersion
	Waiting  int
	Oldest   time.Duration
	// Ranked means that the requests to engines differ in rank, so that the keeper should know
	// Weight and LateIn.
	Ranked bool
	Weight float64       // waiting requests, weighted by rank
	LateIn time.Duration // until the end of their latest objective; negative: all are late
}

// Actions collects the actions that result from a decision.
type Actions struct {
	LoadRequests   []LoadRequest
	CompletedLoads []CompletedLoad
	// EnforcedVersions are versions whose older versions must not serve any more. Requests
	// that were sent to an older version and have not started must be cancelled.
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
func (f *Fleet) Admit(now time.Time, r *PendingRequest, out *Actions) {
	if reason, none := f.noneEligible(r); none {
		r.refuse(reason, maxLoadRetryDelay)
		return
	}
	if f.Engine(r.Service) == nil {
		f.admitPlain(now, r)
		return
	}
	if f.allTried(r) {
		r.refuse(wardturn.ReasonQueueFull, fullRetryAfter)
		return
	}
	if f.tryAssign(now, r, out) {
		return
	}
	if reason, retryAfter, none := f.refusedByLimits(now, r); none {
		r.refuse(reason, retryAfter)
		return
	}
	f.enqueue(now, r, out)
}

// plainMember returns the usable member of the least cost that matches and is within this
// gateway's own limit, or nil.
func (f *Fleet) plainMember(now time.Time, r *PendingRequest, match func(*Member) bool) *Member {
	return f.cheapestMember(now, f.services[r.Service], func(m *Member) bool {
		return f.takesPlain(now, m, r) && match(m) && float64(m.plain.inFlight) < m.plain.ownLimitNow(now)
	})
}

// unavailableReason returns the reason for a refusal: the service is full, or it has no
// usable upstream.
func (f *Fleet) unavailableReason(now time.Time, r *PendingRequest) wardturn.Reason {
	for _, m := range f.services[r.Service] {
		if m.usable(now, r.Tried) {
			return wardturn.ReasonQueueFull
		}
	}
	return wardturn.ReasonNoUpstream
}

func (r *PendingRequest) refuse(reason wardturn.Reason, retryAfter time.Duration) {
	r.refusePredicted(reason, retryAfter, 0)
}

// refusePredicted refuses a request whose response could have started after the predicted
// time; zero means that none is predicted.
func (r *PendingRequest) refusePredicted(reason wardturn.Reason, retryAfter, predicted time.Duration) {
	r.Assign(Assignment{
		Reason:     reason,
		RetryAfter: retryAfter,
		Rank:       r.Urgency.Rank,
		Team:       r.Urgency.Team,
		Predicted:  predicted,
	})
}

func (f *Fleet) assign(now time.Time, r *PendingRequest, m *Member, v wardturn.Version) {
	a := Assignment{
		Member:  m.Member,
		Version: v,
		Load:    m.load(),
		Prefill: m.pendingPrefill(now),
		Turn:    f.takesTurn(r, m),
		Rank:    r.Urgency.Rank,
		Team:    r.Urgency.Team,
		counted: f.Engine(r.Service) != nil,
	}
	if a.counted {
		f.teams.add(a.Team, 1)
	}
	m.bodyBytes += r.Body
	if m.plain != nil {
		m.plain.sent(now)
	}
	f.sent(now, m, r.Key, r.Prompt)
	if a.Turn {
		m.registerTurn(r.Prompt)
	}
	r.Assign(a)
}

// tryAssign assigns a request to an engine that can run it now, and reports whether it did.
func (f *Fleet) tryAssign(now time.Time, r *PendingRequest, out *Actions) bool {
	m := f.engineFor(now, r, f.newest(r.Key), anyMember)
	if m == nil && f.oldVersionServes(now, r.Key) {
		m = f.engineFor(now, r, 0, func(m *Member) bool {
			return f.startsBeforeEnd(now, m, r)
		})
	}
	if m == nil || f.waitsForLoad(now, r, m) {
		return false
	}
	version := wardturn.Version(0)
	if r.Key.Adapter != "" {
		version = m.held[r.Key].version
		f.considerCopy(now, r, m, out)
	}
	f.assign(now, r, m, version)
	return true
}

// engineFor returns the cheapest matching engine that can run a request now and holds its
// adapter at version least or newer, or nil. An engine whose streams would pause for too
// long for the request's prompt alone is chosen only if no other one is in time.
func (f *Fleet) engineFor(now time.Time, r *PendingRequest, least wardturn.Version, match func(*Member) bool) *Member {
	list := f.services[r.Service]
	if r.Key.Adapter != "" {
		list = f.holders[r.Key]
	}
	able := func(m *Member) bool {
		if m.Service != r.Service || !m.usable(now, r.Tried) || !f.allows(m, r.restriction()) || m.utilization() >= engineFillLimit || !f.bodyFits(m, r) {
			return false
		}
		return m.serves(now, r.Key, least) && match(m) && f.limits.Allows(now, m.ID)
	}
	cost := func(m *Member) float64 {
		return f.costForRequest(now, r, m)
	}
	best := cheapest(list, able, cost)
	if best == nil || !best.pausesForLong(now, r) {
		return best
	}
	other := cheapest(list, func(m *Member) bool {
		return able(m) && !m.pausesForLong(now, r) && meetsObjective(now, r, m, 0)
	}, cost)
	return cmp.Or(other, best)
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
func (f *Fleet) enqueue(now time.Time, r *PendingRequest, out *Actions) {
	missing := f.missingFor(now, r.Key, r.Service, r.restriction())
	r.missing = missing
	missing.waiting = append(missing.waiting, r)
	missing.latestArrival = now
	f.teams.add(r.Urgency.Team, 1)
	f.addUrgency(missing, r)
	f.reservePrefill(r, f.members[missing.home])
	if !missing.firstRequestedAt.IsZero() || missing.key.Adapter == "" {
		return
	}
	if len(missing.waiting) == 1 {
		f.requestWithoutStore(now, missing, out)
	}
	f.requestMissing(now, out)
}

// stopsWaiting records that a request doesn't wait for an adapter any more.
func (f *Fleet) stopsWaiting(r *PendingRequest) {
	r.missing = nil
	f.teams.add(r.Urgency.Team, -1)
}

// unservable reports whether no upstream may take a waiting request, whatever the
// upstreams' load. If so, it returns the reason and the retry time for the caller.
func (f *Fleet) unservable(now time.Time, r *PendingRequest) (reason wardturn.Reason, retryAfter time.Duration, none bool) {
	if reason, none := f.noneEligible(r); none {
		return reason, maxLoadRetryDelay, true
	}
	if f.allTried(r) {
		return wardturn.ReasonQueueFull, fullRetryAfter, true
	}
	if left, all := f.allBackingOff(now, r); all {
		return wardturn.ReasonBackoff, f.jitteredDelay(left), true
	}
	return "", 0, false
}

// Withdraw removes a waiting request whose caller has disconnected.
func (f *Fleet) Withdraw(r *PendingRequest) {
	if r.plainWaiting {
		f.plain.service(r.Service).dropWaiting(r)
		return
	}
	missing := r.missing
	if missing == nil {
		return
	}
	f.reservePrefill(r, nil)
	for i, o := range missing.waiting {
		if o == r {
			missing.waiting = append(missing.waiting[:i], missing.waiting[i+1:]...)
			break
		}
	}
	f.stopsWaiting(r)
	f.updateUrgency(missing)
}

// Tick performs the work that is due at a time: it refuses requests that can't be served in
// time any more, repeats load requests and advances rollouts.
func (f *Fleet) Tick(now time.Time, out *Actions) {
	f.countGateways(now)
	f.tickPlain(now)
	for _, missing := range f.missing {
		f.assignWaiting(now, missing, out)
		f.expire(now, missing, out)
		f.renewRequest(now, missing, out)
		f.countLoadQueue(now, missing)
	}
	f.queue.finishCount()
	f.advanceRollouts(now, out)
	f.requestMissing(now, out)
}

// assignWaiting tries to assign the requests that wait for an adapter: an engine that was
// full may have capacity again.
func (f *Fleet) assignWaiting(now time.Time, missing *missingAdapter, out *Actions) {
	if len(missing.waiting) == 0 || missing.key.Adapter != "" && len(f.holders[missing.key]) == 0 {
		return
	}
	f.sortWaiting(now, missing.waiting)
	kept := missing.waiting[:0]
	for _, r := range missing.waiting {
		f.reservePrefill(r, nil)
		if !f.tryAssign(now, r, out) {
			f.reservePrefill(r, f.members[missing.home])
			kept = append(kept, r)
			continue
		}
		f.stopsWaiting(r)
	}
	f.keepWaiting(missing, kept)
}

// expire ends the wait of requests that can't be served in time any more. A request that
// waited only for a faster engine is assigned to a slow one; the others are refused with a
// retry time.
func (f *Fleet) expire(now time.Time, missing *missingAdapter, out *Actions) {
	kept := missing.waiting[:0]
	tokens := 0 // of the prompts of those kept
	for _, r := range missing.waiting {
		reason, retryAfter, none := f.unservable(now, r)
		if !none && !f.shouldRefuse(now, missing, r, len(kept), tokens) {
			kept = append(kept, r)
			tokens += int(r.Prompt)
			f.queue.countWaiting(now, r)
			continue
		}
		f.stopsWaiting(r)
		f.reservePrefill(r, nil)
		if none {
			r.refuse(reason, retryAfter)
			continue
		}
		r.acceptsSlow = true
		if f.tryAssign(now, r, out) {
			continue
		}
		predicted := f.predictedWait(now, missing, r)
		retryAfter = f.loadRetryDelay(now, missing)
		missing.expectedRetries++
		missing.retryWeight += rankWeight(r.Urgency.Rank)
		missing.retriesUntil = now.Add(min(retryAfter, maxLoadRetryDelay) + r.Objective)
		r.refusePredicted(wardturn.ReasonLoading, min(retryAfter, maxLoadRetryDelay), predicted)
	}
	f.keepWaiting(missing, kept)
}
