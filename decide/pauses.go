package decide

import (
	"time"
)

const (
	// pauseLoss is what a stream loses that pauses for longer than its route allows, in
	// milliseconds.
	pauseLoss = 250.0
	// pauseFrom is the part of the longest pause that reading may take before streams are
	// likely to pause for longer: other prompts come meanwhile.
	pauseFrom = 0.5
	// spreadPause is the loss by one prompt, in milliseconds, for which an adapter gets
	// another engine.
	spreadPause = 150.0
)

// pauseCost returns what streams at an engine lose by pauses while it reads the prompt of
// a request and those before it, in milliseconds. Each step of an engine reads a piece of
// its prompts and makes a token of each stream, so many prompts together stop all streams.
func (m *Member) pauseCost(now time.Time, t *Ticket) float64 {
	if t.Pause == 0 {
		return 0
	}
	part := m.rate.cost(m.toRead(now)+int(t.Prompt)) / milliseconds(t.Pause)
	likely := min(1, max(0, (part-pauseFrom)/(1-pauseFrom)))
	return pauseLoss * likely * float64(m.load())
}

// costOf is cost with what the request's prompt does to the streams there.
func (f *Fleet) costOf(now time.Time, t *Ticket, m *Member) float64 {
	return f.cost(now, m) + m.pauseCost(now, t)
}
