package entry

import (
	"sync"
	"time"

	"wardturn"
	"wardturn/peer"
)

// attempt is a request sent to an upstream's agent, with the part of the response that has
// been received so far.
type attempt struct {
	id    wardturn.AttemptID
	link  *link
	clock wardturn.Clock

	mu          sync.Mutex
	conn        *peer.Conn
	process     wardturn.Incarnation // agent process that the attempt was sent to
	following   bool                 // the attempt was started by another request
	head        *peer.Head
	end         *peer.End
	buf         []byte // received but not yet read
	received    int64  // bytes received
	consumed    int64  // bytes read
	creditLimit int64  // offset up to which the agent may send
	lost        bool   // the connection is lost
	lostAt      time.Time
	wake        chan struct{}
}

func newAttempt(id wardturn.AttemptID, l *link, conn *peer.Conn) *attempt {
	return &attempt{
		id:          id,
		link:        l,
		clock:       l.entry.clock,
		conn:        conn,
		process:     conn.Peer().Process,
		creditLimit: peer.Window,
		wake:        make(chan struct{}, 1),
	}
}

// newFollowingAttempt returns an attempt that receives the response to an attempt that
// another request with the same idempotency key started. It must be added to its link
// before it attaches, so that no message is missed.
func newFollowingAttempt(end *peer.End, l *link, conn *peer.Conn) *attempt {
	k := newAttempt(end.First, l, conn)
	k.process = end.FirstProcess
	k.following = true
	return k
}

// attach requests the response of the followed attempt.
func (k *attempt) attach() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn != nil {
		k.sendAttach()
	}
}

// signal wakes the request's goroutine. The caller must hold a.mu.
func (k *attempt) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *attempt) onHead(m *peer.Head) {
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
func (k *attempt) onChunk(m *peer.Chunk) {
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

func (k *attempt) onEnd(m *peer.End) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.end != nil {
		return
	}
	k.end = m
	k.signal()
}

// connectionLost records that the connection is lost. The outcome of the attempt is still
// open.
func (k *attempt) connectionLost() {
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
func (k *attempt) reattach(c *peer.Conn) {
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
	k.creditLimit = k.consumed + peer.Window
	k.sendAttach()
}

// sendAttach sends an Attach message. The caller must hold a.mu.
func (k *attempt) sendAttach() {
	_ = k.conn.Send(&peer.Attach{
		Attempt: k.id,
		Process: k.process,
		Follow:  k.following,
		From:    k.received,
		Credit:  k.creditLimit,
	})
}

// attemptState is a copy of an attempt's state for the request's goroutine.
type attemptState struct {
	head      *peer.Head
	end       *peer.End
	data      []byte // owned by the receiver of the copy
	complete  bool   // the response is complete and has been read to the end
	lost      bool
	lostSince time.Time // when the connection was lost
}

// takeState returns the current state with the data that arrived since the previous call.
// It reuses spare as the buffer for further data.
func (k *attempt) takeState(spare []byte) attemptState {
	k.mu.Lock()
	defer k.mu.Unlock()
	st := attemptState{
		head:      k.head,
		end:       k.end,
		data:      k.buf,
		lost:      k.lost,
		lostSince: k.lostAt,
	}
	k.buf = spare[:0]
	k.consumed += int64(len(st.data))
	st.complete = k.end != nil && k.end.Outcome.Kind == wardturn.Done && k.received == k.end.Length
	return st
}

// grantCredit grants the agent a full credit window once at least half of the window has
// been used.
func (k *attempt) grantCredit() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.creditLimit-k.consumed > peer.Window/2 || k.conn == nil {
		return
	}
	k.creditLimit = k.consumed + peer.Window
	_ = k.conn.Send(&peer.Credit{
		Attempt: k.id,
		Upto:    k.creditLimit,
	})
}

// cancel tells the agent that the response is no longer needed. It does nothing for a
// followed attempt, which belongs to another request.
func (k *attempt) cancel() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.end == nil && k.conn != nil && !k.following {
		_ = k.conn.Send(&peer.Cancel{
			Attempt: k.id,
		})
	}
}
