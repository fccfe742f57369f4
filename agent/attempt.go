package agent

import (
	"context"
	"time"

	"wardturn"
	"wardturn/control"
	"wardturn/peer"
)

// attempt is an attempt that is queued, running, or has ended but is still
// remembered. It is guarded by Agent.mu.
type attempt struct {
	id           wardturn.AttemptID
	req          wardturn.Request
	supersedes   wardturn.AttemptID // attempt with the same key that did not run
	wantsNewest  bool               // requested the current adapter version
	config       wardturn.Offset    // configuration in which its entry found that version
	replacedBy   wardturn.Offset    // configuration that replaced the version
	conn         *peer.Conn         // of the entry; nil while it is disconnected
	credit       int64              // offset up to which the entry accepts bytes
	sent         int64              // offset up to which bytes were sent to conn
	base         int64              // offset of the first byte of buf
	buf          []byte
	head         *peer.Head
	headSent     bool
	arrived      time.Time
	adapterWait  time.Duration
	canceled     bool // by its entry or the orphan timer
	ended        bool
	outcome      wardturn.Outcome
	earlierClaim control.ClaimResult // the earlier claim of the key by another attempt
	cancel       context.CancelFunc  // cancels the running request
	spaceFreed   chan struct{}       // closed when buf has room; nil if nobody waits
	orphanTimer  wardturn.Timer      // cancels the attempt if no entry attaches
	endedAt      time.Time
	copies       []*attempt // copies that send the response to other requests
}

func (t *attempt) end() int64 {
	return t.base + int64(len(t.buf))
}

// attach sends the response to a connection, starting at offset from.
func (t *attempt) attach(c *peer.Conn, from, credit int64) {
	t.conn = c
	t.headSent = false
	t.sent = from
	t.credit = credit
	if t.orphanTimer != nil {
		t.orphanTimer.Stop()
		t.orphanTimer = nil
	}
}

// maxChunk limits the bytes of a response in one message, so that the attempts on a
// connection share it evenly.
const maxChunk = 32 << 10

// flush sends the buffered bytes that the credit allows, and the end once everything has
// been sent. a.mu is held.
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
	t.conn = nil // so the later call of Closed does not find the attempt
	if !t.ended {
		a.startOrphanTimer(t)
	}
}

func (a *Agent) sendEnd(t *attempt) {
	a.send(t, &peer.End{
		Attempt:       t.id,
		Outcome:       t.outcome,
		Length:        t.end(),
		Hint:          a.core.Hint(),
		Config:        t.replacedBy,
		FirstAttempt:  t.earlierClaim.Claim.Attempt,
		FirstUpstream: t.earlierClaim.Upstream,
		FirstProcess:  t.earlierClaim.Process,
	})
	t.conn = nil
}

// emit appends data from the upstream to the response. It blocks while the buffer is
// full and the entry grants no credit.
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

// tryEmit appends data and returns nil, or returns a channel that is closed when there
// may be room.
func (a *Agent) tryEmit(t *attempt, data []byte) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.ended {
		return nil // canceled in the meantime
	}
	if len(t.buf) > 0 && len(t.buf)+len(data) > a.cfg.ResponseBuffer {
		a.trim(t)
	}
	if len(t.buf) > 0 && len(t.buf)+len(data) > a.cfg.ResponseBuffer {
		t.spaceFreed = make(chan struct{})
		return t.spaceFreed
	}
	t.buf = append(t.buf, data...)
	a.flush(t)
	return nil
}

// retain keeps the response of an ended attempt for an entry that lost its connection.
// The oldest responses are dropped when the total exceeds Config.RetainedBytes; an entry
// that asks for a dropped response is told that the outcome is unknown.
func (a *Agent) retain(t *attempt) {
	a.retained = append(a.retained, t)
	a.retainedBytes += len(t.buf)
	for a.retainedBytes > a.cfg.RetainedBytes && len(a.retained) > 1 {
		a.dropOldest()
	}
}

func (a *Agent) dropOldest() {
	t := a.retained[0]
	a.retained[0] = nil
	a.retained = a.retained[1:]
	a.retainedBytes -= len(t.buf)
	if t.conn == nil {
		t.base = t.end()
		t.buf = nil
	}
}

// trim drops the bytes that the entry has forwarded, which are all those more than one
// credit window before its credit.
func (a *Agent) trim(t *attempt) {
	forwarded := min(t.credit-peer.CreditWindow, t.sent)
	if n := forwarded - t.base; n > 0 {
		t.buf = append(t.buf[:0], t.buf[n:]...)
		t.base = forwarded
	}
}

// attemptFor returns the attempt, or the copy of it, whose response goes to connection c.
// It returns nil if there is none.
func (a *Agent) attemptFor(c *peer.Conn, id wardturn.AttemptID) *attempt {
	t := a.attempts[id]
	if t == nil || t.conn == c {
		return t
	}
	for _, f := range t.copies {
		if f.conn == c {
			return f
		}
	}
	return nil
}

// onCredit raises the credit of a response and continues sending it. a.mu is held.
func (a *Agent) onCredit(c *peer.Conn, m *peer.Credit) {
	t := a.attemptFor(c, m.Attempt)
	if t == nil || m.Upto <= t.credit {
		return
	}
	t.credit = m.Upto
	a.flush(t)
	if t.spaceFreed != nil {
		close(t.spaceFreed)
		t.spaceFreed = nil
	}
}
