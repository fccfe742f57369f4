package peer

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn"
	"wardturn/process"
)

// The buffer sizes and timeouts of a connection.
const (
	maxSendBuffer      = 32 << 20         // bytes queued to be sent
	activePingInterval = time.Second      // heartbeat interval of a connection in use
	recentPingInterval = 4 * time.Second  // of a connection that was used within idleAfter
	idlePingInterval   = 10 * time.Second // of a connection that was not
	pongTimeout        = 4 * time.Second  // for the reply to a heartbeat
	receiveTimeout     = 60 * time.Second // without a message, on the side that receives heartbeats
	activeAfterUse     = 2 * time.Second  // how long a connection counts as in use after a message
	idleAfter          = 30 * time.Second
	helloTimeout       = 3 * time.Second
	// readBufferSize is the size of the read buffer. It holds several typical messages;
	// larger reads bypass it. A process may have thousands of connections, each with
	// its own buffers.
	readBufferSize = 2 << 10
	// maxReusedBuffer is the capacity up to which a buffer is reused for the next message.
	maxReusedBuffer = 8 << 10
)

var (
	// ErrClosed is returned by Send on a connection that has ended.
	ErrClosed = errors.New("peer: connection closed")
	// ErrProtocol is returned if a peer does not speak this version of the protocol.
	ErrProtocol = errors.New("peer: protocol violation")
	// ErrSlowPeer closes a connection whose peer reads too slowly.
	ErrSlowPeer = errors.New("peer: send buffer full")
	// ErrHeartbeatTimeout closes a connection after a heartbeat timeout.
	ErrHeartbeatTimeout = errors.New("peer: heartbeat timeout")
)

// Handler receives the messages of a connection. Handle is called from the
// connection's read goroutine, one message at a time, and must not block.
type Handler interface {
	Handle(c *Conn, m Message)
	// Closed is called once, after the last Handle.
	Closed(c *Conn, err error)
}

// AcceptErrorHandler is a Handler that is told when its server can't accept connections, for instance
// because too many files are open: once for several failures in a row. The server goes on.
type AcceptErrorHandler interface {
	AcceptFailed(err error)
}

// ActivityReporter is a Handler that knows whether work is in progress on its connection.
// Heartbeats are more frequent then, so that a loss is detected sooner.
type ActivityReporter interface {
	Busy() bool
}

// Conn is an established connection: both sides have exchanged Hello.
type Conn struct {
	nc        net.Conn
	clock     wardturn.Clock
	peerHello Hello
	features  Features // of the peer
	config    func() wardturn.Offset

	mu         sync.Mutex
	writable   *sync.Cond // sendBuf is not empty, or the connection has ended
	sendBuf    []byte
	err        error
	pingTimer  wardturn.Timer
	pingDelay  time.Duration    // duration of the current timer
	lastRead   atomic.Int64     // clock time in nanoseconds
	lastUse    atomic.Int64     // clock time of the last message other than a heartbeat
	activity   ActivityReporter // nil if the handler doesn't implement it
	dialed     bool             // this side sends the pings, the other replies
	pingSentAt atomic.Int64     // clock time of the oldest ping without a reply; zero: none
	seq        uint64
	peerConfig atomic.Int64 // latest configuration applied by the peer
	frames     frameReader  // used by a single goroutine
	sendHeld   int64        // of the budget, for sendBuf
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
		Host:     hostField(id.Host, ownFeatures),
		Upstream: id.Upstream,
		Config:   id.Config(),
	}
}

// establish exchanges Hello on a new connection.
func establish(nc net.Conn, clock wardturn.Clock, id Identity, limits Limits) (*Conn, error) {
	timer := clock.AfterFunc(helloTimeout, func() {
		nc.Close()
	})
	defer timer.Stop()
	frame, err := AppendFrame(nil, id.hello())
	if err != nil {
		return nil, err
	}
	if _, err := nc.Write(frame); err != nil {
		return nil, errors.Wrap(err, "peer: hello")
	}
	frames := frameReader{
		r:      bufio.NewReaderSize(nc, readBufferSize),
		nc:     nc,
		budget: limits.Messages,
	}
	m, err := frames.next(maxHello)
	if err != nil {
		return nil, errors.Wrap(err, "peer: hello")
	}
	hello, ok := m.(*Hello)
	if !ok || hello.Protocol != Protocol {
		return nil, errors.Wrap(ErrProtocol, "hello")
	}
	c := &Conn{
		nc:        nc,
		clock:     clock,
		peerHello: *hello,
		config:    id.Config,
		frames:    frames,
	}
	c.peerHello.Host, c.features = splitHostField(hello.Host)
	c.writable = sync.NewCond(&c.mu)
	c.peerConfig.Store(int64(hello.Config))
	c.lastRead.Store(clock.Now().UnixNano())
	return c, nil
}

// Peer returns the peer's Hello. Its Host is the host name alone.
func (c *Conn) Peer() Hello {
	return c.peerHello
}

// Understands reports whether the peer understands the messages of a feature.
func (c *Conn) Understands(f Features) bool {
	return c.features.Has(f)
}

// Config returns the latest configuration that the peer is known to have applied.
func (c *Conn) Config() wardturn.Offset {
	return wardturn.Offset(c.peerConfig.Load())
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
	if len(c.sendBuf) > maxSendBuffer {
		c.failLocked(ErrSlowPeer)
		return ErrClosed
	}
	empty := len(c.sendBuf) == 0
	out, err := AppendFrame(c.sendBuf, m)
	if err != nil {
		return err
	}
	if !c.reserveSend(len(out)) {
		c.failLocked(ErrSlowPeer)
		return ErrClosed
	}
	c.recordUse(m)
	c.advancePing(m)
	c.sendBuf = out
	if empty {
		c.writable.Signal()
	}
	return nil
}

// recordUse records the time of a message other than a heartbeat. The loss of a
// connection in use must be detected soon, while thousands of idle connections must
// have little overhead.
func (c *Conn) recordUse(m Message) {
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

// advancePing moves the next heartbeat forward when an idle connection is used again. The
// lock is held.
func (c *Conn) advancePing(m Message) {
	if !c.dialed || c.pingTimer == nil || c.pingDelay <= activePingInterval || isHeartbeat(m) {
		return
	}
	if c.pingTimer.Stop() {
		c.pingDelay = activePingInterval
		c.pingTimer = c.clock.AfterFunc(activePingInterval, c.heartbeat)
	}
}

// pingInterval returns the current heartbeat interval.
func (c *Conn) pingInterval() time.Duration {
	if c.activity != nil && c.activity.Busy() {
		return activePingInterval
	}
	idleFor := c.clock.Now().Sub(time.Unix(0, c.lastUse.Load()))
	switch {
	case idleFor < activeAfterUse:
		return activePingInterval
	case idleFor < idleAfter:
		return recentPingInterval
	}
	return idlePingInterval
}

// Close closes the connection.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failLocked(ErrClosed)
}

// failLocked closes the connection and records its first error. The lock is held.
func (c *Conn) failLocked(err error) {
	if c.err != nil {
		return
	}
	c.err = err
	if c.pingTimer != nil {
		c.pingTimer.Stop()
	}
	c.nc.Close()
	c.writable.Broadcast()
}

func (c *Conn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failLocked(err)
}

// run serves the connection until it ends.
func (c *Conn) run(h Handler) {
	c.activity, _ = h.(ActivityReporter)
	c.schedulePing()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.write()
	}()
	c.read(h)
	<-done
	c.frames.release()
	c.mu.Lock()
	err := c.err
	c.mu.Unlock()
	h.Closed(c, err)
}

func (c *Conn) read(h Handler) {
	for first := true; ; first = false {
		m, err := c.frames.next(MaxFrame)
		if err == nil && first && !process.KeepOpen(c.nc) {
			err = ErrClosed
		}
		if err != nil {
			c.fail(err)
			return
		}
		c.lastRead.Store(c.clock.Now().UnixNano())
		c.pingSentAt.Store(0)
		c.recordUse(m)
		switch m := m.(type) {
		case *Pong:
			c.peerConfig.Store(int64(m.Config))
			h.Handle(c, m)
		case *Ping:
			c.peerConfig.Store(int64(m.Config))
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
		for len(c.sendBuf) == 0 && c.err == nil {
			c.writable.Wait()
		}
		if c.err != nil {
			c.sendBuf = nil
			c.releaseSend(c.sendHeld)
			c.mu.Unlock()
			return
		}
		batch, held := c.sendBuf, c.sendHeld
		c.sendBuf, c.sendHeld = spare[:0], 0
		c.mu.Unlock()
		_, err := c.nc.Write(batch)
		c.releaseSend(held)
		if err != nil {
			c.fail(err)
			continue
		}
		spare = reusable(batch)
	}
}

// reusable returns buf for reuse, or nil if it is too large.
func reusable(buf []byte) []byte {
	if cap(buf) > maxReusedBuffer {
		return nil
	}
	return buf
}

func (c *Conn) schedulePing() {
	delay := c.pingInterval()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.pingDelay = delay
		c.pingTimer = c.clock.AfterFunc(delay, c.heartbeat)
	}
}

func (c *Conn) heartbeat() {
	if c.timedOut() {
		c.fail(ErrHeartbeatTimeout)
		return
	}
	if c.dialed {
		c.pingSentAt.CompareAndSwap(0, c.clock.Now().UnixNano())
		c.seq++
		_ = c.Send(&Ping{
			Seq:    c.seq,
			Config: c.config(),
		})
	}
	c.schedulePing()
}

// timedOut reports whether the heartbeat timeout has expired: a ping has had no reply
// for too long or, on the side that replies, nothing was received for too long.
func (c *Conn) timedOut() bool {
	now := c.clock.Now()
	if !c.dialed {
		return now.Sub(time.Unix(0, c.lastRead.Load())) > receiveTimeout
	}
	sentAt := c.pingSentAt.Load()
	return sentAt != 0 && now.Sub(time.Unix(0, sentAt)) > pongTimeout
}

// CreditWindow is the flow-control window: an entry grants credit for this many bytes beyond
// those that it has forwarded.
const CreditWindow = 256 << 10
