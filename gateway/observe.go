package gateway

import (
	"sync"
	"time"

	"wardturn"
	"wardturn/decide"
)

// observe processes what the headers of a response say about its upstream, also of
// responses that are not forwarded. The parameter own reports whether it is the response to
// this request. Any other may be old, so it ends no backoff or limit that the upstream
// requested before.
func (x *exchange) observe(m wardturn.Member, head wardturn.ResponseHead, status int, own bool) {
	g := x.g
	for _, name := range head.Unknown {
		if g.unknownHeaders.shouldLog(name) {
			g.logger.Info("header of upstreams is not read", "header", name, "status", status, "upstream", m.ID)
		}
	}
	id := m.ID
	if head.Instance != "" && head.Instance != id.Instance() {
		// Another instance listens at the address.
		if id, own = g.upstreamOfInstance(head.Instance), false; id == "" {
			return
		}
	}
	if head.Leaving {
		g.decide(func(now time.Time, out *decide.Actions) {
			g.fleet.MarkLeaving(now, id, out)
		})
	}
	if head.RetryAfter.Present {
		g.observeBackoff(id, head.RetryAfter)
	} else if own && g.backoffsRequested.Load() {
		g.endBackoff(id, x.send.sent)
	}
	if head.Cold.Present && own {
		g.observeCold(id, head.Cold)
	}
	switch {
	case head.Limit.Present:
		g.limits.observe(id, head.Limit, status)
	case own && g.limits.seen.Load():
		g.limits.observeNone(id, x.send.sent, status)
	}
}

// upstreamOfInstance returns the listed upstream of an instance; empty if none is listed.
// An instance that restarts is listed as a new upstream.
func (g *Gateway) upstreamOfInstance(instance string) wardturn.UpstreamID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.ListedLifetime(instance)
}

// observeBackoff records a Retry-After, by which the upstream requests a backoff of this
// gateway.
func (g *Gateway) observeBackoff(id wardturn.UpstreamID, backoff wardturn.HeaderValue[time.Duration]) {
	g.backoffsRequested.Store(true)
	g.mu.Lock()
	now := g.clock.Now()
	changed := false
	if backoff.Err != nil {
		changed = g.fleet.BackOffUnparsed(now, id)
	} else {
		changed = g.fleet.BackOff(now, id, backoff.Value)
	}
	g.mu.Unlock()
	g.metrics.backoffsRequested.Inc(1)
	if changed {
		g.logger.Info("upstream asks for a rest", "upstream", id, "asked", backoff.Value, "error", backoff.Err)
	}
}

// endBackoff records a response without a Retry-After to a request sent at the given time.
// It ends a backoff that was over by then.
func (g *Gateway) endBackoff(id wardturn.UpstreamID, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.ClearBackoff(id, sent)
}

// observeCold records for how much longer a cold upstream takes only few requests.
func (g *Gateway) observeCold(id wardturn.UpstreamID, cold wardturn.HeaderValue[time.Duration]) {
	if cold.Err != nil {
		g.logger.Warn("malformed warm-up time of a cold upstream", "upstream", id, "error", cold.Err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.ObserveCold(g.clock.Now(), id, cold.Value)
}

// maxUnknownHeaders bounds the header names that are kept as logged.
const maxUnknownHeaders = 32

// unknownHeaders is the set of response headers of upstreams that the gateway does not
// know and has logged. The zero value is an empty set.
type unknownHeaders struct {
	mu     sync.Mutex
	logged map[string]bool
}

// shouldLog reports whether a header has to be logged: once for each name.
func (u *unknownHeaders) shouldLog(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.logged[name] || len(u.logged) >= maxUnknownHeaders {
		return false
	}
	if u.logged == nil {
		u.logged = make(map[string]bool)
	}
	u.logged[name] = true
	return true
}
