package entry

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// lingerFor and lingerBytes bound what is read and thrown away of a refused request
	// before its connection is closed. They are estimates: a caller that is done writing
	// within them reads the answer, one that never ends holds a connection no longer.
	lingerFor   = 500 * time.Millisecond
	lingerBytes = 4 << 20
)

// lingeringListener accepts connections that can be closed without a reset.
type lingeringListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l lingeringListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingeringConn{
		Conn: c,
	}, nil
}

// lingeringConn is a connection that, once marked, reads on for a while when it is closed.
// A host that closes a connection with bytes unread resets it, and a reset drops the answer
// that the caller has not read: both callers of the test that go on writing got none.
type lingeringConn struct {
	net.Conn
	marked atomic.Bool
}

// linger marks the connection below a request, which may be that of a TLS connection.
func linger(c net.Conn) {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	if l, ok := c.(*lingeringConn); ok {
		l.marked.Store(true)
	}
}

// Close implements net.Conn.
func (c *lingeringConn) Close() error {
	if c.marked.CompareAndSwap(true, false) {
		c.drain()
	}
	return c.Conn.Close()
}

// drain ends what is sent and reads what still comes. Its errors mean that nobody reads the
// answer any more.
func (c *lingeringConn) drain() {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerFor)) // the system's clock counts deadlines
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}
