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

	mu        sync.Mutex
	attempts  map[wardturn.AttemptID]*attempt
	connected chan struct{} // closed while connected
	conn      *peer.Conn
	lastUsed  time.Time
	closed    bool
}

func newLink(e *Entry, h wardturn.Host) *link {
	l := &link{
		entry:     e,
		host:      h,
		attempts:  make(map[wardturn.AttemptID]*attempt),
		connected: make(chan struct{}),
		lastUsed:  e.clock.Now(),
	}
	l.client = peer.NewClient(h.Addr, e.tls, e.clock, e.identity(), l)
	return l
}

// Connected implements peer.ClientHandler. It resumes the attempts of the previous
// connection.
func (l *link) Connected(c *peer.Conn) {
	l.mu.Lock()
	l.conn = c
	close(l.connected)
	attempts := make([]*attempt, 0, len(l.attempts))
	for _, a := range l.attempts {
		attempts = append(attempts, a)
	}
	l.mu.Unlock()
	for _, a := range attempts {
		a.reattach(c)
	}
}

// Closed implements peer.Handler.
func (l *link) Closed(*peer.Conn, error) {
	l.mu.Lock()
	l.conn = nil
	l.connected = make(chan struct{})
	attempts := make([]*attempt, 0, len(l.attempts))
	for _, a := range l.attempts {
		attempts = append(attempts, a)
	}
	l.mu.Unlock()
	for _, a := range attempts {
		a.connectionLost()
	}
}

// Handle implements peer.Handler.
func (l *link) Handle(_ *peer.Conn, m peer.Message) {
	switch m := m.(type) {
	case *peer.Head:
		if a := l.attempt(m.Attempt); a != nil {
			a.onHead(m)
		}
	case *peer.Chunk:
		if a := l.attempt(m.Attempt); a != nil {
			a.onChunk(m)
		}
	case *peer.End:
		l.entry.updateHint(l.host.Upstream, m.Hint)
		if a := l.attempt(m.Attempt); a != nil {
			a.onEnd(m)
		}
	case *peer.ConfigPage:
		l.entry.onConfigPage(l.host.Upstream, m)
	case *peer.Hint:
		l.entry.updateHint(l.host.Upstream, m.Hint)
	}
}

// Busy implements peer.Busier.
func (l *link) Busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.attempts) > 0
}

func (l *link) attempt(id wardturn.AttemptID) *attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts[id]
}

// waitConn returns the current connection. If there is none, it waits for one until the
// timeout and then returns nil.
func (l *link) waitConn(timeout time.Duration) *peer.Conn {
	l.mu.Lock()
	conn, connected := l.conn, l.connected
	l.lastUsed = l.entry.clock.Now()
	l.mu.Unlock()
	if conn != nil {
		return conn
	}
	expired := make(chan struct{})
	timer := l.entry.clock.AfterFunc(timeout, func() {
		close(expired)
	})
	defer timer.Stop()
	select {
	case <-connected:
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.conn
	case <-expired:
		return nil
	}
}

func (l *link) add(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[a.id] = a
}

func (l *link) remove(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.attempts, a.id)
	l.lastUsed = l.entry.clock.Now()
}

// idleSince returns when the link was last used. It reports false while attempts use it.
func (l *link) idleSince() (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastUsed, len(l.attempts) == 0
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
		e.closeLink(l)
	}
	l = newLink(e, h)
	e.links[id] = l
	return l
}

// closeLink closes a link. The caller must hold e.mu.
func (e *Entry) closeLink(l *link) {
	if l.closed {
		return
	}
	l.closed = true
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
		if idle && (!listed || now.Sub(since) > e.cfg.IdleTimeout) {
			delete(e.links, id)
			e.closeLink(l)
		}
	}
}

func (e *Entry) updateHint(id wardturn.UpstreamID, h decide.Hint) {
	e.routerMu.Lock()
	defer e.routerMu.Unlock()
	e.router.Hint(e.clock.Now(), id, h)
}
