package agent

import (
	"hash/fnv"
	"sync"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

// allocatorRole implements an agent's part in sharing the weight store. It selects the
// allocator of the agent's model by rendezvous hashing over the live hosts, sends it
// permit requests, and runs the allocator itself if the hash selects this agent.
type allocatorRole struct {
	agent *Agent

	mu          sync.Mutex
	allocatorID wardturn.UpstreamID // of the allocator; empty while unknown
	client      *peer.Client        // connection to the allocator, if it is another agent
	core        *decide.Allocator   // created on the first permit request to this agent
	conns       map[wardturn.UpstreamID]*peer.Conn
	timer       wardturn.Timer
	closed      bool
}

func newAllocatorRole(a *Agent) *allocatorRole {
	return &allocatorRole{
		agent: a,
		conns: make(map[wardturn.UpstreamID]*peer.Conn),
	}
}

// epochOf derives an allocator's epoch from its process name. It is never zero.
func epochOf(p wardturn.Incarnation) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(p))
	return h.Sum64() | 1
}

// setHosts selects the allocator from the host list and connects to it.
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
	if r.closed || h.Upstream == r.allocatorID {
		r.mu.Unlock()
		return
	}
	r.allocatorID = h.Upstream
	old := r.client
	r.client = nil
	if h.Upstream != cfg.Upstream {
		r.client = peer.NewClient(h.Addr, r.agent.tls, r.agent.clock, r.agent.identity(), (*grantHandler)(r))
	}
	r.mu.Unlock()
	if old != nil {
		old.Close()
	}
}

// requestPermit sends the agent's permit request to the allocator. The agent's mutex is
// held.
func (r *allocatorRole) requestPermit(w decide.PermitRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.allocatorID == r.agent.cfg.Upstream:
		r.apply(func(now time.Time, out []decide.Grant) []decide.Grant {
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

// onPermitRequest handles another agent's permit request. An agent acts as the allocator
// as soon as it receives one, whatever its own host list says.
func (r *allocatorRole) onPermitRequest(c *peer.Conn, w decide.PermitRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.agent.cfg.Model == "" {
		return
	}
	r.conns[w.Upstream] = c
	r.apply(func(now time.Time, out []decide.Grant) []decide.Grant {
		return r.allocator().Request(now, w, out)
	})
}

func (r *allocatorRole) allocator() *decide.Allocator {
	if r.core == nil {
		r.core = decide.NewAllocator(r.agent.cfg.Store, epochOf(r.agent.cfg.Process))
	}
	return r.core
}

// apply passes an event to the allocator, sends the resulting grants and sets the
// timer for the next permit. r.mu is held.
func (r *allocatorRole) apply(event func(now time.Time, out []decide.Grant) []decide.Grant) {
	for _, g := range event(r.agent.clock.Now(), nil) {
		r.sendGrant(g)
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
		r.apply(r.core.Tick)
	})
}

func (r *allocatorRole) sendGrant(g decide.Grant) {
	if g.Upstream == r.agent.cfg.Upstream {
		// The caller may hold the agent's mutex, so the grant is applied in another
		// goroutine.
		r.agent.tasks.Go(func() {
			r.agent.applyGrant(g)
		})
		return
	}
	if c := r.conns[g.Upstream]; c != nil {
		_ = c.Send(&peer.Grant{
			Grant: g,
		})
	}
}

func (a *Agent) applyGrant(g decide.Grant) {
	a.apply(func(now time.Time, out *decide.Orders) {
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

// grantHandler handles the connection to the allocator, which delivers the grants.
type grantHandler allocatorRole

// Connected implements peer.ClientHandler.
func (*grantHandler) Connected(*peer.Conn) {}

// Handle implements peer.Handler.
func (g *grantHandler) Handle(_ *peer.Conn, m peer.Message) {
	if m, ok := m.(*peer.Grant); ok {
		g.agent.applyGrant(m.Grant)
	}
}

// Closed implements peer.Handler.
func (*grantHandler) Closed(*peer.Conn, error) {}
