package peer

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn"
)

// The limits of a connection.
const (
	maxBuffered  = 32 << 20
	busyPing     = time.Second      // between heartbeats of a connection in use
	idlePing     = 4 * time.Second  // of one that was used lately
	restPing     = 10 * time.Second // and of one that was not
	answerLimit  = 4 * time.Second  // for the answer to a heartbeat
	strangeLimit = 60 * time.Second // without a heartbeat of the side that sends them
	recentUse    = 2 * time.Second
	restAfter    = 30 * time.Second
	helloLimit   = 3 * time.Second
	// readBuffer holds several of the usual messages, and longer ones go around it. A
	// process may have thousands of connections, and each keeps its buffers.
	readBuffer = 2 << 10
	// keepBuffer is the largest buffer that is kept for the next message.
	keepBuffer = 8 << 10
)

var (
	// ErrClosed is returned by Send on a connection that has ended.
	ErrClosed = errors.New("peer: connection closed")
	// ErrProtocol is returned for a peer that does not speak the protocol.
	ErrProtocol = errors.New("peer: protocol violated")
	// ErrSlowPeer ends a connection whose peer takes its bytes too slowly.
	ErrSlowPeer = errors.New("peer: too many bytes buffered")
	// ErrSilent ends a connection on which nothing arrived for too long.
	ErrSilent = errors.New("peer: nothing received")
)

// Handler receives the messages of a connection. Handle is called from the
// connection's reading goroutine, one message at a time, and must not block.
type Handler interface {
	Handle(c *Conn, m Message)
	// Closed is called once, after the last Handle.
	Closed(c *Conn, err error)
}

// Busier is a Handler that knows whether its connection has work under way. The
// loss of such a connection is noticed sooner.
type Busier interface {
	Busy() bool
}

// Conn is an established connection: both sides have said Hello.
type Conn struct {
	nc     net.Conn
	clock  wardturn.Clock
	peer   Hello
	config func() wardturn.Offset

	mu       sync.Mutex
	ready    *sync.Cond // out is not empty, or the connection ended
	out      []byte
	err      error
	ping     wardturn.Timer
	pingWait time.Duration // of the present timer
	lastRead atomic.Int64  // clock time in nanoseconds
	lastUse  atomic.Int64  // of a message other than a heartbeat
	busier   Busier        // nil if the handler is none
	dialed   bool          // this side sends the heartbeats, the other answers
	askedAt  atomic.Int64  // of the oldest heartbeat without an answer; zero: none
	seq      uint64
	heard    atomic.Int64 // newest configuration that the other side told of
}

// Identity is what a process says of itself.
type Identity struct {
	Role     Role
	Process  wardturn.Incarnation
	Host     string // its name; may be empty
	Upstream wardturn.UpstreamID
	// Config returns the newest configuration applied.
	Config func() wardturn.Offset
}

func (id Identity) hello() *Hello {
	return &Hello{
		Protocol: Protocol,
		Role:     id.Role,
		Process:  id.Process,
		Host:     id.Host,
		Upstream: id.Upstream,
		Config:   id.Config(),
	}
}

// establish exchanges Hello on a new connection.
func establish(nc net.Conn, clock wardturn.Clock, id Identity) (*Conn, *bufio.Reader, error) {
	timer := clock.AfterFunc(helloLimit, func() {
		nc.Close()
	})
	defer timer.Stop()
	frame, err := AppendFrame(nil, id.hello())
	if err != nil {
		return nil, nil, err
	}
	if _, err := nc.Write(frame); err != nil {
		return nil, nil, errors.Wrap(err, "peer: hello")
	}
	r := bufio.NewReaderSize(nc, readBuffer)
	m, _, err := ReadFrame(r, nil)
	if err != nil {
		return nil, nil, errors.Wrap(err, "peer: hello")
	}
	hello, ok := m.(*Hello)
	if !ok || hello.Protocol != Protocol {
		return nil, nil, errors.Wrap(ErrProtocol, "hello")
	}
	c := &Conn{
		nc:     nc,
		clock:  clock,
		peer:   *hello,
		config: id.Config,
	}
	c.ready = sync.NewCond(&c.mu)
	c.heard.Store(int64(hello.Config))
	c.lastRead.Store(clock.Now().UnixNano())
	return c, r, nil
}

// Peer returns what the other side said at the start.
func (c *Conn) Peer() Hello {
	return c.peer
}

// Config returns the newest configuration that the other side told of.
func (c *Conn) Config() wardturn.Offset {
	return wardturn.Offset(c.heard.Load())
}

// Send queues a message. It does not block: a peer that does not take its bytes
// loses the connection. An error means that the message was not queued; nil
// does not mean that it arrives.
func (c *Conn) Send(m Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return ErrClosed
	}
	if len(c.out) > maxBuffered {
		c.fail(ErrSlowPeer)
		return ErrClosed
	}
	empty := len(c.out) == 0
	out, err := AppendFrame(c.out, m)
	if err != nil {
		return err
	}
	c.noteUse(m)
	c.hurry(m)
	c.out = out
	if empty {
		c.ready.Signal()
	}
	return nil
}

// noteUse remembers when the connection last carried an attempt: then its end
// must be noticed soon. Thousands of idle connections must cost little.
func (c *Conn) noteUse(m Message) {
	if !isHeartbeat(m) {
		c.lastUse.Store(c.clock.Now().UnixNano())
	}
}

func isHeartbeat(m Message) bool {
	switch m.Kind() {
	case KindPing, KindPong, KindHint, KindHello:
		return true
	}
	return false
}

// hurry brings the next heartbeat forward when a resting connection is used
// again; the lock is held.
func (c *Conn) hurry(m Message) {
	if !c.dialed || c.ping == nil || c.pingWait <= busyPing || isHeartbeat(m) {
		return
	}
	if c.ping.Stop() {
		c.pingWait = busyPing
		c.ping = c.clock.AfterFunc(busyPing, c.heartbeat)
	}
}

// interval returns the present time between heartbeats.
func (c *Conn) interval() time.Duration {
	if c.busier != nil && c.busier.Busy() {
		return busyPing
	}
	unused := c.clock.Now().Sub(time.Unix(0, c.lastUse.Load()))
	switch {
	case unused < recentUse:
		return busyPing
	case unused < restAfter:
		return idlePing
	}
	return restPing
}

// Close ends the connection.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(ErrClosed)
}

// fail ends the connection with its first error. The lock is held.
func (c *Conn) fail(err error) {
	if c.err != nil {
		return
	}
	c.err = err
	if c.ping != nil {
		c.ping.Stop()
	}
	c.nc.Close()
	c.ready.Broadcast()
}

func (c *Conn) failed(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(err)
}

// run serves the connection until it ends.
func (c *Conn) run(r *bufio.Reader, h Handler) {
	c.busier, _ = h.(Busier)
	c.schedulePing()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.write()
	}()
	c.read(r, h)
	<-done
	c.mu.Lock()
	err := c.err
	c.mu.Unlock()
	h.Closed(c, err)
}

func (c *Conn) read(r *bufio.Reader, h Handler) {
	var scratch []byte
	for {
		m, buf, err := ReadFrame(r, scratch)
		if err != nil {
			c.failed(err)
			return
		}
		scratch = keep(buf)
		c.lastRead.Store(c.clock.Now().UnixNano())
		c.askedAt.Store(0)
		c.noteUse(m)
		switch m := m.(type) {
		case *Pong:
			c.heard.Store(int64(m.Config))
			h.Handle(c, m)
		case *Ping:
			c.heard.Store(int64(m.Config))
			h.Handle(c, m)
			_ = c.Send(&Pong{
				Seq:    m.Seq,
				Config: c.config(),
			})
		default:
			h.Handle(c, m)
		}
	}
}

// write sends what is queued, everything that came together in one call.
func (c *Conn) write() {
	var spare []byte
	for {
		c.mu.Lock()
		for len(c.out) == 0 && c.err == nil {
			c.ready.Wait()
		}
		if c.err != nil {
			c.mu.Unlock()
			return
		}
		batch := c.out
		c.out = spare[:0]
		c.mu.Unlock()
		if _, err := c.nc.Write(batch); err != nil {
			c.failed(err)
			return
		}
		spare = keep(batch)
	}
}

// keep returns a buffer that is to be used again, or nil if it is too large for that.
func keep(buf []byte) []byte {
	if cap(buf) > keepBuffer {
		return nil
	}
	return buf
}

func (c *Conn) schedulePing() {
	wait := c.interval()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.pingWait = wait
		c.ping = c.clock.AfterFunc(wait, c.heartbeat)
	}
}

func (c *Conn) heartbeat() {
	if c.silent() {
		c.failed(ErrSilent)
		return
	}
	if c.dialed {
		c.askedAt.CompareAndSwap(0, c.clock.Now().UnixNano())
		c.seq++
		_ = c.Send(&Ping{
			Seq:    c.seq,
			Config: c.config(),
		})
	}
	c.schedulePing()
}

// silent reports whether the other side is taken to be gone: a heartbeat has no
// answer, or, on the side that answers, none came for long.
func (c *Conn) silent() bool {
	now := c.clock.Now()
	if !c.dialed {
		return now.Sub(time.Unix(0, c.lastRead.Load())) > strangeLimit
	}
	asked := c.askedAt.Load()
	return asked != 0 && now.Sub(time.Unix(0, asked)) > answerLimit
}

// Window is how far beyond the bytes that it passed on an entry gives credit.
const Window = 256 << 10
