package entry

import (
	"sync"
	"time"

	"wardturn"
	"wardturn/peer"
)

// call is an attempt to run a request on an upstream, with the part of the response that
// its agent has sent so far.
type call struct {
	id    wardturn.AttemptID
	link  *link
	clock wardturn.Clock

	mu       sync.Mutex
	conn     *peer.Conn
	process  wardturn.Incarnation // agent process that the attempt was sent to
	follows  bool                 // the attempt was started by another request
	head     *peer.Head
	end      *peer.End
	buf      []byte // received but not yet read
	received int64  // bytes received
	taken    int64  // bytes read
	granted  int64  // offset up to which the agent may send
	lost     bool   // the connection is lost
	lostAt   time.Time
	wake     chan struct{}
}

func newCall(id wardturn.AttemptID, l *link, conn *peer.Conn) *call {
	return &call{
		id:      id,
		link:    l,
		clock:   l.entry.clock,
		conn:    conn,
		process: conn.Peer().Process,
		granted: peer.Window,
		wake:    make(chan struct{}, 1),
	}
}

// newFollower returns a call that receives the response of an attempt that another
// request with the same idempotency key started. It must be added to its link before it
// attaches, so that no message is missed.
func newFollower(end *peer.End, l *link, conn *peer.Conn) *call {
	k := newCall(end.First, l, conn)
	k.process = end.FirstProcess
	k.follows = true
	return k
}

// ask attaches to a followed attempt.
func (k *call) ask() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn != nil {
		k.askAgain()
	}
}

// signal wakes the request's goroutine. The caller must hold k.mu.
func (k *call) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *call) onHead(m *peer.Head) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.head == nil {
		k.head = m
		k.signal()
	}
}

// onChunk appends the next bytes of the response. Bytes that were received before, as
// may happen after a reconnect, are dropped. So is a chunk that leaves a gap, which only
// a faulty peer sends.
func (k *call) onChunk(m *peer.Chunk) {
	k.mu.Lock()
	defer k.mu.Unlock()
	skip := k.received - m.Offset
	if skip < 0 || skip >= int64(len(m.Data)) || k.end != nil {
		return
	}
	data := m.Data[skip:]
	k.buf = append(k.buf, data...)
	k.received += int64(len(data))
	k.signal()
}

func (k *call) onEnd(m *peer.End) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.end != nil {
		return
	}
	k.end = m
	k.signal()
}

// lose records that the connection is lost. The outcome of the attempt is still open.
func (k *call) lose() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.end == nil && !k.lost {
		k.lost = true
		k.lostAt = k.clock.Now()
		k.conn = nil
		k.signal()
	}
}

// reattach resumes the attempt on a new connection. If the agent is another process than
// the one that received the attempt, it doesn't know the attempt, and the outcome is
// unknown.
func (k *call) reattach(c *peer.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.end != nil {
		return
	}
	if c.Peer().Process != k.process {
		k.end = &peer.End{
			Attempt: k.id,
			Outcome: wardturn.Uncertain(wardturn.ReasonAgentRestarted),
		}
		k.signal()
		return
	}
	k.lost = false
	k.conn = c
	k.granted = k.taken + peer.Window
	k.askAgain()
}

// askAgain sends an Attach message. The caller must hold k.mu.
func (k *call) askAgain() {
	_ = k.conn.Send(&peer.Attach{
		Attempt: k.id,
		Process: k.process,
		Follow:  k.follows,
		From:    k.received,
		Credit:  k.granted,
	})
}

// state is a copy of a call's state for the request's goroutine.
type state struct {
	head  *peer.Head
	end   *peer.End
	data  []byte // owned by the receiver of the copy
	whole bool   // the response is complete and has been read to the end
	lost  bool
	since time.Time // when the connection was lost
}

// take returns the current state with the data that arrived since the previous call. It
// reuses spare as the buffer for further data.
func (k *call) take(spare []byte) state {
	k.mu.Lock()
	defer k.mu.Unlock()
	st := state{
		head:  k.head,
		end:   k.end,
		data:  k.buf,
		lost:  k.lost,
		since: k.lostAt,
	}
	k.buf = spare[:0]
	k.taken += int64(len(st.data))
	st.whole = k.end != nil && k.end.Outcome.Kind == wardturn.Done && k.received == k.end.Length
	return st
}

// credit grants the agent a full credit window once at least half of the window has been
// used.
func (k *call) credit() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.granted-k.taken > peer.Window/2 || k.conn == nil {
		return
	}
	k.granted = k.taken + peer.Window
	_ = k.conn.Send(&peer.Credit{
		Attempt: k.id,
		Upto:    k.granted,
	})
}

// cancel tells the agent that the response is no longer needed. It does nothing for a
// followed attempt, which belongs to another request.
func (k *call) cancel() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.end == nil && k.conn != nil && !k.follows {
		_ = k.conn.Send(&peer.Cancel{
			Attempt: k.id,
		})
	}
}
