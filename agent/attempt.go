package agent

import (
	"context"
	"time"

	"wardturn"
	"wardturn/control"
	"wardturn/peer"
)

// attempt is one attempt that this agent runs, has queued, or ended a while
// ago. The agent's lock guards it.
type attempt struct {
	id         wardturn.AttemptID
	req        wardturn.Request
	supersedes wardturn.AttemptID // known not to have run, for the same key
	newest     bool               // asked for the version in force
	config     wardturn.Offset    // by which its entry found that version
	replaced   wardturn.Offset    // configuration by which another version is in force
	conn       *peer.Conn         // that gets the answer; nil while the entry is away
	credit     int64              // offset up to which the entry takes bytes
	sent       int64              // offset up to which bytes went to conn
	base       int64              // offset of buf
	buf        []byte
	head       *peer.Head
	headSent   bool
	arrived    time.Time
	stalled    time.Duration
	withdrawn  bool // nobody waits for it
	ended      bool
	outcome    wardturn.Outcome
	first      control.ClaimResult // of the key, if another attempt was first
	cancel     context.CancelFunc  // of the running request
	space      chan struct{}       // closed when buf has room again; nil if it has
	orphan     wardturn.Timer      // ends an attempt without an entry
	endedAt    time.Time
	follow     []*attempt // copies that send the answer to other requests
}

func (t *attempt) end() int64 {
	return t.base + int64(len(t.buf))
}

// attach directs the answer to a connection, from an offset on.
func (t *attempt) attach(c *peer.Conn, from, credit int64) {
	t.conn = c
	t.headSent = false
	t.sent = from
	t.credit = credit
	if t.orphan != nil {
		t.orphan.Stop()
		t.orphan = nil
	}
}

// maxChunk bounds the bytes in one message, so that attempts share the
// connection evenly.
const maxChunk = 32 << 10

// flush sends what the credit allows, and the end once everything was sent.
func (a *Agent) flush(t *attempt) {
	if t.conn == nil {
		return
	}
	if t.head != nil && !t.headSent {
		t.headSent = true
		a.send(t, t.head)
	}
	for t.conn != nil && t.sent < min(t.end(), t.credit) {
		from := t.sent - t.base
		n := min(int64(maxChunk), t.end()-t.sent, t.credit-t.sent)
		a.send(t, &peer.Chunk{
			Attempt: t.id,
			Offset:  t.sent,
			Data:    t.buf[from : from+n],
		})
		t.sent += n
	}
	if t.ended && t.conn != nil && (t.sent == t.end() || t.outcome.Kind != wardturn.Done) {
		a.sendEnd(t)
	}
}

func (a *Agent) send(t *attempt, m peer.Message) {
	if err := t.conn.Send(m); err == nil {
		return
	}
	t.conn = nil // Closed, which comes later, does not find the attempt
	if !t.ended {
		a.expectBack(t)
	}
}

func (a *Agent) sendEnd(t *attempt) {
	a.send(t, &peer.End{
		Attempt:       t.id,
		Outcome:       t.outcome,
		Length:        t.end(),
		Hint:          a.core.Hint(),
		Config:        t.replaced,
		FirstAttempt:  t.first.Claim.Attempt,
		FirstUpstream: t.first.Upstream,
		FirstProcess:  t.first.Process,
	})
	t.conn = nil
}

// emit takes a piece of an answer from the upstream. It blocks while the entry
// takes nothing and the buffer is full.
func (a *Agent) emit(ctx context.Context, t *attempt, data []byte) error {
	for {
		space := a.tryEmit(t, data)
		if space == nil {
			return nil
		}
		select {
		case <-space:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryEmit appends data, or returns a channel that is closed when there is room.
func (a *Agent) tryEmit(t *attempt, data []byte) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.ended {
		return nil // canceled meanwhile
	}
	if len(t.buf) > 0 && len(t.buf)+len(data) > a.cfg.ResponseBuffer {
		a.trim(t)
	}
	if len(t.buf) > 0 && len(t.buf)+len(data) > a.cfg.ResponseBuffer {
		t.space = make(chan struct{})
		return t.space
	}
	t.buf = append(t.buf, data...)
	a.flush(t)
	return nil
}

// keep remembers an ended answer for a lost entry, within the bytes that all of
// them may take. An answer dropped for others is unknown to whoever asks again.
func (a *Agent) keep(t *attempt) {
	a.past = append(a.past, t)
	a.kept += len(t.buf)
	for a.kept > a.cfg.KeepBytes && len(a.past) > 1 {
		a.dropOldest()
	}
}

func (a *Agent) dropOldest() {
	t := a.past[0]
	a.past[0] = nil
	a.past = a.past[1:]
	a.kept -= len(t.buf)
	if t.conn == nil {
		t.base = t.end()
		t.buf = nil
	}
}

// trim drops the bytes that the entry has passed on: all but the last window
// before its credit.
func (a *Agent) trim(t *attempt) {
	passed := min(t.credit-peer.CreditWindow, t.sent)
	if n := passed - t.base; n > 0 {
		t.buf = append(t.buf[:0], t.buf[n:]...)
		t.base = passed
	}
}

// listener returns the attempt, or the copy of it, whose answer goes to a
// connection.
func (a *Agent) listener(c *peer.Conn, id wardturn.AttemptID) *attempt {
	t := a.attempts[id]
	if t == nil || t.conn == c {
		return t
	}
	for _, f := range t.follow {
		if f.conn == c {
			return f
		}
	}
	return nil
}

// onCredit lets an answer go on.
func (a *Agent) onCredit(c *peer.Conn, m *peer.Credit) {
	t := a.listener(c, m.Attempt)
	if t == nil || m.Upto <= t.credit {
		return
	}
	t.credit = m.Upto
	a.flush(t)
	if t.space != nil {
		close(t.space)
		t.space = nil
	}
}
