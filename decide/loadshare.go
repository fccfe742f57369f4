package decide

import (
	"math/rand/v2"
	"time"
)

// requestSettleTime is how long a load request counts as a load in flight before its
// keeper reports the load. It is far longer than a load order and the report on it take.
// An engine without a free slot starts the load later, and until then the load uses no
// capacity of the store.
const requestSettleTime = 100 * time.Millisecond

// drawInterval is the least time between two random draws, about the time until other
// gateways see the load that results from one.
const drawInterval = 10 * time.Millisecond

// availableLoads returns how many loads from the weight store this gateway may request
// now: its share of the window's free part. Gateways see each other's requests only after
// a delay, so a share of less than one load is granted at random, with the share as its
// probability. Reserved is the part of the window that is left free.
func (f *Fleet) availableLoads(now time.Time, reserved float64) int {
	share := f.share(now, reserved)
	switch {
	case share >= 1:
		return int(share)
	case share <= 0 && reserved > 0:
		return 0 // without a draw: it would delay a load for which less is reserved
	}
	if now.Sub(f.lastDrawAt) < drawInterval {
		return 0
	}
	f.lastDrawAt = now
	if f.cfg.Random() < share {
		return 1
	}
	return 0
}

// hasSpareCapacity reports whether the store has capacity for a load that no request
// waits for. That is so if this gateway's share is at least one load, or, at random,
// while more than half of the window is free. With more gateways than the window has
// loads no share reaches one, and without the random case no adapter would ever get a
// second engine.
func (f *Fleet) hasSpareCapacity(now time.Time) bool {
	return f.share(now, 0) >= 1 || 2*f.loadsInFlight < f.window.Size() && f.availableLoads(now, 0) > 0
}

func (f *Fleet) share(now time.Time, reserved float64) float64 {
	left := float64(f.window.Size()-f.loadsInFlight) - reserved
	return left/float64(f.Gateways()) - float64(f.unreportedLoads(now))
}

// unreportedLoads counts the recently requested loads that no keeper has reported yet.
func (f *Fleet) unreportedLoads(now time.Time) int {
	n := 0
	for _, missing := range f.missing {
		if missing.firstRequestedAt.IsZero() || missing.warm || now.Sub(missing.firstRequestedAt) > requestSettleTime {
			continue
		}
		if m := f.members[missing.home]; m == nil || !m.held[missing.key].loading {
			n++
		}
	}
	return n
}

// countLoads updates the number of loads from the weight store at a member and in total.
func (f *Fleet) countLoads(m *Member) {
	n := 0
	for _, h := range m.held {
		if h.loading && !h.warm {
			n++
		}
	}
	f.loadsInFlight += n - m.loadsInFlight
	m.loadsInFlight = n
}

// RandomFloat returns a uniformly distributed random number in [0, 1).
func RandomFloat() float64 {
	return rand.Float64()
}
