package decide

import (
	"time"

	"wardturn"
)

// ColdConfig says what cold upstreams bear: within any second, their rate times Overage
// and Slack requests, from all gateways together.
type ColdConfig struct {
	Overage float64
	Slack   float64 // requests
}

// senders returns how many gateways may send to a cold upstream: each may send one request
// at the same moment, on top of a second of the rate.
func (c ColdConfig) senders(rate float64) int {
	return max(1, int((c.Overage-1)*rate+c.Slack))
}

// coldLimit bounds what a cold upstream gets. The load that it answers is that of a failure
// domain that comes back: all its engines are idle and preferred at once, and each gateway
// would fill them.
type coldLimit struct {
	sharedRate
	until time.Time
}

// SetColdConfig takes what cold upstreams bear.
func (l *Limits) SetColdConfig(cfg ColdConfig) {
	l.coldCfg = cfg
	l.sharedAt = time.Time{}
}

// Cold records that an upstream takes few requests until a time: one that has passed ends
// that.
func (l *Limits) Cold(now time.Time, id wardturn.UpstreamID, rate float64, until time.Time) {
	c := l.cold[id.Instance()]
	if !now.Before(until) || rate <= 0 {
		delete(l.cold, id.Instance())
		return
	}
	if c == nil {
		c = &coldLimit{
			sharedRate: sharedRate{
				at: now,
			},
		}
		l.cold[id.Instance()] = c
		l.sharedAt = time.Time{}
	}
	c.rate = rate
	c.until = until
}

// ExpectCold has the other gateways learn that this one is there while upstreams may turn
// cold: only those that know each other may send to one.
func (l *Limits) ExpectCold(expects bool) {
	l.expects = expects
}

// coldOf returns the limit of a cold upstream, or nil if it is warm.
func (l *Limits) coldOf(now time.Time, id wardturn.UpstreamID) *coldLimit {
	if len(l.cold) == 0 {
		return nil
	}
	if c := l.cold[id.Instance()]; c != nil && now.Before(c.until) {
		return c
	}
	return nil
}
