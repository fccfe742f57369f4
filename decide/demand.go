package decide

import (
	"math"
	"time"
)

const (
	// demandMemory is the time constant of the long estimate: requests older
	// than a few times this no longer count.
	demandMemory = 120 * time.Second
	// demandPriorTime and demandPriorCount are what is taken to have been seen
	// of every adapter before anything was: most adapters are rarely asked for.
	demandPriorTime  = 60 * time.Second
	demandPriorCount = 0.2
	// demandBurst is the time constant of the short estimate.
	demandBurst = 20 * time.Second
	// demandSurprise is how many standard deviations the short estimate must
	// exceed the long one before it replaces it.
	demandSurprise = 2.0
	// demandSilence is the number of expected but missing requests after which
	// an adapter is taken to have lost its popularity.
	demandSilence = 2.0
)

// Demand estimates the request rate of one adapter. It follows a shift of
// popularity in both directions: a burst far above the long average replaces
// it, and a silence far longer than the average gap lowers it.
//
// The time over which requests are counted starts when the observer starts, not
// with the adapter's first request: a single request after a long silence means
// a low rate.
type Demand struct {
	long  float64
	short float64
	born  time.Time // start of the counting
	last  time.Time // latest request; zero before the first
	at    time.Time // of the decayed counts
}

// NewDemand returns the estimate for an adapter that was not asked for since the
// observer's start.
func NewDemand(start time.Time) Demand {
	return Demand{
		born: start,
		at:   start,
	}
}

// Arrive records one request.
func (d *Demand) Arrive(now time.Time) {
	d.decay(now)
	d.long++
	d.short++
	d.last = now
	if d.surprised(now) {
		d.restart(now)
	}
}

// Rate predicts the requests a second over the next minute or so.
func (d *Demand) Rate(now time.Time) float64 {
	faded := math.Exp(-now.Sub(d.at).Seconds() / demandMemory.Seconds())
	rate := (d.long*faded + demandPriorCount) / d.window(now)
	gap := now.Sub(d.last).Seconds()
	if !d.last.IsZero() && gap*rate > demandSilence {
		return demandSilence / gap / 2
	}
	return rate
}

// Last returns the time of the latest request, or the start of the counting.
func (d *Demand) Last() time.Time {
	if d.last.IsZero() {
		return d.born
	}
	return d.last
}

func (d *Demand) decay(now time.Time) {
	gap := now.Sub(d.at).Seconds()
	if gap <= 0 {
		return
	}
	d.long *= math.Exp(-gap / demandMemory.Seconds())
	d.short *= math.Exp(-gap / demandBurst.Seconds())
	d.at = now
}

// window is the time, decayed as the counts are, in which they were collected.
func (d *Demand) window(now time.Time) float64 {
	memory := demandMemory.Seconds()
	age := now.Sub(d.born).Seconds()
	return memory*(1-math.Exp(-age/memory)) + demandPriorTime.Seconds()
}

func (d *Demand) surprised(now time.Time) bool {
	expected := (d.long - d.short + demandPriorCount) / d.window(now) * demandBurst.Seconds()
	return d.short > expected+demandSurprise*math.Sqrt(expected+1)
}

// restart forgets the long average and goes on from the burst.
func (d *Demand) restart(now time.Time) {
	d.long = d.short
	d.born = now.Add(-demandBurst)
}
