package decide

import (
	"time"

	"wardturn"
)

// ColdConfig bounds the load of cold upstreams: within any second, all gateways together
// may send at most the cold rate times Overage, plus Slack requests.
type ColdConfig struct {
	Overage float64
	Slack   float64 // requests
}

// senders returns the number of gateways that may send to a cold upstream. Each of them may
// send one request at the same moment, on top of a second at the full rate.
func (c ColdConfig) senders(rate float64) int {
	return max(1, int((c.Overage-1)*rate+c.Slack))
}

// coldLimit bounds the requests sent to a cold upstream. It guards against the load when a
// failure domain comes back: all its engines are idle, so every gateway prefers them at the
// same time and would fill them.
type coldLimit struct {
	sharedRate
	until time.Time
}

// SetColdConfig sets the bounds for cold upstreams.
func (l *Limits) SetColdConfig(cfg ColdConfig) {
	l.coldCfg = cfg
	l.sharesAt = time.Time{}
}

// SetCold marks an upstream as cold until the given time, with a bound on its request
// rate. A time that has passed, or a rate of zero, removes the bound.
func (l *Limits) SetCold(now time.Time, id wardturn.UpstreamID, rate float64, until time.Time) {
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
		l.sharesAt = time.Time{}
	}
	c.rate = rate
	c.until = until
}

// ExpectCold sets whether upstreams may become cold. While they may, this gateway announces
// itself to the others, because gateways need to know each other to get their shares of a
// cold upstream's rate.
func (l *Limits) ExpectCold(expects bool) {
	l.expectsCold = expects
}

// coldOf returns the limit of a cold upstream, or nil if the upstream is warm.
func (l *Limits) coldOf(now time.Time, id wardturn.UpstreamID) *coldLimit {
	if len(l.cold) == 0 {
		return nil
	}
	if c := l.cold[id.Instance()]; c != nil && now.Before(c.until) {
		return c
	}
	return nil
}
