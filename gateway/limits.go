package gateway

import (
	"sync/atomic"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

// limitEvery is how often it is looked whether the other gateways have to be told of limits
// that upstreams name.
const limitEvery = 200 * time.Millisecond

// limits are the requests a second that upstreams in need say they take, and the words on
// them that go to and come from the other gateways through keepers.
type limits struct {
	g     *Gateway
	state *decide.Limits // guarded by the gateway's lock
	any   atomic.Bool    // some upstream has named one
	words atomic.Int64   // told so far
}

func newLimits(g *Gateway) *limits {
	return &limits{
		g:     g,
		state: decide.NewLimits(g.clock.Now(), g.cfg.Process),
	}
}

// observe takes an answer that names a limit.
func (l *limits) observe(id wardturn.UpstreamID, limit wardturn.Figure[wardturn.RequestRate], status int) {
	l.any.Store(true)
	now := l.g.clock.Now()
	l.g.mu.Lock()
	changed := false
	if limit.Err != nil {
		l.state.ObserveUnclear(now, id)
	} else {
		changed = l.state.Observe(now, id, limit.Value)
	}
	l.g.mu.Unlock()
	if limit.Err != nil {
		l.g.logger.Warn("limit of an upstream not understood", "upstream", id, "status", status, "error", limit.Err)
	}
	if changed {
		l.g.logger.Info("upstream names a limit", "upstream", id, "per_second", float64(limit.Value), "status", status)
		l.tell()
	}
}

// observeNone takes an answer that names no limit, to a request sent at a time.
func (l *limits) observeNone(id wardturn.UpstreamID, sent time.Time, status int) {
	l.g.mu.Lock()
	ended := l.state.ObserveNone(l.g.clock.Now(), id, sent)
	l.g.mu.Unlock()
	if ended {
		l.g.logger.Info("upstream names no limit any more", "upstream", id, "status", status)
		l.tell()
	}
}

// tell tells the other gateways what is known here, if that is due. What is new goes to two
// keepers in each failure domain, the rest to one of them, by turns.
func (l *limits) tell() {
	l.g.mu.Lock()
	now := l.g.clock.Now()
	counted := l.g.fleet.CountedGateways()
	l.state.SetGateways(now, counted)
	w, fresh, due := l.state.Word(now)
	l.g.mu.Unlock()
	if !due {
		return
	}
	turn := int(l.words.Add(1))
	key := l.g.caps.relayKey(counted)
	conns := l.g.links.capConns(key, turn)
	if fresh {
		conns = l.g.links.newsConns(key)
	}
	m := &peer.LimitNews{
		Words: []decide.LimitGossip{w},
	}
	for _, conn := range conns {
		// A word that is lost is told again by another gateway.
		_ = conn.Send(m)
	}
}

// receive takes a message of another gateway.
func (l *limits) receive(m *peer.LimitNews) {
	l.any.Store(true)
	var changes []decide.LimitUpdate
	l.g.mu.Lock()
	now := l.g.clock.Now()
	for _, w := range m.Words {
		changes = append(changes, l.state.Heard(now, w)...)
	}
	l.g.mu.Unlock()
	for _, c := range changes {
		l.g.logger.Info("limit of an upstream heard", "upstream", c.Instance, "per_second", c.Rate, "ago", c.Ago)
	}
}
