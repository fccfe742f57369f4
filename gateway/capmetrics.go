package gateway

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"wardturn"
)

// capErrors holds the buckets of the errors of retry delays, 5 ms to 10 s.
var capErrors = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

// beyondCap counts a request that exceeded its team's cap.
func (m *Metrics) beyondCap(team wardturn.TeamID, rank int) {
	m.scope.Tagged(map[string]string{
		"team": string(team),
	}).Counter("beyond_cap").Inc(1)
	m.scope.Tagged(map[string]string{
		"rank": strconv.Itoa(rank),
	}).Counter("beyond_cap_ranks").Inc(1)
}

// capReturn records a request whose content was refused here for its team's cap before. It
// returned the given time after it was told to, or before if negative. The error of the
// prediction is zero if it found room, else the further delay that it was told.
func (m *Metrics) capReturn(after, retryAfter time.Duration, ok bool) {
	result := "refused"
	if ok {
		result = "served"
	}
	when := "due"
	if after < 0 {
		when = "early"
	}
	m.scope.Tagged(map[string]string{
		"result": result,
		"when":   when,
	}).Counter("cap_returns").Inc(1)
	if after >= 0 {
		m.scope.Histogram("cap_retry_error", capErrors).RecordDuration(retryAfter)
	}
}

// updateRationing logs the teams whose cap has begun or ended to be rationed by rank since
// the previous call, and updates their gauges.
func (c *caps) updateRationing() {
	c.mu.Lock()
	begun, ended := c.teams.RationingChanges(c.g.clock.Now())
	c.mu.Unlock()
	for _, team := range begun {
		c.g.logger.Info("cap rationed by rank", "team", team)
		c.g.metrics.capRationed(team, 1)
	}
	for _, team := range ended {
		c.g.logger.Info("cap not rationed any more", "team", team)
		c.g.metrics.capRationed(team, 0)
	}
}

// capRationed updates the gauge of a team: 1 while its cap is rationed by rank.
func (m *Metrics) capRationed(team wardturn.TeamID, value float64) {
	m.scope.Tagged(map[string]string{
		"team": string(team),
	}).Gauge("cap_rationed").Update(value)
}
