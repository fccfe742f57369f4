package decide

import (
	"math"
	"slices"
	"time"
)

// loadRateMemory is the time constant of the observed rates of loads. It is the longest
// delay after which callers are told to retry, so the rates hold for about as long as they
// are used.
const loadRateMemory = maxLoadRetryDelay

// loadRate measures loads per second as an exponentially weighted moving average. The zero
// value is ready to use.
type loadRate struct {
	count float64
	since time.Time
	at    time.Time
}

func (r *loadRate) add(now time.Time) {
	if r.since.IsZero() {
		r.since = now
	}
	r.count = r.decayed(now) + 1
	r.at = now
}

func (r *loadRate) decayed(now time.Time) float64 {
	return r.count * math.Exp(-now.Sub(r.at).Seconds()/loadRateMemory.Seconds())
}

// perSecond returns the rate. A second is added to the time of observation, so that the
// first loads don't look like a high rate.
func (r *loadRate) perSecond(now time.Time) float64 {
	if r.since.IsZero() {
		return 0
	}
	memory := loadRateMemory.Seconds()
	window := memory * (1 - math.Exp(-now.Sub(r.since).Seconds()/memory))
	return r.decayed(now) / (window + 1)
}

// loadQueue is this gateway's queue of adapters that no engine was asked for yet, and the
// rates of loads from the weight store by which it predicts how fast the queue moves.
type loadQueue struct {
	all    loadRate // loads of all gateways that keepers reported
	own    loadRate // those that this gateway requested
	inTime loadRate // of its own, those for requests that could be in time
	// Counted during a Tick.
	inTimeLength int        // adapters whose load can bring a request in time
	late         []lateLoad // the others that requests wait for
	inTimeBefore int        // inTimeLength of the latest Tick
	waiting      int        // requests that wait beyond their objective
	lateWaiting  int        // waiting of the latest Tick
}

// lateLoad is an adapter whose load comes too late for the objectives of all its requests.
type lateLoad struct {
	missing *missingAdapter
	order   loadOrder
}

// count adds an adapter to the queue that is being counted.
func (q *loadQueue) count(missing *missingAdapter, o loadOrder) {
	missing.countedInTime = o.inTime
	if o.inTime {
		q.inTimeLength++
		missing.countedLate = false
		return
	}
	if len(missing.waiting) == 0 {
		return // goes after all for which requests wait
	}
	q.late = append(q.late, lateLoad{
		missing: missing,
		order:   o,
	})
}

// finishCount completes the count and sets the number of adapters before each late one.
func (q *loadQueue) finishCount() {
	slices.SortFunc(q.late, func(x, y lateLoad) int {
		switch {
		case x.order.before(&y.order):
			return -1
		case y.order.before(&x.order):
			return 1
		}
		return 0
	})
	for i, l := range q.late {
		l.missing.loadsAhead = q.inTimeLength + i
		l.missing.countedLate = true
	}
	clear(q.late)
	q.late = q.late[:0]
	q.inTimeBefore = q.inTimeLength
	q.inTimeLength = 0
	q.lateWaiting = q.waiting
	q.waiting = 0
}

// countWaiting counts a request that waits on if its objective has ended.
func (q *loadQueue) countWaiting(now time.Time, r *PendingRequest) {
	if now.After(r.lateAt()) {
		q.waiting++
	}
}

// requested counts a load from the weight store that this gateway requests.
func (q *loadQueue) requested(now time.Time, inTime bool) {
	q.own.add(now)
	if inTime {
		q.inTime.add(now)
	}
}

// countLoadQueue counts an adapter that no engine was asked for. It is part of Tick.
func (f *Fleet) countLoadQueue(now time.Time, missing *missingAdapter) {
	if f.ranked && missing.unrequested(now) {
		f.queue.count(missing, f.loadOrderOf(now, missing))
	}
}

// reservedLoads is the part of the load window that loads for late requests leave free, so
// that they don't delay one for a request in time. Requests arrive independently, so the
// standard deviation of the number of loads in flight is about the square root of its mean.
// Two of them are left free, but no more than half of a small window.
func (f *Fleet) reservedLoads() float64 {
	size := float64(f.window.Size())
	return min(2*math.Sqrt(size), size/2)
}

// lateLoadRate predicts how many loads per second this gateway may request for late
// requests: its share of what the weight store serves beside the loads for requests in
// time. Gateways don't know each other's requests, so the loads of all gateways are assumed
// to be for requests in time as often as those of this one.
func (f *Fleet) lateLoadRate(now time.Time) float64 {
	capacity := (float64(f.window.Size()) - f.reservedLoads()) / f.window.MedianLoadTime().Seconds()
	part := 1.0
	if own := f.queue.own.decayed(now); own > 0 {
		part = f.queue.inTime.decayed(now) / own
	}
	return (capacity - part*f.queue.all.perSecond(now)) / float64(f.Gateways())
}

// loadsStalled reports whether loads in flight leave no room for late ones and none has
// started for twice the usual load time: the weight store or the engines have stalled.
func (f *Fleet) loadsStalled(now time.Time) bool {
	room := float64(f.window.Size()-f.loadsInFlight) - f.reservedLoads()
	return room <= 0 && now.Sub(f.queue.all.at) > 2*f.window.MedianLoadTime()
}

// loadsAhead returns the number of adapters before a missing one in the queue of loads, as
// of the latest Tick. Late requests wait behind all adapters that can be in time, also those
// whose own adapter is one of these.
func (f *Fleet) loadsAhead(missing *missingAdapter) int {
	if missing.countedInTime {
		return max(0, f.queue.inTimeBefore-1)
	}
	return missing.loadsAhead
}

// noHome reports whether none of the engines can take the load of a missing adapter: none
// was found at two attempts in a row.
func (missing *missingAdapter) noHome() bool {
	return !missing.noHomeSince.IsZero() && missing.requestedAt.Sub(missing.noHomeSince) >= loadRequestInterval
}

// predictLoad predicts when a missing adapter is available, with its place in the queue of
// loads. It reports false if no load is predicted.
func (f *Fleet) predictLoad(now time.Time, missing *missingAdapter) (time.Duration, bool) {
	load := f.window.MedianLoadTime()
	if missing.firstRequestedAt.IsZero() {
		rate := f.lateLoadRate(now)
		if rate <= 0 || f.loadsStalled(now) || missing.noHome() {
			return 0, false
		}
		queue := float64(f.loadsAhead(missing)+1) / rate
		if queue > maxPredictedQueue.Seconds() {
			return 0, false
		}
		return load + time.Duration(queue*float64(time.Second)), true
	}
	home := f.members[missing.home]
	if home == nil || now.Sub(missing.firstRequestedAt) > 2*(load+noSlotWait) {
		return 0, false // the engine has no room for it
	}
	return f.timeToAvailable(now, missing, home), true
}

// predictedWait predicts the time until the response to a waiting request could start, or
// returns zero if no load is predicted.
func (f *Fleet) predictedWait(now time.Time, missing *missingAdapter, r *PendingRequest) time.Duration {
	available, ok := f.predictLoad(now, missing)
	switch {
	case !f.ranked || f.isHeld(missing):
		available = f.loadRetryDelay(now, missing)
	case !ok:
		return 0
	}
	return available + f.prefillRateOf(r.Service).time(int(r.Prompt))
}

// maxPredictedQueue bounds predictions; no caller waits as long.
const maxPredictedQueue = time.Hour

// waitsBeyondObjective reports whether a request waits on although it can't be in time any
// more: when more adapters are wanted for some seconds than loads allow, a caller with a
// long deadline gets a late response instead of a refusal. Its adapter must be predicted to
// be available, and the prompts before it to be prefilled, in half of the time to its
// deadline, since the response has to be generated by then as well and predictions are
// uncertain. This bounds the number that waits by what can be served. before is the number
// of requests that wait for the same adapter before it, and tokens that of their prompts;
// more than a batch would queue at the engine.
func (f *Fleet) waitsBeyondObjective(now time.Time, missing *missingAdapter, r *PendingRequest, before, tokens int) bool {
	if !f.ranked || missing.key.Adapter == "" || f.isHeld(missing) {
		return false
	}
	if spec := f.Engine(r.Service); spec == nil || before >= max(spec.Batch, 1) {
		return false
	}
	if missing.firstRequestedAt.IsZero() && !missing.countedLate && !(missing.countedInTime && f.loadInTime(now, missing)) {
		return true // missing or late since the latest Tick; its place in the queue is not known yet
	}
	available, ok := f.predictLoad(now, missing)
	if !ok {
		return false
	}
	start := available + f.prefillRateOf(r.Service).time(tokens+int(r.Prompt))
	return !now.Add(2 * start).After(r.Deadline.Add(-refusalMargin))
}
