package gateway

import (
	"sync"
	"time"

	"wardturn"
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
	if head.Instance != "" && head.Instance != m.ID.Instance() {
		return
	}
	if head.Cold.Named && own {
		g.observeCold(m.ID, head.Cold)
	}
	switch {
	case head.Limit.Named:
		g.limits.named(m.ID, head.Limit, status)
	case own && g.limits.any.Load():
		g.limits.unnamed(m.ID, x.send.sent, status)
	}
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
