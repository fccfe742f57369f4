package decide

import (
	"math"
	"time"
)

// meterMemory is the time constant of a meter.
const meterMemory = 20 * time.Second

// meter measures the rate of events with an exponentially decaying memory. The
// zero value has seen none.
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
	m.count = m.count*math.Exp(-now.Sub(m.at).Seconds()/meterMemory.Seconds()) + n
	m.at = now
}

// rate returns the events a second. Young meters count as if they had seen a
// quiet second before.
func (m *meter) rate(now time.Time) float64 {
	if m.since.IsZero() {
		return 0
	}
	memory := meterMemory.Seconds()
	faded := m.count * math.Exp(-now.Sub(m.at).Seconds()/memory)
	window := memory * (1 - math.Exp(-now.Sub(m.since).Seconds()/memory))
	return faded / (window + 1)
}
