package gateway

import (
	"wardturn"
	"wardturn/decide"
)

// The fractions of the allowed retries that the gateway uses. The remainder covers
// requests counted in another window and gateways that the keepers do not know yet.
const (
	budgetFraction = 0.5  // of the retries allowed as a share of requests
	burstFraction  = 0.25 // of the extra retries, as a burst
	floorFraction  = 0.25 // of the extra retries, spread over the window
)

// budget returns the retry budget of a service. The caller must hold g.mu.
func (g *Gateway) budget(s wardturn.ServiceName) *decide.RetryBudget {
	b := g.budgets[s]
	if b == nil {
		floor, burst := g.extraRetries()
		b = decide.NewRetryBudget(g.cfg.RetryShare*budgetFraction, floor, burst)
		g.budgets[s] = b
	}
	return b
}

// extraRetries returns this gateway's part of the retries that are allowed beyond the
// share of requests: a rate per second (floor) and a burst. Until a keeper has reported
// the number of gateways the rate is zero: gateways that assumed they were the only one
// would each use the full allowance. The caller must hold g.mu.
func (g *Gateway) extraRetries() (floor, burst float64) {
	n := g.gatewayCount.Update(g.clock.Now(), g.fleet.ReportedGateways())
	if n == 0 {
		return 0, 1
	}
	extra := g.cfg.RetryExtra / float64(n)
	return floorFraction * extra / g.cfg.RetryWindow.Seconds(), max(1, burstFraction*extra)
}

// resizeBudgets adapts the retry budgets to the number of gateways. The caller must hold
// g.mu.
func (g *Gateway) resizeBudgets() {
	floor, burst := g.extraRetries()
	for _, b := range g.budgets {
		b.Resize(g.cfg.RetryShare*budgetFraction, floor, burst)
	}
}

// ApplySettings applies the retry and adapter load limits of new settings. Other settings
// take effect at the next start.
func (g *Gateway) ApplySettings(c Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.RetryShare = c.RetryShare
	g.cfg.RetryExtra = c.RetryExtra
	g.cfg.RetryWindow = c.RetryWindow
	g.resizeBudgets()
	g.fleet.ApplySettings(c.Fleet)
}

// countRequest adds a request to the service's retry budget.
func (g *Gateway) countRequest(s wardturn.ServiceName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(s).Request(g.clock.Now())
}

// allowRetry reports whether the retry budget allows one more send, and charges it.
func (g *Gateway) allowRetry(s wardturn.ServiceName) bool {
	g.mu.Lock()
	ok := g.budget(s).Retry(g.clock.Now())
	g.mu.Unlock()
	if ok {
		g.metrics.resends.Inc(1)
	} else {
		g.metrics.resendsDenied.Inc(1)
	}
	return ok
}
