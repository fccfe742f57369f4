package entry

import (
	"sync"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

// link is the entry's connection to the agent of one upstream. It is opened when it is
// first needed and reconnects after a loss.
type link struct {
	entry  *Entry
	host   wardturn.Host
	client *peer.Client

	mu      sync.Mutex
	calls   map[wardturn.AttemptID]*call
	up      chan struct{} // closed while connected
	conn    *peer.Conn
	usedAt  time.Time
	retired bool
}

func newLink(e *Entry, h wardturn.Host) *link {
	l := &link{
		entry:  e,
		host:   h,
		calls:  make(map[wardturn.AttemptID]*call),
		up:     make(chan struct{}),
		usedAt: e.clock.Now(),
	}
	l.client = peer.NewClient(h.Addr, e.tls, e.clock, e.identity(), l)
	return l
}

// Connected implements peer.ClientHandler. It resumes the attempts of the previous
// connection.
func (l *link) Connected(c *peer.Conn) {
	l.mu.Lock()
	l.conn = c
	close(l.up)
	calls := make([]*call, 0, len(l.calls))
	for _, k := range l.calls {
		calls = append(calls, k)
	}
	l.mu.Unlock()
	for _, k := range calls {
		k.reattach(c)
	}
}

// Closed implements peer.Handler.
func (l *link) Closed(*peer.Conn, error) {
	l.mu.Lock()
	l.conn = nil
	l.up = make(chan struct{})
	calls := make([]*call, 0, len(l.calls))
	for _, k := range l.calls {
		calls = append(calls, k)
	}
	l.mu.Unlock()
	for _, k := range calls {
		k.lose()
	}
}

// Handle implements peer.Handler.
func (l *link) Handle(_ *peer.Conn, m peer.Message) {
	switch m := m.(type) {
	case *peer.Head:
		if k := l.call(m.Attempt); k != nil {
			k.onHead(m)
		}
	case *peer.Chunk:
		if k := l.call(m.Attempt); k != nil {
			k.onChunk(m)
		}
	case *peer.End:
		l.entry.hint(l.host.Upstream, m.Hint)
		if k := l.call(m.Attempt); k != nil {
			k.onEnd(m)
		}
	case *peer.ConfigPage:
		l.entry.onConfigPage(l.host.Upstream, m)
	case *peer.Hint:
		l.entry.hint(l.host.Upstream, m.Hint)
	}
}

// Busy implements peer.Busier.
func (l *link) Busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.calls) > 0
}

func (l *link) call(id wardturn.AttemptID) *call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[id]
}

// wait returns the current connection. If there is none, it waits for one until the
// timeout and then returns nil.
func (l *link) wait(limit time.Duration) *peer.Conn {
	l.mu.Lock()
	conn, up := l.conn, l.up
	l.usedAt = l.entry.clock.Now()
	l.mu.Unlock()
	if conn != nil {
		return conn
	}
	late := make(chan struct{})
	timer := l.entry.clock.AfterFunc(limit, func() {
		close(late)
	})
	defer timer.Stop()
	select {
	case <-up:
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.conn
	case <-late:
		return nil
	}
}

func (l *link) add(k *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[k.id] = k
}

func (l *link) remove(k *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, k.id)
	l.usedAt = l.entry.clock.Now()
}

// idleSince returns when the link was last used. It reports false while attempts use it.
func (l *link) idleSince() (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usedAt, len(l.calls) == 0
}

// link returns the link to an upstream, and opens it if there is none. It returns nil if
// the upstream is not in the host list or the entry is closed.
func (e *Entry) link(id wardturn.UpstreamID) *link {
	e.mu.Lock()
	defer e.mu.Unlock()
	h, known := e.hosts[id]
	if !known || e.closed {
		return nil
	}
	l := e.links[id]
	if l != nil && l.host.Addr == h.Addr {
		return l
	}
	if l != nil {
		e.retire(l)
	}
	l = newLink(e, h)
	e.links[id] = l
	return l
}

// retire closes a link. The caller must hold e.mu.
func (e *Entry) retire(l *link) {
	if l.retired {
		return
	}
	l.retired = true
	e.tasks.Go(l.client.Close)
}

// sweepLinks closes links without attempts that have been idle for too long or whose
// upstream left the host list.
func (e *Entry) sweepLinks() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	for id, l := range e.links {
		since, idle := l.idleSince()
		_, listed := e.hosts[id]
		if idle && (!listed || now.Sub(since) > e.cfg.IdleLink) {
			delete(e.links, id)
			e.retire(l)
		}
	}
}

func (e *Entry) hint(id wardturn.UpstreamID, h decide.Hint) {
	e.routerMu.Lock()
	defer e.routerMu.Unlock()
	e.router.Hint(e.clock.Now(), id, h)
}
