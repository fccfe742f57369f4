package peer

import (
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"wardturn"
	"wardturn/process"
)

const (
	// dialTimeout is well above the round-trip time between regions and well below the
	// second after which TCP retransmits a lost SYN: dialing again is faster.
	dialTimeout    = 300 * time.Millisecond
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 400 * time.Millisecond // short, to reconnect soon after the process restarts
	redialFactor   = 2
	// ackTimeout is the TCP user timeout: how long sent data may remain unacknowledged. A
	// packet may be lost three times (retransmitted after 0.2, 0.6 and 1.4 s). An
	// unanswered heartbeat detects a silent connection after 5 s.
	ackTimeout = 2 * time.Second
)

// Client maintains one connection to a process and reconnects when it is lost.
type Client struct {
	addr      string
	tlsConfig *tls.Config
	clock     wardturn.Clock
	id        Identity
	handler   ClientHandler

	mu     sync.Mutex
	conn   *Conn
	closed chan struct{}
	done   chan struct{}
}

// ClientHandler is a Handler that is also notified of new connections.
type ClientHandler interface {
	Handler
	// Connected is called before the first Handle of a connection.
	Connected(c *Conn)
}

// NewClient returns a client that dials addr until Close.
func NewClient(addr string, tlsConfig *tls.Config, clock wardturn.Clock, id Identity, h ClientHandler) *Client {
	c := &Client{
		addr:      addr,
		tlsConfig: tlsConfig,
		clock:     clock,
		id:        id,
		handler:   h,
		closed:    make(chan struct{}),
		done:      make(chan struct{}),
	}
	go func() {
		defer close(c.done)
		c.run()
	}()
	return c
}

// Conn returns the current connection, or nil.
func (c *Client) Conn() *Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

// Addr returns the address that the client dials.
func (c *Client) Addr() string {
	return c.addr
}

// Close closes the connection and waits until the last call of the handler returned.
func (c *Client) Close() {
	c.mu.Lock()
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
	<-c.done
}

func (c *Client) run() {
	delay := minRedialDelay
	for {
		if c.serve() {
			delay = minRedialDelay
		}
		if !c.waitRedial(delay) {
			return
		}
		delay = min(delay*redialFactor, maxRedialDelay)
	}
}

// serve dials once and serves the connection until it ends. It reports whether a
// connection was established.
func (c *Client) serve() bool {
	nc, err := c.dial()
	if err != nil {
		return false
	}
	conn, err := establish(nc, c.clock, c.id, Limits{})
	if err != nil {
		nc.Close()
		return false
	}
	conn.dialed = true
	if !c.setConn(conn) {
		conn.Close()
		return false
	}
	c.handler.Connected(conn)
	conn.run(c.handler)
	c.setConn(nil)
	return true
}

func (c *Client) dial() (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		Control: process.UserTimeout(ackTimeout),
	}
	if c.tlsConfig != nil {
		return tls.DialWithDialer(&d, "tcp", c.addr, c.tlsConfig)
	}
	return d.Dial("tcp", c.addr)
}

// setConn sets the current connection. It returns false after Close.
func (c *Client) setConn(conn *Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	select {
	case <-c.closed:
		return false
	default:
		return true
	}
}

// waitRedial waits for d with jitter, so that many clients do not dial at the same time.
// It returns false after Close.
func (c *Client) waitRedial(d time.Duration) bool {
	d = d/2 + rand.N(d)
	elapsed := make(chan struct{})
	timer := c.clock.AfterFunc(d, func() {
		close(elapsed)
	})
	defer timer.Stop()
	select {
	case <-elapsed:
		return true
	case <-c.closed:
		return false
	}
}
