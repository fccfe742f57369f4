package decide

import (
	"time"

	"wardturn"
)

const (
	// minHeadroom is the least spare fraction of the store's rate that is assumed: beyond
	// saturation the estimated time to clear a backlog would be infinite.
	minHeadroom = 0.1
	// minRefusalBacklog is the backlog, as a time, below which no load is refused for its
	// cost to other requests, so that the store does not run idle.
	minRefusalBacklog = 300 * time.Millisecond
	// expectedResidency is how long a loaded adapter is expected to stay in its slot, and
	// thus to serve further requests without another load.
	expectedResidency = 20 * time.Second
	// maxRetryAfter bounds the retry time returned to refused callers.
	maxRetryAfter = 30 * time.Second
)

// screenDeadline refuses a request that cannot meet its deadline, and one whose load
// would cost other requests more waiting than it saves.
//
// A load that joins a backlog delays every later load by one interval of the store until
// the backlog has cleared. While the store has spare capacity this cost is small. Near
// saturation the backlog hardly clears, and one more load costs more waiting than a
// refusal. Refusing early keeps the stalls of the served requests short and the store
// equally busy.
func (a *Agent) screenDeadline(now time.Time, w Work) (Refusal, bool) {
	left := w.Deadline.Sub(now)
	queued := a.runDelay()
	if a.cfg.AdmitAll {
		return Refusal{}, false
	}
	if queued > left {
		return refuse(w, wardturn.ReasonDeadline, queued), true
	}
	if w.Adapter.IsZero() {
		return Refusal{}, false
	}
	ad := a.adapters[w.Adapter]
	if ad != nil && (ad.slot != noSlot || ad.interactive.len() > 0) {
		return Refusal{}, false // needs no additional load
	}
	return a.screenLoad(now, w, ad, left)
}

func (a *Agent) screenLoad(now time.Time, w Work, ad *adapter, left time.Duration) (Refusal, bool) {
	c := a.congestion(now)
	loadDelay := a.loadTime + time.Duration(c.Backlog)*c.Interval
	clearTime := c.clearTime()
	cost := loadDelay + time.Duration(c.Load*float64(clearTime))
	gain := time.Duration(float64(left) * (1 + a.requestRate(now, ad)*expectedResidency.Seconds()))
	smallBacklog := time.Duration(c.Backlog)*c.Interval <= minRefusalBacklog
	if loadDelay <= left && (smallBacklog || cost <= gain) {
		return Refusal{}, false
	}
	a.miss(now)
	a.adapter(w.Adapter).demand.Record(now)
	return refuse(w, wardturn.ReasonDeadline, min(max(loadDelay, clearTime), maxRetryAfter)), true
}

// clearTime returns the time until the backlog has cleared.
func (c Congestion) clearTime() time.Duration {
	headroom := max(1-c.Load, minHeadroom)
	return time.Duration(float64(c.Backlog) * float64(c.Interval) / headroom)
}

func (a *Agent) congestion(now time.Time) Congestion {
	return a.permits.Congestion(now, Congestion{
		Backlog: a.urgentMissing(now),
		Load:    a.missRate.rate(now),
	})
}

func (a *Agent) requestRate(now time.Time, ad *adapter) float64 {
	if ad == nil {
		return 0
	}
	return ad.demand.Rate(now)
}

// miss counts an adapter that is requested and has no slot.
func (a *Agent) miss(now time.Time) {
	a.misses++
	a.missRate.add(now, 1)
}

// runDelay estimates the wait for a free position in the engine's batch.
func (a *Agent) runDelay() time.Duration {
	if a.running < a.cfg.MaxRunning {
		return 0
	}
	return a.queueDelay()
}
