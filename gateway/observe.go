package gateway

import (
	"sync"
	"time"

	"wardturn"
	"wardturn/decide"
)

// observe takes what the head of any answer of an upstream says of the upstream, also of
// an answer that no caller gets. One that is not the request's own may be old: it ends
// nothing.
func (x *exchange) observe(m wardturn.Member, head wardturn.AnswerHead, status int, own bool) {
	g := x.g
	for _, name := range head.Unread {
		if g.unread.first(name) {
			g.logger.Info("header of upstreams is not read", "header", name, "status", status, "upstream", m.ID)
		}
	}
	id := m.ID
	if head.Instance != "" && head.Instance != id.Instance() {
		// Another upstream is at the address.
		if id, own = g.lifetime(head.Instance), false; id == "" {
			return
		}
	}
	if head.Leaving {
		g.decide(func(now time.Time, out *decide.Moves) {
			g.fleet.Leaves(now, id, out)
		})
	}
	if head.Rest.Named {
		g.observeRest(id, head.Rest)
	} else if own && g.rests.Load() {
		g.rested(id, x.send.sent)
	}
	if head.Cold.Named && own {
		g.observeCold(id, head.Cold)
	}
	switch {
	case head.Limit.Named:
		g.limits.observe(id, head.Limit, status)
	case own && g.limits.any.Load():
		g.limits.observeNone(id, x.send.sent, status)
	}
}

// lifetime returns the listed lifetime of an instance; empty: none is listed.
func (g *Gateway) lifetime(instance string) wardturn.UpstreamID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.Lifetime(instance)
}

func (g *Gateway) observeRest(id wardturn.UpstreamID, asked wardturn.Figure[time.Duration]) {
	g.rests.Store(true)
	g.mu.Lock()
	now := g.clock.Now()
	changed := false
	if asked.Err != nil {
		changed = g.fleet.RestsUnclear(now, id)
	} else {
		changed = g.fleet.Rests(now, id, asked.Value)
	}
	g.mu.Unlock()
	g.metrics.rests.Inc(1)
	if changed {
		g.logger.Info("upstream asks for a rest", "upstream", id, "asked", asked.Value, "error", asked.Err)
	}
}

func (g *Gateway) rested(id wardturn.UpstreamID, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.Rested(id, sent)
}

func (g *Gateway) observeCold(id wardturn.UpstreamID, cold wardturn.Figure[time.Duration]) {
	if cold.Err != nil {
		g.logger.Warn("time of a cold upstream not understood", "upstream", id, "error", cold.Err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.SawCold(g.clock.Now(), id, cold.Value)
}

// maxUnread bounds the headers that are remembered as logged.
const maxUnread = 32

// unreadHeaders are the names of upstreams' headers that were logged as not read. The zero
// value is empty.
type unreadHeaders struct {
	mu     sync.Mutex
	logged map[string]bool
}

// first reports whether a header is to be logged, once for each name.
func (u *unreadHeaders) first(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.logged[name] || len(u.logged) >= maxUnread {
		return false
	}
	if u.logged == nil {
		u.logged = make(map[string]bool)
	}
	u.logged[name] = true
	return true
}
