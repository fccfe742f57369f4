package decide

import (
	"time"

	"wardturn"
)

const (
	// minHeadroom is the spare part of the store's rate that is assumed at
	// least: beyond saturation a backlog would never clear.
	minHeadroom = 0.1
	// keepBusy is the backlog, in time, below which no load is refused for the
	// sake of others: the store must not run idle.
	keepBusy = 300 * time.Millisecond
	// residence is the time for which a loaded adapter is expected to stay, and
	// so to serve its further requests without another load.
	residence = 20 * time.Second
	// maxRetryAfter bounds what a refused caller is told.
	maxRetryAfter = 30 * time.Second
)

// screenDeadline refuses a request that cannot make its deadline, and one whose
// load would cost the others more than it gains.
//
// A load that joins a backlog delays every load after it, until the backlog is
// gone, by one interval of the store. While the store has room that is little.
// Near saturation the backlog hardly clears, and one more load costs more
// waiting than a refusal: to refuse early keeps the stalls of all that are
// served short, and the store as busy as before.
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
		return Refusal{}, false // it adds no load
	}
	return a.screenLoad(now, w, ad, left)
}

func (a *Agent) screenLoad(now time.Time, w Work, ad *adapter, left time.Duration) (Refusal, bool) {
	c := a.congestion(now)
	own := a.loadTime + time.Duration(c.Backlog)*c.Interval
	clears := c.clears()
	cost := own + time.Duration(c.Load*float64(clears))
	gain := time.Duration(float64(left) * (1 + a.rateOf(now, ad)*residence.Seconds()))
	short := time.Duration(c.Backlog)*c.Interval <= keepBusy
	if own <= left && (short || cost <= gain) {
		return Refusal{}, false
	}
	a.miss(now)
	a.adapter(w.Adapter).demand.Arrive(now)
	return refuse(w, wardturn.ReasonDeadline, min(max(own, clears), maxRetryAfter)), true
}

// clears is the time until the backlog is gone.
func (c Congestion) clears() time.Duration {
	headroom := max(1-c.Load, minHeadroom)
	return time.Duration(float64(c.Backlog) * float64(c.Interval) / headroom)
}

func (a *Agent) congestion(now time.Time) Congestion {
	return a.permits.Congestion(now, Congestion{
		Backlog: a.urgentWants(now),
		Load:    a.missRate.rate(now),
	})
}

func (a *Agent) rateOf(now time.Time, ad *adapter) float64 {
	if ad == nil {
		return 0
	}
	return ad.demand.Rate(now)
}

// miss counts a want that arose.
func (a *Agent) miss(now time.Time) {
	a.misses++
	a.missRate.add(now, 1)
}

// runDelay estimates the wait for a place in the engine's batch.
func (a *Agent) runDelay() time.Duration {
	if a.running < a.cfg.MaxRunning {
		return 0
	}
	return a.queueDelay()
}
