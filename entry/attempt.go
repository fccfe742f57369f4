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
		creditLimit: peer.CreditWindow,
		wake:        make(chan struct{}, 1),
	}
}

// newFollowingAttempt returns an attempt that receives the response to an attempt that
// another request with the same idempotency key started. It must be added to its link
// before it attaches, so that no message is missed.
func newFollowingAttempt(end *peer.End, l *link, conn *peer.Conn) *attempt {
	a := newAttempt(end.FirstAttempt, l, conn)
	a.process = end.FirstProcess
	a.following = true
	return a
}

// attach requests the response of the followed attempt.
func (a *attempt) attach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.sendAttach()
	}
}

// signal wakes the request's goroutine. The caller must hold a.mu.
func (a *attempt) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *attempt) onHead(m *peer.Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.head == nil {
		a.head = m
		a.signal()
	}
}

// onChunk appends the next bytes of the response. Bytes that were received before, as
// may happen after a reconnect, are dropped. So is a chunk that leaves a gap, which only
// a faulty peer sends.
func (a *attempt) onChunk(m *peer.Chunk) {
	a.mu.Lock()
	defer a.mu.Unlock()
	skip := a.received - m.Offset
	if skip < 0 || skip >= int64(len(m.Data)) || a.end != nil {
		return
	}
	data := m.Data[skip:]
	a.buf = append(a.buf, data...)
	a.received += int64(len(data))
	a.signal()
}

func (a *attempt) onEnd(m *peer.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil {
		return
	}
	a.end = m
	a.signal()
}

// connectionLost records that the connection is lost. The outcome of the attempt is still
// open.
func (a *attempt) connectionLost() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end == nil && !a.lost {
		a.lost = true
		a.lostAt = a.clock.Now()
		a.conn = nil
		a.signal()
	}
}

// reattach resumes the attempt on a new connection. If the agent is another process than
// the one that received the attempt, it doesn't know the attempt, and the outcome is
// unknown.
func (a *attempt) reattach(c *peer.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil {
		return
	}
	if c.Peer().Process != a.process {
		a.end = &peer.End{
			Attempt: a.id,
			Outcome: wardturn.Uncertain(wardturn.ReasonAgentRestarted),
		}
		a.signal()
		return
	}
	a.lost = false
	a.conn = c
	a.creditLimit = a.consumed + peer.CreditWindow
	a.sendAttach()
}

// sendAttach sends an Attach message. The caller must hold a.mu.
func (a *attempt) sendAttach() {
	_ = a.conn.Send(&peer.Attach{
		Attempt: a.id,
		Process: a.process,
		Follow:  a.following,
		From:    a.received,
		Credit:  a.creditLimit,
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
func (a *attempt) takeState(spare []byte) attemptState {
	a.mu.Lock()
	defer a.mu.Unlock()
	st := attemptState{
		head:      a.head,
		end:       a.end,
		data:      a.buf,
		lost:      a.lost,
		lostSince: a.lostAt,
	}
	a.buf = spare[:0]
	a.consumed += int64(len(st.data))
	st.complete = a.end != nil && a.end.Outcome.Kind == wardturn.Done && a.received == a.end.Length
	return st
}

// grantCredit grants the agent a full credit window once at least half of the window has
// been used.
func (a *attempt) grantCredit() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.creditLimit-a.consumed > peer.CreditWindow/2 || a.conn == nil {
		return
	}
	a.creditLimit = a.consumed + peer.CreditWindow
	_ = a.conn.Send(&peer.Credit{
		Attempt: a.id,
		Upto:    a.creditLimit,
	})
}

// cancel tells the agent that the response is no longer needed. It does nothing for a
// followed attempt, which belongs to another request.
func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end == nil && a.conn != nil && !a.following {
		_ = a.conn.Send(&peer.Cancel{
			Attempt: a.id,
		})
	}
}
