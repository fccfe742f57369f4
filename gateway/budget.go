package gateway

import (
	"wardturn"
	"wardturn/decide"
)

// The parts of what is allowed that this gateway takes. The rest is for requests
// counted in another window and for gateways that the keepers do not know yet.
const (
	budgetPart = 0.5
	burstPart  = 0.25 // of the extra resends, at once
	floorPart  = 0.25 // of them, over the window
)

// budget returns the budget of a service; the lock is held.
func (g *Gateway) budget(s wardturn.ServiceName) *decide.RetryBudget {
	b := g.budgets[s]
	if b == nil {
		floor, burst := g.extraResends()
		b = decide.NewRetryBudget(g.cfg.RetryShare*budgetPart, floor, burst)
		g.budgets[s] = b
	}
	return b
}

// extraResends returns this gateway's part of the resends that are allowed beyond
// the share of requests: those a second, and those at once. Until a keeper has told how
// many gateways there are it has none: gateways that take themselves for the only ones
// would each have all of them. The lock is held.
func (g *Gateway) extraResends() (floor, burst float64) {
	n := g.counted.Take(g.clock.Now(), g.fleet.CountedGateways())
	if n == 0 {
		return 0, 1
	}
	own := g.cfg.RetryExtra / float64(n)
	return floorPart * own / g.cfg.RetryWindow.Seconds(), max(1, burstPart*own)
}

// resizeBudgets follows the number of gateways; the lock is held.
func (g *Gateway) resizeBudgets() {
	floor, burst := g.extraResends()
	for _, b := range g.budgets {
		b.Resize(g.cfg.RetryShare*budgetPart, floor, burst)
	}
}

// Retune takes the limits of retries and loads from new settings; the others
// stay until the next start.
func (g *Gateway) Retune(c Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.RetryShare = c.RetryShare
	g.cfg.RetryExtra = c.RetryExtra
	g.cfg.RetryWindow = c.RetryWindow
	g.resizeBudgets()
	g.fleet.Retune(c.Fleet)
}

func (g *Gateway) countRequest(s wardturn.ServiceName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(s).Request(g.clock.Now())
}

// mayResend reports whether the budget allows one more send, and takes it.
func (g *Gateway) mayResend(s wardturn.ServiceName) bool {
	g.mu.Lock()
	ok := g.budget(s).Retry(g.clock.Now())
	g.mu.Unlock()
	if ok {
		g.metrics.resends.Inc(1)
	} else {
		g.metrics.denied.Inc(1)
	}
	return ok
}
