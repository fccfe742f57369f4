package decide

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wardturn"
)

// rankWeight returns the weight of one request of a rank: half of that of the next more
// urgent rank. Rank 0 weighs 1.
func rankWeight(rank int) float64 {
	return math.Ldexp(1, -max(rank, 0))
}

// ranksDiffer reports whether the configuration has requests to engines that differ in
// rank. If not, all orders of loads and requests are those of a single rank.
func ranksDiffer(t *wardturn.RouteTable) bool {
	if t == nil {
		return false
	}
	ranks := make(map[int]bool)
	for _, r := range t.Routes {
		if slices.ContainsFunc(r.Targets, func(target wardturn.RouteTarget) bool {
			return t.Services[target.Service].Engine != nil
		}) {
			ranks[r.Priority] = true
		}
	}
	priorities := make(map[int]bool)
	for _, team := range t.Teams {
		priority := 0
		if team.Priority != nil {
			priority = *team.Priority
		}
		priorities[priority] = true
	}
	return len(ranks) > 1 || len(priorities) > 1
}

// waitingUrgency summarizes the requests that wait for an adapter, so that comparing two
// adapters doesn't visit their requests.
type waitingUrgency struct {
	weight float64   // their number, weighted by rank
	lateAt time.Time // end of their latest objective
	// neededBy is by when the adapter has to be available for one of them to be in time.
	neededBy time.Time
	// rank is that of the most urgent of them, and teamLoad the number of requests of the team
	// of the latest of that rank.
	rank     int
	teamLoad *int
}

// addUrgency adds a request to the summary of those that wait for an adapter.
func (f *Fleet) addUrgency(missing *missingAdapter, r *PendingRequest) {
	u := &missing.urgency
	if rank := r.Urgency.Rank; u.weight == 0 || rank <= u.rank {
		u.rank = rank
		u.teamLoad = f.teams.of(r.Urgency.Team)
	}
	u.weight += rankWeight(r.Urgency.Rank)
	if late := r.lateAt(); late.After(u.lateAt) {
		u.lateAt = late
	}
	if needed := r.lateAt().Add(-f.prefillRateOf(r.Service).time(int(r.Prompt))); needed.After(u.neededBy) {
		u.neededBy = needed
	}
}

// updateUrgency recomputes the summary after requests stopped waiting.
func (f *Fleet) updateUrgency(missing *missingAdapter) {
	missing.urgency = waitingUrgency{}
	for _, r := range missing.waiting {
		f.addUrgency(missing, r)
	}
}

// keepWaiting keeps only some of the requests that wait for an adapter. They must be at the
// start of the array of missing.waiting.
func (f *Fleet) keepWaiting(missing *missingAdapter, kept []*PendingRequest) {
	if len(kept) == len(missing.waiting) {
		return
	}
	clear(missing.waiting[len(kept):])
	missing.waiting = kept
	f.updateUrgency(missing)
}

// lateAt returns the end of the request's latency objective.
func (r *PendingRequest) lateAt() time.Time {
	return r.Arrived.Add(r.Objective)
}

// backlog returns the number of requests that a load would still serve: those that wait and
// those that were refused with a retry time and may still be retried.
func (missing *missingAdapter) backlog(now time.Time) int {
	if missing.expectedRetries > 0 && now.Before(missing.retriesUntil) {
		return len(missing.waiting) + missing.expectedRetries
	}
	return len(missing.waiting)
}

// weight is backlog with each request weighted by its rank.
func (missing *missingAdapter) weight(now time.Time) float64 {
	if missing.expectedRetries > 0 && now.Before(missing.retriesUntil) {
		return missing.urgency.weight + missing.retryWeight
	}
	return missing.urgency.weight
}

// lateIn returns the time until the end of the latest objective of the requests that a load
// is for. A copy that no request waits for is for the requests to come.
func (missing *missingAdapter) lateIn(now time.Time) time.Duration {
	switch {
	case len(missing.waiting) > 0:
		return missing.urgency.lateAt.Sub(now)
	case missing.relieved > 0:
		return missing.relievedObjective
	}
	return -1
}

// forRequestsToCome reports whether an adapter is loaded before requests wait for it: in
// another failure domain than an evacuated one, in a newer version, or nearer. Such a load
// counts as in time and, since the ranks are not known, as unweighted.
func (missing *missingAdapter) forRequestsToCome() bool {
	return missing.preload && len(missing.waiting) == 0
}

// abandoned reports whether no request waits and the refused ones were not retried in time.
func (missing *missingAdapter) abandoned(now time.Time) bool {
	return missing.expectedRetries > 0 && missing.backlog(now) == 0
}

// loadOrder is what the order of the missing adapters depends on.
type loadOrder struct {
	inTime      bool // a load can still bring a request in time
	weight      float64
	teamLoad    int       // requests of the team of its most urgent request
	arrival     time.Time // of the latest request
	adapter     wardturn.AdapterID
	model       wardturn.BaseModel
	restriction string // missingKey.restriction
}

// before reports whether an adapter is requested before another. When more adapters are
// missing than loads allow, the order is: those whose load can bring a request in time, those
// with more requests, weighted by rank, those of the team with fewer requests at this gateway,
// those whose latest request arrived later. In order of arrival, requests for the adapter that
// has waited longest would be refused before its load completes, and those for all adapters
// would be late.
func (o *loadOrder) before(p *loadOrder) bool {
	if o.inTime != p.inTime {
		return o.inTime
	}
	if o.weight != p.weight {
		return o.weight > p.weight
	}
	if o.teamLoad != p.teamLoad {
		return o.teamLoad < p.teamLoad
	}
	if !o.arrival.Equal(p.arrival) {
		return o.arrival.After(p.arrival)
	}
	if o.adapter != p.adapter {
		return o.adapter < p.adapter
	}
	if o.model != p.model {
		return o.model < p.model
	}
	return o.restriction < p.restriction
}

// loadOrderOf returns the place of a missing adapter in the order of loads. Without
// different ranks it depends on neither rank nor objective.
func (f *Fleet) loadOrderOf(now time.Time, missing *missingAdapter) loadOrder {
	inTime, weight := f.loadClass(now, now.Add(f.window.MedianLoadTime()), missing)
	return loadOrder{
		inTime:      inTime,
		weight:      weight,
		teamLoad:    loadOf(missing.urgency.teamLoad),
		arrival:     missing.latestArrival,
		adapter:     missing.key.Adapter,
		model:       missing.key.Model,
		restriction: missing.restrictionKey,
	}
}

// loadClass returns the first two fields of the loadOrder of a missing adapter. A load that
// is requested now ends at the time loaded.
func (f *Fleet) loadClass(now, loaded time.Time, missing *missingAdapter) (inTime bool, weight float64) {
	if !f.ranked {
		return true, float64(missing.backlog(now))
	}
	if loaded.After(missing.urgency.neededBy) && !missing.forRequestsToCome() {
		return false, missing.urgency.weight // callers that may retry go after those that wait
	}
	return true, missing.weight(now)
}

// loadInTime reports whether a load that is requested now can bring one of the requests
// that wait for the adapter in time.
func (f *Fleet) loadInTime(now time.Time, missing *missingAdapter) bool {
	return !now.Add(f.window.MedianLoadTime()).After(missing.urgency.neededBy)
}

// unrequested reports whether an adapter has requests and no engine was asked for it.
func (missing *missingAdapter) unrequested(now time.Time) bool {
	return missing.key.Adapter != "" && missing.firstRequestedAt.IsZero() && missing.backlog(now) > 0
}

// nextMissing returns the missing adapter to request next, or nil, and its place in the
// order of loads.
func (f *Fleet) nextMissing(now time.Time) (best *missingAdapter, first loadOrder) {
	loaded := now.Add(f.window.MedianLoadTime())
	for _, missing := range f.missing {
		if !missing.unrequested(now) || now.Sub(missing.requestedAt) < loadRequestInterval {
			continue
		}
		inTime, weight := f.loadClass(now, loaded, missing)
		if best != nil && (first.inTime && !inTime || first.inTime == inTime && weight < first.weight) {
			continue
		}
		o := f.loadOrderOf(now, missing)
		if best == nil || o.before(&first) {
			best = missing
			first = o
		}
	}
	return best, first
}

// sortWaiting sorts the requests that wait for an adapter in the order in which they are
// assigned when engines have room for only some of them: those that can be in time, then
// the more urgent ones, then those of the team with fewer requests at this gateway, then
// those that are late sooner. Without different ranks and teams they stay in order of
// arrival.
func (f *Fleet) sortWaiting(now time.Time, waiting []*PendingRequest) {
	if !f.ranked && len(f.teams) < 2 || len(waiting) < 2 {
		return
	}
	slices.SortStableFunc(waiting, func(x, y *PendingRequest) int {
		return f.compareWaiting(now, x, y)
	})
}

func (f *Fleet) compareWaiting(now time.Time, x, y *PendingRequest) int {
	teams := cmp.Compare(loadOf(f.teams.of(x.Urgency.Team)), loadOf(f.teams.of(y.Urgency.Team)))
	if !f.ranked {
		return teams
	}
	if inTime := f.prefillInTime(now, x); inTime != f.prefillInTime(now, y) {
		if inTime {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(x.Urgency.Rank, y.Urgency.Rank), teams, x.lateAt().Compare(y.lateAt()))
}

// prefillInTime reports whether a request is in time if its prefill starts now.
func (f *Fleet) prefillInTime(now time.Time, r *PendingRequest) bool {
	return !now.Add(f.prefillRateOf(r.Service).time(int(r.Prompt))).After(r.lateAt())
}
