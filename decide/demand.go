package decide

import (
	"math"
	"time"
)

const (
	// demandLongDecay is the time constant of the long estimate: requests older
	// than a few times this no longer count.
	demandLongDecay = 120 * time.Second
	// demandPriorTime and demandPriorCount are the prior: the time and the number of
	// requests that every adapter is assumed to have been observed with before the first
	// real one. It is low because most adapters are rarely requested.
	demandPriorTime  = 60 * time.Second
	demandPriorCount = 0.2
	// demandShortDecay is the time constant of the short estimate.
	demandShortDecay = 20 * time.Second
	// demandBurstDeviations is how many standard deviations the short estimate must
	// exceed the long one before it replaces it.
	demandBurstDeviations = 2.0
	// demandMissing is the number of expected requests that may fail to arrive before
	// the estimate is lowered.
	demandMissing = 2.0
)

// Demand estimates the request rate of one adapter from two exponentially decayed
// counts with a long and a short time constant. It follows changes of popularity in
// both directions: a burst far above the long-term average replaces that average, and
// a gap far longer than the average gap lowers the estimate.
//
// The observation period starts when the observer starts, not with the adapter's first
// request, so that a single request after a long silence yields a low rate.
type Demand struct {
	longCount  float64
	shortCount float64
	start      time.Time // start of the observation period
	last       time.Time // latest request; zero before the first
	countsAt   time.Time // the time to which the counts are decayed
}

// NewDemand returns the estimate for an adapter without any request since start, the
// time at which its observer started.
func NewDemand(start time.Time) Demand {
	return Demand{
		start:    start,
		countsAt: start,
	}
}

// Record records one request.
func (d *Demand) Record(now time.Time) {
	d.decay(now)
	d.longCount++
	d.shortCount++
	d.last = now
	if d.burstDetected(now) {
		d.restart(now)
	}
}

// Rate returns the predicted requests per second over about the next minute.
func (d *Demand) Rate(now time.Time) float64 {
	decayed := math.Exp(-now.Sub(d.countsAt).Seconds() / demandLongDecay.Seconds())
	rate := (d.longCount*decayed + demandPriorCount) / d.window(now)
	gap := now.Sub(d.last).Seconds()
	if !d.last.IsZero() && gap*rate > demandMissing {
		return demandMissing / gap / 2
	}
	return rate
}

// Last returns the time of the latest request, or the start of the observation period
// if there was none.
func (d *Demand) Last() time.Time {
	if d.last.IsZero() {
		return d.start
	}
	return d.last
}

func (d *Demand) decay(now time.Time) {
	gap := now.Sub(d.countsAt).Seconds()
	if gap <= 0 {
		return
	}
	d.longCount *= math.Exp(-gap / demandLongDecay.Seconds())
	d.shortCount *= math.Exp(-gap / demandShortDecay.Seconds())
	d.countsAt = now
}

// window returns the observation period in seconds, decayed in the same way as the
// counts and including the prior.
func (d *Demand) window(now time.Time) float64 {
	memory := demandLongDecay.Seconds()
	age := now.Sub(d.start).Seconds()
	return memory*(1-math.Exp(-age/memory)) + demandPriorTime.Seconds()
}

func (d *Demand) burstDetected(now time.Time) bool {
	expected := (d.longCount - d.shortCount + demandPriorCount) / d.window(now) * demandShortDecay.Seconds()
	return d.shortCount > expected+demandBurstDeviations*math.Sqrt(expected+1)
}

// restart replaces the long-term count by the burst.
func (d *Demand) restart(now time.Time) {
	d.longCount = d.shortCount
	d.start = now.Add(-demandShortDecay)
}
