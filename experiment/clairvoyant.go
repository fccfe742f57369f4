package experiment

import (
	"slices"
	"time"

	"wardturn"
	"wardturn/policy"
	"wardturn/standin"
)

// clairvoyant is a policy that knows the future requests of the trace. It serves as a
// reference for the other policies. It keeps the adapters that are requested soonest and
// loads the one that serves the most waiting and upcoming requests. Like every policy it
// loads only for requests that have arrived.
type clairvoyant struct {
	policy.Default
	clock    wardturn.Clock
	arrivals map[wardturn.AdapterID][]time.Duration // ascending arrival times of all requests
}

// newClairvoyant returns a function that creates the policy with the clock of its run.
func newClairvoyant(trace []Request) func(clock wardturn.Clock) wardturn.Policy {
	arrivals := make(map[wardturn.AdapterID][]time.Duration)
	for _, r := range trace {
		arrivals[r.Adapter] = append(arrivals[r.Adapter], r.ArrivalTime())
	}
	return func(clock wardturn.Clock) wardturn.Policy {
		return &clairvoyant{
			clock:    clock,
			arrivals: arrivals,
		}
	}
}

// Name implements wardturn.Policy.
func (*clairvoyant) Name() string {
	return policy.NameClairvoyant
}

// Slot implements wardturn.Policy.
func (p *clairvoyant) Slot(in wardturn.SlotInput) float64 {
	now := p.clock.Now().Sub(standin.Epoch)
	v := 0.0
	if wait, ok := p.nextUse(in.Adapter, now); ok {
		v = 1 / (1 + wait.Seconds())
	}
	if in.Waiting > 0 {
		v += float64(in.Waiting) + clairvoyantAgeWeight*in.OldestWaiting.Seconds()
	}
	return v + min(clairvoyantBatchWeight*float64(in.BatchWaiting), clairvoyantBatchLimit)
}

// Weights of the policy's score of a slot.
const (
	clairvoyantAgeWeight   = 0.05
	clairvoyantBatchWeight = 0.01
	clairvoyantBatchLimit  = 0.1
)

// nextUse returns the time from now until the next request for an adapter.
func (p *clairvoyant) nextUse(id wardturn.AdapterID, now time.Duration) (time.Duration, bool) {
	arrivals := p.arrivals[id]
	i, _ := slices.BinarySearch(arrivals, now)
	if i == len(arrivals) {
		return 0, false
	}
	return arrivals[i] - now, true
}
