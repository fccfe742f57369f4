package decide

import (
	"math"
	"time"
)

// meterTimeConstant is the time constant of a meter's decay.
const meterTimeConstant = 20 * time.Second

// meter measures the rate of events as an exponentially weighted moving average. The zero
// value is ready to use.
type meter struct {
	count float64
	since time.Time
	at    time.Time
}

func (m *meter) add(now time.Time, n float64) {
	if m.since.IsZero() {
		m.since = now
		m.at = now
	}
	m.count = m.count*math.Exp(-now.Sub(m.at).Seconds()/meterTimeConstant.Seconds()) + n
	m.at = now
}

// rate returns the events per second. One second is added to the averaging window, so that
// the rate of a new meter is not overestimated.
func (m *meter) rate(now time.Time) float64 {
	if m.since.IsZero() {
		return 0
	}
	memory := meterTimeConstant.Seconds()
	decayed := m.count * math.Exp(-now.Sub(m.at).Seconds()/memory)
	window := memory * (1 - math.Exp(-now.Sub(m.since).Seconds()/memory))
	return decayed / (window + 1)
}
