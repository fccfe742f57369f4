package agent

import (
	"hash/fnv"
	"sync"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

// allocatorRole is an agent's part in sharing the weight store: it finds the
// allocator of its model by rendezvous hashing over the live hosts, sends it
// wishes, and is the allocator itself when the hash says so.
type allocatorRole struct {
	agent *Agent

	mu     sync.Mutex
	holder wardturn.UpstreamID // who allocates; empty while unknown
	client *peer.Client        // to the holder, if that is another agent
	core   *decide.Allocator   // set once this agent has been asked
	conns  map[wardturn.UpstreamID]*peer.Conn
	timer  wardturn.Timer
	closed bool
}

func newAllocatorRole(a *Agent) *allocatorRole {
	return &allocatorRole{
		agent: a,
		conns: make(map[wardturn.UpstreamID]*peer.Conn),
	}
}

// epochOf makes an allocator's epoch from its process name.
func epochOf(p wardturn.Incarnation) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(p))
	return h.Sum64() | 1
}

// setHosts finds the allocator among the live hosts.
func (r *allocatorRole) setHosts(hosts []wardturn.Host) {
	cfg := r.agent.cfg
	if cfg.Model == "" {
		return
	}
	h, ok := decide.AllocatorOf(hosts, cfg.Model, cfg.Region)
	if !ok {
		return
	}
	r.mu.Lock()
	if r.closed || h.Upstream == r.holder {
		r.mu.Unlock()
		return
	}
	r.holder = h.Upstream
	old := r.client
	r.client = nil
	if h.Upstream != cfg.Upstream {
		r.client = peer.NewClient(h.Addr, r.agent.tls, r.agent.clock, r.agent.identity(), (*grants)(r))
	}
	r.mu.Unlock()
	if old != nil {
		old.Close()
	}
}

// wish sends the agent's wish to the allocator. The agent's lock is held.
func (r *allocatorRole) wish(w decide.PermitRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.holder == r.agent.cfg.Upstream:
		r.decide(func(now time.Time, out []decide.Grant) []decide.Grant {
			return r.allocator().Request(now, w, out)
		})
	case r.client != nil:
		if c := r.client.Conn(); c != nil {
			_ = c.Send(&peer.PermitRequest{
				Request: w,
			})
		}
	}
}

// onWish takes another agent's wish. Whoever is asked allocates.
func (r *allocatorRole) onWish(c *peer.Conn, w decide.PermitRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.agent.cfg.Model == "" {
		return
	}
	r.conns[w.Upstream] = c
	r.decide(func(now time.Time, out []decide.Grant) []decide.Grant {
		return r.allocator().Request(now, w, out)
	})
}

func (r *allocatorRole) allocator() *decide.Allocator {
	if r.core == nil {
		r.core = decide.NewAllocator(r.agent.cfg.Store, epochOf(r.agent.cfg.Process))
	}
	return r.core
}

// decide passes an event to the allocator, sends the grants and sets the timer
// for the next permit. The role's lock is held.
func (r *allocatorRole) decide(event func(now time.Time, out []decide.Grant) []decide.Grant) {
	for _, g := range event(r.agent.clock.Now(), nil) {
		r.grant(g)
	}
	if r.timer != nil {
		r.timer.Stop()
		r.timer = nil
	}
	wait, ok := r.core.Next(r.agent.clock.Now())
	if !ok || r.closed {
		return
	}
	r.timer = r.agent.clock.AfterFunc(wait+time.Millisecond, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.decide(r.core.Tick)
	})
}

func (r *allocatorRole) grant(g decide.Grant) {
	if g.Upstream == r.agent.cfg.Upstream {
		// The agent's lock may be held by the caller: take the grant after.
		r.agent.tasks.Go(func() {
			r.agent.granted(g)
		})
		return
	}
	if c := r.conns[g.Upstream]; c != nil {
		_ = c.Send(&peer.Grant{
			Grant: g,
		})
	}
}

func (a *Agent) granted(g decide.Grant) {
	a.event(func(now time.Time, out *decide.Orders) {
		a.core.Granted(now, g, out)
	})
}

func (r *allocatorRole) close() {
	r.mu.Lock()
	r.closed = true
	if r.timer != nil {
		r.timer.Stop()
	}
	client := r.client
	r.client = nil
	r.mu.Unlock()
	if client != nil {
		client.Close()
	}
}

// grants is the role as the handler of its connection to the allocator.
type grants allocatorRole

// Connected implements peer.ClientHandler.
func (*grants) Connected(*peer.Conn) {}

// Handle implements peer.Handler.
func (g *grants) Handle(_ *peer.Conn, m peer.Message) {
	if m, ok := m.(*peer.Grant); ok {
		g.agent.granted(m.Grant)
	}
}

// Closed implements peer.Handler.
func (*grants) Closed(*peer.Conn, error) {}
