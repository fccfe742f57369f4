package gateway

import (
	"sync"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

const (
	// crashCheckDelay is the delay between a broken connection and the check whether the
	// upstream still listens. All connections of a crashed process end within a millisecond.
	crashCheckDelay = 20 * time.Millisecond
)

// crashes tracks which request contents crash upstreams, from the crashes that this gateway
// observes, that other gateways announce, and that are recorded in the store. Contents with
// two crashes are recorded in the store, so that they stay known if all gateways stop or
// cannot reach each other. Without this tracking, a request that crashes its upstream would
// crash another one each time it is repeated.
type crashes struct {
	g           *Gateway
	store       wardturn.CrashStore
	readSignal  chan struct{} // requests a read of the store
	writeSignal chan struct{} // requests a write of the records that are due

	mu           sync.Mutex
	tracker      *decide.CrashTracker
	parts        *decide.PartTracker // the same for parts of prompts
	checking     map[wardturn.UpstreamID]bool
	updatingSoon bool              // updateParts is about to be called
	unannounced  bool              // a crash was not announced: no keeper was connected
	readPosition wardturn.Position // position up to which the store was read
	readAt       time.Time         // when readPosition was current; zero before the first read
}

func newCrashes(g *Gateway, store wardturn.CrashStore) *crashes {
	return &crashes{
		g:           g,
		store:       store,
		readSignal:  make(chan struct{}, 1),
		writeSignal: make(chan struct{}, 1),
		tracker:     decide.NewCrashTracker(g.cfg.Crashes),
		parts:       decide.NewPartTracker(g.cfg.Crashes),
		checking:    make(map[wardturn.UpstreamID]bool),
	}
}

// signal wakes the goroutine that waits on c. It does not block.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// rejects reports whether requests with this content are to be rejected, and for how long.
func (c *crashes) rejects(content wardturn.ContentID) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Refuses(c.g.clock.Now(), content)
}

// completed records that an upstream completed a request with this content.
func (c *crashes) completed(content wardturn.ContentID) {
	c.mu.Lock()
	suspected := c.tracker.Answered(c.g.clock.Now(), content)
	c.mu.Unlock()
	if !suspected {
		return
	}
	c.g.logger.Info("request not suspected any more, it was answered", "content", content)
	c.announce(&peer.CrashAnnouncement{
		Cleared: []wardturn.ContentID{content},
	})
	signal(c.writeSignal)
}

// interrupted records that a send over a connection opened at the time connected received no complete
// response. If check is set, the connection was not closed by this gateway, and it is checked
// whether the upstream has crashed. The parameter parts holds the parts of the prompt if no
// answer had begun.
func (c *crashes) interrupted(m wardturn.Member, connected time.Time, content wardturn.ContentID, parts []wardturn.ContentID, check bool) {
	c.mu.Lock()
	lifetime := c.tracker.Lifetime(content, m.ID, connected)
	fresh := c.tracker.RequestBroke(c.g.clock.Now(), content, lifetime)
	var freshParts []wardturn.Crash
	if check {
		freshParts = c.parts.RequestBroke(c.g.clock.Now(), parts, m.ID)
	}
	check = check && !c.checking[lifetime]
	if check {
		c.checking[lifetime] = true
	}
	c.mu.Unlock()
	c.observed(fresh)
	c.observedParts(freshParts, 0)
	if check {
		c.g.tasks.Go(func() {
			c.check(m, lifetime)
		})
	}
}

// check records a crash of a lifetime of an upstream if that no longer listens. The lifetime is the listed
// one or a later one.
func (c *crashes) check(m wardturn.Member, lifetime wardturn.UpstreamID) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.checking, lifetime)
	}()
	if !c.g.tasks.Sleep(crashCheckDelay) || c.g.pool.listens(c.g.tasks.Context(), m.Addr) {
		return
	}
	c.g.recordRefused(m.ID)
	c.disappeared(m.ID)
	if lifetime != m.ID {
		c.disappeared(lifetime)
	}
}

// disappeared records that upstreams have disappeared without draining.
func (c *crashes) disappeared(ids ...wardturn.UpstreamID) {
	var fresh, freshParts []wardturn.Crash
	c.mu.Lock()
	now := c.g.clock.Now()
	for _, id := range ids {
		fresh = append(fresh, c.tracker.UpstreamEnded(now, id)...)
		freshParts = append(freshParts, c.parts.UpstreamEnded(now, id)...)
	}
	c.mu.Unlock()
	c.observed(fresh)
	c.observedParts(freshParts, 0)
}

// observed announces crashes that were observed here to the other gateways.
func (c *crashes) observed(fresh []wardturn.Crash) {
	if len(fresh) == 0 {
		return
	}
	c.g.metrics.crashes.Inc(int64(len(fresh)))
	c.g.logger.Info("upstream ended under requests", "upstream", fresh[0].Upstream, "requests", len(fresh))
	announced := c.announce(&peer.CrashAnnouncement{
		Crashes: fresh,
	})
	c.mu.Lock()
	c.unannounced = c.unannounced || !announced
	c.mu.Unlock()
	c.handleNew(fresh)
}

// announce sends a message to the other gateways and reports whether any keeper is
// connected to forward it. Gateways that miss the message read the crashes from the store
// once there are enough of them to be recorded.
func (c *crashes) announce(m *peer.CrashAnnouncement) bool {
	conns := c.g.links.announcementConns(string(c.g.cfg.Process) + "/crashes")
	for _, conn := range conns {
		_ = conn.Send(m)
	}
	return len(conns) > 0
}

// handleNew handles newly known crashes. If a content is now rejected, its requests that no
// upstream has started yet are aborted.
func (c *crashes) handleNew(fresh []wardturn.Crash) {
	for _, crash := range fresh {
		if _, rejected := c.rejects(crash.Content); !rejected {
			continue
		}
		n := c.g.pendingSends.abortContent(crash.Content)
		c.g.logger.Warn("request is refused, upstreams ended under it", "content", crash.Content, "latest", crash.Upstream, "broken_off", n)
	}
	if len(fresh) > 0 {
		signal(c.writeSignal)
	}
}

// receive handles a message of another gateway.
func (c *crashes) receive(m *peer.CrashAnnouncement) {
	c.mu.Lock()
	fresh := c.tracker.AddReported(c.g.clock.Now(), m.Crashes)
	c.tracker.ClearReported(m.Cleared)
	known := c.readPosition
	c.mu.Unlock()
	c.handleNew(fresh)
	if m.Change == nil {
		return
	}
	if m.Change.From > known {
		signal(c.readSignal) // changes in between were missed
		return
	}
	c.apply(*m.Change)
}

// rejectCrashing reports whether the request is rejected because its content crashes
// upstreams, and records when it may be retried.
func (x *exchange) rejectCrashing() bool {
	left, rejected := x.g.crashes.rejects(x.content)
	if rejected {
		x.refusal = &refusal{
			reason:     wardturn.ReasonCrashes,
			retryAfter: left,
		}
	}
	return rejected
}

// recordContent records what the end of a send shows about the request's content. A
// complete response clears the content. An error response of the upstream does not, since a
// faulty upstream returns errors whatever the request: if those cleared it, any upstream
// that fails occasionally would let a request that crashes upstreams pass again. ctxErr is
// the error of the context that limits the request's time.
func (x *exchange) recordContent(a assignment, sendResult result, ctxErr error) {
	switch sendResult {
	case resultForwarded:
		x.g.crashes.completed(x.content)
	case resultUnknown, resultTruncated, resultCallerGone:
		if x.send.aborted || x.slowCaller() {
			return
		}
		parts := x.parts
		if x.send.answered {
			parts = nil
		}
		x.g.crashes.interrupted(a.Member, x.send.connected, x.content, parts, sendResult != resultCallerGone && ctxErr == nil)
	}
}
