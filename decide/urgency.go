package decide

import (
	"time"

	"wardturn"
)

// Urgency is what the order of requests depends on wherever they compete for capacity.
type Urgency struct {
	Rank     int // 0 is the most urgent
	Team     wardturn.TeamID
	Since    time.Time // arrival
	LateAt   time.Time // end of the latency objective
	Deadline time.Time // when the caller stops waiting
}

// InTime reports whether a response that starts after a delay meets the objective.
func (u Urgency) InTime(now time.Time, delay time.Duration) bool {
	return !now.Add(delay).After(u.LateAt)
}
