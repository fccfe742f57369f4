package process

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
)

const (
	// headAllowance is how much of the memory of each head is not taken from the budget for heads.
	// The number of connections bounds it, and ordinary requests are served while others use up the
	// budget.
	headAllowance = 8 << 10
	// lingerTimeout and maxLingerBytes limit how long and how much of a refused head is read and
	// discarded, since closing a connection with unread bytes resets it, and its caller could no
	// longer read the response.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
	// headRetryAfter is the Retry-After of heads for which there is no memory.
	headRetryAfter = 500 * time.Millisecond
)

// errHeadRefused ends the reading of a head that was refused.
var errHeadRefused = errors.New("process: head refused")

// headRefusal is why a head was refused.
type headRefusal string

const (
	headTooLarge   headRefusal = "too_large"
	headsExhausted headRefusal = "no_memory"
)

// HeadLimit bounds the heads of the requests of all callers of a server.
type HeadLimit struct {
	budget       *ByteBudget
	max          atomic.Int64 // bytes of one head
	stallTimeout time.Duration
	logger       hclog.Logger
	refused      map[headRefusal]tally.Counter
	memory       tally.Gauge
}

// NewHeadLimit returns a limit of a number of bytes for each head, and of the memory of all heads
// together beyond a few KB for each; zero means no limit of the latter. A caller that takes no byte of
// a response for the stall timeout loses its connection.
func NewHeadLimit(size int, memory int64, stallTimeout time.Duration, logger hclog.Logger, scope tally.Scope) *HeadLimit {
	l := &HeadLimit{
		budget:       NewByteBudget(memory),
		stallTimeout: stallTimeout,
		logger:       logger,
		refused:      make(map[headRefusal]tally.Counter),
		memory:       scope.Gauge("head_memory_bytes"),
	}
	for _, why := range []headRefusal{headTooLarge, headsExhausted} {
		l.refused[why] = scope.Tagged(map[string]string{
			"reason": string(why),
		}).Counter("heads_refused")
	}
	l.SetSize(size)
	return l
}

// SetSize sets the limit of the size of a head in bytes, for connections that are open too.
func (l *HeadLimit) SetSize(n int) {
	l.max.Store(int64(n))
}

// Report updates the gauge of the memory of heads.
func (l *HeadLimit) Report() {
	l.memory.Update(float64(l.budget.Held()))
}

// Conn returns the connection of a caller under the limit.
func (l *HeadLimit) Conn(nc net.Conn) *HeadConn {
	return &HeadConn{
		Conn:  nc,
		limit: l,
	}
}

// Listener returns a listener whose connections are under the limit. They are of type *HeadConn.
func (l *HeadLimit) Listener(ln net.Listener) net.Listener {
	return &headListener{
		Listener: ln,
		limit:    l,
	}
}

type headListener struct {
	net.Listener
	limit *HeadLimit
}

// Accept implements net.Listener.
func (l *headListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.limit.Conn(nc), nil
}

// HeadConn is a connection of a caller. It measures the heads of requests before a server parses
// them, refuses those over the limits, and gives writes a deadline. A read returns bytes of one head or
// of one body, so that the beginning of the next head is known. After a body of unknown length it is
// not, and from then on nothing is removed from what the server reads.
type HeadConn struct {
	net.Conn
	limit *HeadLimit

	mu       sync.Mutex
	head     headMeter
	merged   bool   // the server may have bytes of the head that were read with a body before it
	seen     bool   // the end of the head was seen
	began    bool   // the server has said how long the body is
	early    int64  // bytes that were read after the head and before that
	left     int64  // bytes of the body that were not read; negative: not known
	next     int64  // bytes of the next head that were read during the request
	pending  []byte // bytes that were read too early, in buf
	buf      []byte
	reserved atomic.Int64 // from the budget

	writeDeadline atomic.Bool // a deadline for writes is set
}

// Read implements net.Conn.
func (c *HeadConn) Read(p []byte) (int, error) {
	for {
		n, err := c.readPart(p)
		if n != 0 || err != nil {
			return n, err
		}
	}
}

// readPart reads bytes of the part of a request that is due.
func (c *HeadConn) readPart(p []byte) (int, error) {
	c.mu.Lock()
	inHead := !c.seen && !c.began
	if c.began && c.left > 0 {
		p = p[:min(int64(len(p)), c.left)]
	}
	c.mu.Unlock()
	n, err := c.readBytes(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case inHead:
		return c.afterHead(p[:n], err)
	case !c.began:
		c.early += int64(n)
	case c.left == 0:
		n = c.skipBlank(p[:n])
		c.next += int64(n)
	case c.left > 0:
		c.read(int64(n))
	}
	return n, err
}

// read records bytes that were read of a body of known length, and what was read beyond it. The lock must
// be held.
func (c *HeadConn) read(n int64) {
	body := min(n, c.left)
	c.left -= body
	c.next += n - body
}

// readBytes reads pending bytes or from the connection.
func (c *HeadConn) readBytes(p []byte) (int, error) {
	c.mu.Lock()
	n := copy(p, c.pending)
	c.pending = c.pending[n:]
	c.mu.Unlock()
	if n > 0 {
		return n, nil
	}
	return c.Conn.Read(p)
}

// unread puts bytes before the pending ones. The lock must be held.
func (c *HeadConn) unread(p []byte) {
	switch {
	case len(p) == 0:
	case len(c.pending) == 0:
		c.buf = append(c.buf[:0], p...)
		c.pending = c.buf
	default:
		c.pending = append(append(make([]byte, 0, len(p)+len(c.pending)), p...), c.pending...)
	}
}

// skipBlank removes empty lines before a request from p.
func (c *HeadConn) skipBlank(p []byte) int {
	return copy(p, p[leadingBlank(p):])
}

// afterHead measures bytes that were read of a head, and refuses the head if it is too large or there is
// no memory for it. It returns how many belong to the head; the others are pending. The lock must be held.
func (c *HeadConn) afterHead(p []byte, err error) (int, error) {
	if !c.head.begun {
		n := c.head.blank(p)
		p = p[:copy(p, p[n:])]
	}
	n := c.head.scan(p)
	c.unread(p[n:])
	c.seen = c.head.done
	switch {
	case int64(c.head.bytes) > c.limit.max.Load():
		return 0, c.refuse(headTooLarge)
	case !c.reserve():
		return 0, c.refuse(headsExhausted)
	}
	return n, err
}

// reserve reserves the memory of the head that has been read so far.
func (c *HeadConn) reserve() bool {
	reserved := c.reserved.Load()
	need := c.head.cost() - headAllowance - reserved
	if need <= 0 {
		return true
	}
	if !c.limit.budget.Grow(reserved, need) {
		return false
	}
	c.reserved.Add(need)
	return true
}

// release returns the memory of the head.
func (c *HeadConn) release() {
	c.limit.budget.Release(c.reserved.Swap(0))
}

// Close implements net.Conn.
func (c *HeadConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// refuse responds to a head that is not read any further, and waits until its caller has stopped
// writing or for a limited time. It returns the error of the read.
func (c *HeadConn) refuse(why headRefusal) error {
	c.release()
	refused := &net.OpError{
		Op:  "read",
		Net: "tcp",
		Err: errHeadRefused,
	}
	c.limit.refused[why].Inc(1)
	c.limit.logger.Info("head refused", "reason", why, "bytes", c.head.bytes, "lines", c.head.lines, "caller", c.RemoteAddr(), "held", c.limit.budget.Held())
	status, retryAfter := http.StatusRequestHeaderFieldsTooLarge, ""
	if why == headsExhausted {
		status = http.StatusServiceUnavailable
		retryAfter = fmt.Sprintf("Retry-After: %.3f\r\n", headRetryAfter.Seconds())
	}
	// Deadlines use the system clock, not wardturn.Clock.
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTimeout))
	if _, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), retryAfter); err != nil {
		return refused
	}
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes) // ends with the connection or the deadline
	return refused
}

// Large reports whether the current head takes more memory than is held for each connection.
func (c *HeadConn) Large() bool {
	return c.reserved.Load() > 0
}

// BeginBody begins the body, of a length that is negative if it is not known, of a request whose head
// was parsed.
func (c *HeadConn) BeginBody(length int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.began = true
	c.left = length
	if !c.seen || c.merged {
		c.left = -1 // a part of it may have been read with the head
	}
	if c.left >= 0 {
		c.read(c.early)
	}
	c.early = 0
}

// ExpectHead prepares for the next request.
func (c *HeadConn) ExpectHead() {
	c.release()
	c.mu.Lock()
	defer c.mu.Unlock()
	// More than one byte was read ahead by a server that reads the body and the next head at once.
	c.merged = c.merged || c.left < 0 || c.next > 1
	c.head = headMeter{
		bytes: int(c.next),
		begun: c.merged || c.next > 0,
		line:  int(min(c.next, 1)),
	}
	if c.merged {
		c.head.line = 1 // the line has begun, as far as is known
	}
	c.seen, c.began, c.left, c.next = false, false, 0, 0
}

// Write implements net.Conn. A caller that takes nothing for a while loses its connection.
func (c *HeadConn) Write(p []byte) (int, error) {
	if !c.writeDeadline.Load() {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.limit.stallTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// SetWriteDeadline implements net.Conn.
func (c *HeadConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// CloseWrite closes the writing side.
func (c *HeadConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// NetConn returns the connection below, as tls.Conn does.
func (c *HeadConn) NetConn() net.Conn {
	return c.Conn
}

// SetLinger sets how a close treats data that was not sent, as net.TCPConn does.
func (c *HeadConn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}
