package process

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"wardturn"
)

// ConnLimit bounds the open connections of a listener. In favor of a new connection it closes the one
// that has been idle longest; if all are busy, it refuses the new one.
type ConnLimit struct {
	listener string
	max      int // zero: no limit
	clock    wardturn.Clock
	logger   hclog.Logger
	open     tally.Gauge
	evicted  tally.Counter
	refused  tally.Counter

	mu    sync.Mutex
	conns map[*ConnSlot]struct{}
}

// NewConnLimit returns a limit for the connections of a listener, whose name tells its metrics and log
// lines from others. Zero means no limit.
func NewConnLimit(listener string, max int, clock wardturn.Clock, logger hclog.Logger, scope tally.Scope) *ConnLimit {
	scope = scope.Tagged(map[string]string{
		"listener": listener,
	})
	return &ConnLimit{
		listener: listener,
		max:      max,
		clock:    clock,
		logger:   logger,
		open:     scope.Gauge("connections_open"),
		evicted:  scope.Counter("connections_evicted"),
		refused:  scope.Counter("connections_refused"),
		conns:    make(map[*ConnSlot]struct{}),
	}
}

// ConnSlot is the place of one connection under a ConnLimit. A connection is idle at first.
type ConnSlot struct {
	limit *ConnLimit
	conn  net.Conn

	// Guarded by the lock of limit.
	idleSince time.Time
	busy      bool
	evicted   bool
}

// Admit returns the slot of an accepted connection, or nil if there is none: the connection must be
// closed.
func (l *ConnLimit) Admit(nc net.Conn) *ConnSlot {
	s := &ConnSlot{
		limit:     l,
		conn:      nc,
		idleSince: l.clock.Now(),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.max > 0 && len(l.conns) >= l.max && !l.evict(s.idleSince) {
		l.refused.Inc(1)
		l.logger.Warn("connection refused, all others are in use", "listener", l.listener, "from", nc.RemoteAddr(), "connections", len(l.conns))
		return nil
	}
	l.conns[s] = struct{}{}
	l.open.Update(float64(len(l.conns)))
	return s
}

// evict closes the connection that has been idle longest and reports whether there is one. The lock
// must be held.
func (l *ConnLimit) evict(now time.Time) bool {
	var oldest *ConnSlot
	for s := range l.conns {
		if !s.busy && (oldest == nil || s.idleSince.Before(oldest.idleSince)) {
			oldest = s
		}
	}
	if oldest == nil {
		return false
	}
	oldest.evicted = true
	delete(l.conns, oldest)
	_ = oldest.conn.Close() // whoever reads it gets the error
	l.evicted.Inc(1)
	l.logger.Warn("idle connection closed in favor of a new one", "listener", l.listener, "from", oldest.conn.RemoteAddr(), "idle", now.Sub(oldest.idleSince), "connections", len(l.conns)+1)
	return true
}

// Busy marks a connection as in use, so that it is not closed. It reports false if that has happened
// already.
func (s *ConnSlot) Busy() bool {
	s.limit.mu.Lock()
	defer s.limit.mu.Unlock()
	s.busy = !s.evicted
	return s.busy
}

// Idle marks a connection as idle from now on.
func (s *ConnSlot) Idle() {
	now := s.limit.clock.Now()
	s.limit.mu.Lock()
	defer s.limit.mu.Unlock()
	s.busy = false
	s.idleSince = now
}

// Free frees the slot of a connection that is closed.
func (s *ConnSlot) Free() {
	s.limit.mu.Lock()
	defer s.limit.mu.Unlock()
	delete(s.limit.conns, s)
	s.limit.open.Update(float64(len(s.limit.conns)))
}

// Listener returns a listener whose connections are under the limit. They are of type *LimitedConn.
func (l *ConnLimit) Listener(ln net.Listener) net.Listener {
	return &limitedListener{
		Listener: ln,
		limit:    l,
	}
}

type limitedListener struct {
	net.Listener
	limit *ConnLimit
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if s := l.limit.Admit(nc); s != nil {
			return &LimitedConn{
				Conn: nc,
				Slot: s,
			}, nil
		}
		nc.Close()
	}
}

// LimitedConn is a connection under a ConnLimit. Its slot is free once it is closed.
type LimitedConn struct {
	net.Conn
	Slot *ConnSlot
}

// Close implements net.Conn.
func (c *LimitedConn) Close() error {
	c.Slot.Free()
	return c.Conn.Close()
}

// CloseWrite closes the writing side.
func (c *LimitedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// KeepOpen marks a connection as in use if it is under a ConnLimit, or a TLS connection over one that
// is. It reports false if the connection was closed in favor of another one.
func KeepOpen(nc net.Conn) bool {
	s := slotOf(nc)
	return s == nil || s.Busy()
}

// MarkIdle marks a connection as idle if it is under a ConnLimit, or a TLS connection over one that is.
func MarkIdle(nc net.Conn) {
	if s := slotOf(nc); s != nil {
		s.Idle()
	}
}

// slotOf returns the slot of a connection under a ConnLimit, or nil.
func slotOf(nc net.Conn) *ConnSlot {
	for {
		switch c := nc.(type) {
		case *LimitedConn:
			return c.Slot
		case interface{ NetConn() net.Conn }:
			nc = c.NetConn()
		default:
			return nil
		}
	}
}

// NetConn returns the connection below, as tls.Conn does.
func (c *LimitedConn) NetConn() net.Conn {
	return c.Conn
}
