package gateway

import (
	"sync"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

const (
	// crashCheckPause is how long after a connection broke it is looked whether the
	// upstream still listens: all connections of a process end within a millisecond.
	crashCheckPause = 20 * time.Millisecond
)

// crashes knows under which requests upstreams have ended: by what this gateway sees, by
// the words of others, and by the store. There lie the contents under which two have
// ended, so that all gateways may end or be cut off from each other. Without it a request
// that crashes upstreams goes on to one after another for as long as it comes.
type crashes struct {
	g      *Gateway
	record wardturn.CrashRecord
	reads  chan struct{} // asks for a reading of the store
	writes chan struct{} // asks for what is due there to be written

	mu       sync.Mutex
	book     *decide.Crashes
	checking map[wardturn.UpstreamID]bool
	unsent   bool              // a crash could be told to nobody
	readTo   wardturn.Position // of the store
	readAt   time.Time         // when that was known to be the latest; zero: nothing was read
}

func newCrashes(g *Gateway, record wardturn.CrashRecord) *crashes {
	return &crashes{
		g:        g,
		record:   record,
		reads:    make(chan struct{}, 1),
		writes:   make(chan struct{}, 1),
		book:     decide.NewCrashes(g.cfg.Crashes),
		checking: make(map[wardturn.UpstreamID]bool),
	}
}

// wake asks the goroutine that waits on a channel to look again.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// refuses reports whether a content is refused, and for how long yet.
func (c *crashes) refuses(content wardturn.ContentID) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.book.Refuses(c.g.clock.Now(), content)
}

// answered records that an upstream answered a request.
func (c *crashes) answered(content wardturn.ContentID) {
	c.mu.Lock()
	suspected := c.book.Answered(c.g.clock.Now(), content)
	c.mu.Unlock()
	if !suspected {
		return
	}
	c.g.logger.Info("request not suspected any more, it was answered", "content", content)
	c.tell(&peer.CrashNews{
		Cleared: []wardturn.ContentID{content},
	})
	wake(c.writes)
}

// broke records that a send got no whole answer. With check, the connection broke without
// this gateway's doing, and it is looked whether the upstream has ended.
func (c *crashes) broke(m wardturn.Member, content wardturn.ContentID, check bool) {
	c.mu.Lock()
	fresh := c.book.Broke(c.g.clock.Now(), content, m.ID)
	check = check && !c.checking[m.ID]
	if check {
		c.checking[m.ID] = true
	}
	c.mu.Unlock()
	c.saw(fresh)
	if check {
		c.g.tasks.Go(func() {
			c.check(m)
		})
	}
}

// check looks whether an upstream still listens.
func (c *crashes) check(m wardturn.Member) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.checking, m.ID)
	}()
	if !c.g.tasks.Pause(crashCheckPause) || c.g.pool.listens(c.g.tasks.Context(), m.Addr) {
		return
	}
	c.g.refused(m.ID)
	c.ended(m.ID)
}

// ended records that upstreams have ended without notice.
func (c *crashes) ended(ids ...wardturn.UpstreamID) {
	var fresh []wardturn.Crash
	c.mu.Lock()
	now := c.g.clock.Now()
	for _, id := range ids {
		fresh = append(fresh, c.book.Ended(now, id)...)
	}
	c.mu.Unlock()
	c.saw(fresh)
}

// saw tells the other gateways of crashes that were seen here.
func (c *crashes) saw(fresh []wardturn.Crash) {
	if len(fresh) == 0 {
		return
	}
	c.g.metrics.crashes.Inc(int64(len(fresh)))
	c.g.logger.Info("upstream ended under requests", "upstream", fresh[0].Upstream, "requests", len(fresh))
	told := c.tell(&peer.CrashNews{
		Crashes: fresh,
	})
	c.mu.Lock()
	c.unsent = c.unsent || !told
	c.mu.Unlock()
	c.counted(fresh)
}

// tell tells the other gateways, and reports whether a keeper is there to pass it on.
// What gets lost on the way is read in the store once it matters.
func (c *crashes) tell(m *peer.CrashNews) bool {
	conns := c.g.links.newsConns(string(c.g.cfg.Process) + "/crashes")
	for _, conn := range conns {
		_ = conn.Send(m)
	}
	return len(conns) > 0
}

// counted acts on crashes that were not known: where they make a content refused, its
// requests that have not begun are broken off.
func (c *crashes) counted(fresh []wardturn.Crash) {
	for _, crash := range fresh {
		if _, refused := c.refuses(crash.Content); !refused {
			continue
		}
		n := c.g.notStarted.breakOffContent(crash.Content)
		c.g.logger.Warn("request is refused, upstreams ended under it", "content", crash.Content, "latest", crash.Upstream, "broken_off", n)
	}
	if len(fresh) > 0 {
		wake(c.writes)
	}
}

// receive takes a message of another gateway.
func (c *crashes) receive(m *peer.CrashNews) {
	c.mu.Lock()
	fresh := c.book.Heard(c.g.clock.Now(), m.Crashes)
	c.book.Cleared(m.Cleared)
	known := c.readTo
	c.mu.Unlock()
	c.counted(fresh)
	if m.Read == nil {
		return
	}
	if m.Read.From > known {
		wake(c.reads) // what lies between was not heard
		return
	}
	c.read(*m.Read)
}

// refuseCrashing reports whether the request is refused since upstreams end under what it
// asks, and notes when it may be tried again.
func (x *exchange) refuseCrashing() bool {
	left, refused := x.g.crashes.refuses(x.content)
	if refused {
		x.refusal = &refusal{
			reason:     wardturn.ReasonCrashes,
			retryAfter: left,
		}
	}
	return refused
}

// noteContent tells what the end of a send says of what the request asks. An answer that
// the upstream gave whole speaks for it, an error of the upstream's own says nothing: one
// that fails by itself answers so whatever is asked. If that cleared a content, a request
// that crashes upstreams would be let through again by any that fails now and then.
func (x *exchange) noteContent(a assignment, res result, limit error) {
	switch res {
	case passed:
		x.g.crashes.answered(x.content)
	case unknown, cut, left:
		if !x.send.brokenOff && !x.slowCaller() {
			x.g.crashes.broke(a.Member, x.content, res != left && limit == nil)
		}
	}
}
