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

// The buffer sizes and timeouts of a connection.
const (
	maxBuffered  = 32 << 20         // bytes queued to be sent
	busyPing     = time.Second      // heartbeat interval of a connection in use
	idlePing     = 4 * time.Second  // of a connection that was used within restAfter
	restPing     = 10 * time.Second // of a connection that was not
	answerLimit  = 4 * time.Second  // for the reply to a heartbeat
	strangeLimit = 60 * time.Second // without a message, on the side that receives heartbeats
	recentUse    = 2 * time.Second  // after the last message the connection still counts as in use
	restAfter    = 30 * time.Second
	helloLimit   = 3 * time.Second
	// readBuffer is the size of the read buffer. It holds several typical messages;
	// larger reads bypass it. A process may have thousands of connections, each with
	// its own buffers.
	readBuffer = 2 << 10
	// keepBuffer is the capacity up to which a buffer is reused for the next message.
	keepBuffer = 8 << 10
)

var (
	// ErrClosed is returned by Send on a connection that has ended.
	ErrClosed = errors.New("peer: connection closed")
	// ErrProtocol is returned if a peer does not speak this version of the protocol.
	ErrProtocol = errors.New("peer: protocol violation")
	// ErrSlowPeer closes a connection whose peer reads too slowly.
	ErrSlowPeer = errors.New("peer: send buffer full")
	// ErrSilent closes a connection after a heartbeat timeout.
	ErrSilent = errors.New("peer: heartbeat timeout")
)

// Handler receives the messages of a connection. Handle is called from the
// connection's read goroutine, one message at a time, and must not block.
type Handler interface {
	Handle(c *Conn, m Message)
	// Closed is called once, after the last Handle.
	Closed(c *Conn, err error)
}

// Busier is a Handler that knows whether work is in progress on its connection.
// Heartbeats are more frequent then, so that a loss is detected sooner.
type Busier interface {
	Busy() bool
}

// Conn is an established connection: both sides have exchanged Hello.
type Conn struct {
	nc     net.Conn
	clock  wardturn.Clock
	peer   Hello
	config func() wardturn.Offset

	mu       sync.Mutex
	ready    *sync.Cond // out is not empty, or the connection has ended
	out      []byte
	err      error
	ping     wardturn.Timer
	pingWait time.Duration // duration of the current timer
	lastRead atomic.Int64  // clock time in nanoseconds
	lastUse  atomic.Int64  // clock time of the last message other than a heartbeat
	busier   Busier        // nil if the handler doesn't implement it
	dialed   bool          // this side sends the pings, the other replies
	askedAt  atomic.Int64  // clock time of the oldest ping without a reply; zero: none
	seq      uint64
	heard    atomic.Int64 // latest configuration applied by the peer
}

// Identity identifies a process in its Hello.
type Identity struct {
	Role     Role
	Process  wardturn.Incarnation
	Host     string // host name; may be empty
	Upstream wardturn.UpstreamID
	// Config returns the latest configuration applied.
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

// Peer returns the peer's Hello.
func (c *Conn) Peer() Hello {
	return c.peer
}

// Config returns the latest configuration that the peer is known to have applied.
func (c *Conn) Config() wardturn.Offset {
	return wardturn.Offset(c.heard.Load())
}

// Send queues a message. It does not block: if the peer reads too slowly, the
// connection is closed. An error means that the message was not queued; nil does not
// mean that it will arrive.
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

// noteUse records the time of a message other than a heartbeat. The loss of a
// connection in use must be detected soon, while thousands of idle connections must
// have little overhead.
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

// hurry moves the next heartbeat forward when an idle connection is used again. The
// lock is held.
func (c *Conn) hurry(m Message) {
	if !c.dialed || c.ping == nil || c.pingWait <= busyPing || isHeartbeat(m) {
		return
	}
	if c.ping.Stop() {
		c.pingWait = busyPing
		c.ping = c.clock.AfterFunc(busyPing, c.heartbeat)
	}
}

// interval returns the current heartbeat interval.
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

// Close closes the connection.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(ErrClosed)
}

// fail closes the connection and records its first error. The lock is held.
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

// write sends the queued messages. All that are queued at a time are written in one
// call.
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

// keep returns buf for reuse, or nil if it is too large.
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

// silent reports whether the heartbeat timeout has expired: a ping has had no reply
// for too long or, on the side that replies, nothing was received for too long.
func (c *Conn) silent() bool {
	now := c.clock.Now()
	if !c.dialed {
		return now.Sub(time.Unix(0, c.lastRead.Load())) > strangeLimit
	}
	asked := c.askedAt.Load()
	return asked != 0 && now.Sub(time.Unix(0, asked)) > answerLimit
}

// Window is the flow-control window: an entry grants credit for this many bytes beyond
// those that it has forwarded.
const Window = 256 << 10
