package gateway

import (
	"sync/atomic"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

// limitInterval is the interval at which it is checked whether a message on upstream limits
// is due.
const limitInterval = 200 * time.Millisecond

// limits tracks the request rate limits that overloaded upstreams announce in their
// responses, and exchanges them with the other gateways through keepers.
type limits struct {
	g     *Gateway
	state *decide.Limits // guarded by the gateway's lock
	seen  atomic.Bool    // an upstream has announced a limit
	sent  atomic.Int64   // messages sent so far
}

func newLimits(g *Gateway) *limits {
	return &limits{
		g:     g,
		state: decide.NewLimits(g.clock.Now(), g.cfg.Process),
	}
}

// observe records a response that carries a limit.
func (l *limits) observe(id wardturn.UpstreamID, limit wardturn.HeaderValue[wardturn.RequestRate], status int) {
	l.seen.Store(true)
	now := l.g.clock.Now()
	l.g.mu.Lock()
	changed := false
	if limit.Err != nil {
		l.state.ObserveUnparsed(now, id)
	} else {
		changed = l.state.Observe(now, id, limit.Value)
	}
	l.g.mu.Unlock()
	if limit.Err != nil {
		l.g.logger.Warn("limit of an upstream not understood", "upstream", id, "status", status, "error", limit.Err)
	}
	if changed {
		l.g.logger.Info("upstream names a limit", "upstream", id, "per_second", float64(limit.Value), "status", status)
		l.announce()
	}
}

// observeNone records a response without a limit, to a request that was sent at the given
// time.
func (l *limits) observeNone(id wardturn.UpstreamID, sent time.Time, status int) {
	l.g.mu.Lock()
	ended := l.state.ObserveNone(l.g.clock.Now(), id, sent)
	l.g.mu.Unlock()
	if ended {
		l.g.logger.Info("upstream names no limit any more", "upstream", id, "status", status)
		l.announce()
	}
}

// announce sends the known limits to the other gateways if a message is due. New limits go
// through two keepers in each failure domain, repeated ones through the two alternately.
func (l *limits) announce() {
	l.g.mu.Lock()
	now := l.g.clock.Now()
	gateways := l.g.fleet.ReportedGateways()
	l.state.SetGateways(now, gateways)
	msg, fresh, due := l.state.Gossip(now)
	l.g.mu.Unlock()
	if !due {
		return
	}
	turn := int(l.sent.Add(1))
	key := l.g.caps.relayKey(gateways)
	conns := l.g.links.alternatingConns(key, turn)
	if fresh {
		conns = l.g.links.announcementConns(key)
	}
	m := &peer.LimitGossip{
		Messages: []decide.LimitGossip{msg},
	}
	for _, conn := range conns {
		// Errors are ignored: another gateway repeats what a lost message carried.
		_ = conn.Send(m)
	}
}

// receive handles a message of another gateway.
func (l *limits) receive(m *peer.LimitGossip) {
	l.seen.Store(true)
	var changes []decide.LimitUpdate
	l.g.mu.Lock()
	now := l.g.clock.Now()
	for _, msg := range m.Messages {
		changes = append(changes, l.state.Receive(now, msg)...)
	}
	l.g.mu.Unlock()
	for _, c := range changes {
		l.g.logger.Info("limit of an upstream heard", "upstream", c.Instance, "per_second", c.Rate, "ago", c.Ago)
	}
}
