package entry

import (
	"sync"
	"time"

	"wardturn"
	"wardturn/peer"
)

// call is one attempt at one agent, as the entry follows it.
type call struct {
	id    wardturn.AttemptID
	link  *link
	clock wardturn.Clock

	mu       sync.Mutex
	conn     *peer.Conn
	process  wardturn.Incarnation // of the agent that the attempt was sent to
	follows  bool                 // the attempt belongs to another request
	head     *peer.Head
	end      *peer.End
	buf      []byte // received and not yet taken
	received int64
	taken    int64
	granted  int64 // credit given
	lost     bool  // the connection is lost
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
		granted: peer.CreditWindow,
		wake:    make(chan struct{}, 1),
	}
}

// newFollower returns a call that asks for the answer of an attempt of another
// request. Add it to its link before ask.
func newFollower(end *peer.End, l *link, conn *peer.Conn) *call {
	k := newCall(end.FirstAttempt, l, conn)
	k.process = end.FirstProcess
	k.follows = true
	return k
}

// ask asks for the answer of a followed attempt.
func (k *call) ask() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn != nil {
		k.askAgain()
	}
}

// signal wakes the request's goroutine; the lock is held.
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

// onChunk takes the next bytes of the answer. Pieces that were received before,
// as after a new connection, are dropped; a gap can only mean a broken peer.
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

// lose records that the connection is lost. That is no outcome.
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

// reattach asks for the attempt on a new connection. Another process has not
// seen it; what the earlier one did is unknown.
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
	k.granted = k.taken + peer.CreditWindow
	k.askAgain()
}

// askAgain sends Attach; the lock is held.
func (k *call) askAgain() {
	_ = k.conn.Send(&peer.Attach{
		Attempt: k.id,
		Process: k.process,
		Follow:  k.follows,
		From:    k.received,
		Credit:  k.granted,
	})
}

// state is a copy of what a request's goroutine needs to decide.
type state struct {
	head  *peer.Head
	end   *peer.End
	data  []byte // owned by the caller of take
	whole bool   // the answer is complete and all of it was taken
	lost  bool
	since time.Time // of the loss
}

// take returns what arrived since the last call, and gives new credit for it.
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

// credit lets the agent send on once half a window was passed on.
func (k *call) credit() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.granted-k.taken > peer.CreditWindow/2 || k.conn == nil {
		return
	}
	k.granted = k.taken + peer.CreditWindow
	_ = k.conn.Send(&peer.Credit{
		Attempt: k.id,
		Upto:    k.granted,
	})
}

// cancel tells the agent that nobody waits any more.
func (k *call) cancel() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.end == nil && k.conn != nil && !k.follows {
		_ = k.conn.Send(&peer.Cancel{
			Attempt: k.id,
		})
	}
}
