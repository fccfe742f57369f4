package gateway

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn"
	"wardturn/process"
)

const (
	// dialTimeout allows a few retransmissions; upstreams are a millisecond away.
	dialTimeout = 800 * time.Millisecond
	// userTimeout is the TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged.
	userTimeout = 3 * time.Second
	// keepAliveIdle is the idle time before, and the interval between, TCP keep-alive probes.
	keepAliveIdle  = 2 * time.Second
	keepAliveCount = 2
	// idleMargin is how long before the upstream does so the gateway closes idle connections.
	idleMargin = 500 * time.Millisecond
	// defaultIdleTime is the idle time if the upstream sends no Keep-Alive timeout.
	defaultIdleTime     = 4 * time.Second
	maxIdlePerAddr      = 32
	readBufferSize      = 4 << 10
	maxForeignResponses = 3 // responses to other requests that are skipped
)

// upstreamConn is a connection to an upstream. It carries one request at a time.
type upstreamConn struct {
	net.Conn
	br        *bufio.Reader
	limit     *io.LimitedReader // under br
	addr      string
	openedAt  time.Time           // before the dial
	lifetime  wardturn.UpstreamID // at its other end; empty: not known
	reused    bool
	idleUntil time.Time
	// readLimited reports that a read deadline is set.
	readLimited bool
}

// pool keeps idle connections to upstreams.
type pool struct {
	clock wardturn.Clock

	mu   sync.Mutex
	idle map[string][]*upstreamConn
}

func newPool(clock wardturn.Clock) *pool {
	return &pool{
		clock: clock,
		idle:  make(map[string][]*upstreamConn),
	}
}

// get returns a connection to an address: an idle one that is still usable, or a new one.
func (p *pool) get(ctx context.Context, addr string) (*upstreamConn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.idleUntil.After(p.clock.Now()) && c.isReusable() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
}

// listens reports whether a process listens at an address. Only a refused connection
// counts as a no. A connection that is opened for the check goes to the pool.
func (p *pool) listens(ctx context.Context, addr string) bool {
	c, err := p.get(ctx, addr)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	c.returnUnused(p)
	return true
}

// pop removes and returns the most recently used idle connection to an address, or nil.
func (p *pool) pop(addr string) *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *pool) dial(ctx context.Context, addr string) (*upstreamConn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		Control: process.UserTimeout(userTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveIdle,
			Count:    keepAliveCount,
		},
	}
	openedAt := p.clock.Now()
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	limit := &io.LimitedReader{
		R: nc,
		N: math.MaxInt64,
	}
	return &upstreamConn{
		Conn:     nc,
		br:       bufio.NewReaderSize(limit, readBufferSize),
		limit:    limit,
		addr:     addr,
		openedAt: openedAt,
	}, nil
}

// isReusable reports whether an idle connection is open and has nothing to read. After
// unsolicited bytes or the end of the stream it cannot be reused.
func (c *upstreamConn) isReusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// abort closes a connection whose request is abandoned, with a TCP reset, so that a frozen
// host drops a request that it has not accepted yet. After a regular close the request
// would reach the engine seconds after its caller has left.
func (c *upstreamConn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on failure the connection is closed regularly
	}
	c.Close()
}

// returnUnused returns a connection on which nothing was sent to the pool.
func (c *upstreamConn) returnUnused(p *pool) {
	d := defaultIdleTime
	if c.reused {
		d = c.idleUntil.Sub(p.clock.Now())
	}
	p.put(c, d)
}

// put adds a connection to the idle ones for a time, or closes it if there are too many.
func (p *pool) put(c *upstreamConn, idleTime time.Duration) {
	c.idleUntil = p.clock.Now().Add(idleTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= maxIdlePerAddr {
		c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// sweep closes connections that were idle for too long, and all connections to addresses
// that are no longer in use.
func (p *pool) sweep(inUse func(addr string) bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if c.idleUntil.After(now) && inUse(addr) {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		clear(list[len(kept):])
		p.idle[addr] = kept
		if len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}

func (p *pool) close() {
	p.sweep(func(string) bool {
		return false
	})
}

// idleTimeAfter returns how long a connection may stay idle after a response; zero or less
// means that it cannot be reused.
func idleTimeAfter(res *http.Response) time.Duration {
	if res.Close || res.ContentLength < 0 && !chunked(res) && bodyAllowed(res.StatusCode) {
		return 0
	}
	for _, part := range strings.Split(res.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil {
			return 0
		}
		return time.Duration(n)*time.Second - idleMargin
	}
	return defaultIdleTime
}

func chunked(res *http.Response) bool {
	return len(res.TransferEncoding) > 0
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
