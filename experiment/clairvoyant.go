package experiment

import (
	"slices"
	"time"

	"wardturn"
	"wardturn/policy"
	"wardturn/standin"
)

// clairvoyant is the bound: it sees the trace ahead. It keeps the adapters that
// are asked for soonest, and loads for whoever clears the most waiting and
// coming requests. Like every policy it loads only for requests that have
// arrived.
type clairvoyant struct {
	policy.Default
	clock wardturn.Clock
	times map[wardturn.AdapterID][]time.Duration // of future requests
}

func newClairvoyant(trace []Request) func(clock wardturn.Clock) wardturn.Policy {
	times := make(map[wardturn.AdapterID][]time.Duration)
	for _, r := range trace {
		times[r.Adapter] = append(times[r.Adapter], r.At())
	}
	return func(clock wardturn.Clock) wardturn.Policy {
		return &clairvoyant{
			clock: clock,
			times: times,
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
	if gap, ok := p.nextUse(in.Adapter, now); ok {
		v = 1 / (1 + gap.Seconds())
	}
	if in.Waiting > 0 {
		v += float64(in.Waiting) + clairvoyantAge*in.OldestWaiting.Seconds()
	}
	return v + min(clairvoyantBatch*float64(in.BatchWaiting), clairvoyantBatchLimit)
}

const (
	clairvoyantAge        = 0.05
	clairvoyantBatch      = 0.01
	clairvoyantBatchLimit = 0.1
)

func (p *clairvoyant) nextUse(id wardturn.AdapterID, now time.Duration) (time.Duration, bool) {
	times := p.times[id]
	i, _ := slices.BinarySearch(times, now)
	if i == len(times) {
		return 0, false
	}
	return times[i] - now, true
}
