package entry

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// lingerTimeout and maxLingerBytes limit how long and how much of a refused request is
	// read and discarded before its connection is closed. Both are estimates: a caller that
	// finishes writing within them can read the response, and a caller that never stops
	// writing can't occupy the connection for longer.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 4 << 20
)

// lingeringListener accepts connections that support a lingering close.
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

// lingeringConn is a connection that, if marked, reads and discards further data for a
// limited time when it is closed. Closing a TCP connection while received bytes are unread
// resets it, and after a reset the caller can no longer read the response. Without this,
// callers that continued to write after their request was refused received no response.
type lingeringConn struct {
	net.Conn
	lingerOnClose atomic.Bool
}

// NetConn returns the connection below, as tls.Conn does.
func (c *lingeringConn) NetConn() net.Conn {
	return c.Conn
}

// enableLinger marks a connection, or the one below its layers, for a lingering close.
func enableLinger(c net.Conn) {
	for {
		if l, ok := c.(*lingeringConn); ok {
			l.lingerOnClose.Store(true)
			return
		}
		layer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		c = layer.NetConn()
	}
}

// Close implements net.Conn.
func (c *lingeringConn) Close() error {
	if c.lingerOnClose.CompareAndSwap(true, false) {
		c.drain()
	}
	return c.Conn.Close()
}

// drain closes the write side and discards incoming data. Errors are ignored: they mean
// that the caller no longer reads the response.
func (c *lingeringConn) drain() {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout)) // deadlines use the system clock, not wardturn.Clock
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
}
