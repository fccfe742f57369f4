package decide

import (
	"container/list"
	"time"

	"wardturn"
)

// AttemptState is what an agent knows about an attempt.
type AttemptState uint8

const (
	// AttemptNew was never seen before. The ledger now records it as waiting.
	AttemptNew AttemptState = iota
	// AttemptWaiting has not been sent to the upstream.
	AttemptWaiting
	// AttemptSent may have reached the upstream.
	AttemptSent
	// AttemptEnded has an outcome.
	AttemptEnded
	// AttemptForgotten is too old to tell whether it was seen before.
	AttemptForgotten
)

// Ledger records the attempts of one agent, so that a delayed duplicate is never run and
// a lost connection does not decide an outcome.
//
// Ended attempts are kept for a limited time and up to a limited number. Of older ones
// only the highest sequence number of each entry process is kept: an attempt at or below
// it that is not in the ledger is AttemptForgotten, and its caller receives the outcome
// Unknown. Late duplicates are thus recognized without a clock.
type Ledger struct {
	limit          int
	attemptTTL     time.Duration
	attempts       map[wardturn.AttemptID]*ledgerEntry
	ended          *list.List // of *ledgerEntry, in the order in which they ended
	highWaterMarks map[wardturn.Incarnation]*highWaterMark
}

type ledgerEntry struct {
	id      wardturn.AttemptID
	state   AttemptState
	outcome wardturn.Outcome
	endedAt time.Time
}

// highWaterMark is the highest sequence number of the forgotten attempts of one entry
// process.
type highWaterMark struct {
	seq  uint64
	live int // attempts still in the ledger
	at   time.Time
}

// highWaterTTL is how long the mark of a silent entry process is kept. It must exceed the
// longest delay of a frame, which is bounded by the far shorter idle timeout of
// connections.
const highWaterTTL = time.Hour

// NewLedger returns a ledger that keeps up to limit ended attempts, each for the given
// time.
func NewLedger(limit int, attemptTTL time.Duration) *Ledger {
	return &Ledger{
		limit:          limit,
		attemptTTL:     attemptTTL,
		attempts:       make(map[wardturn.AttemptID]*ledgerEntry),
		ended:          list.New(),
		highWaterMarks: make(map[wardturn.Incarnation]*highWaterMark),
	}
}

// Submit records an attempt that is submitted to run. Only AttemptNew may run; for
// AttemptEnded it also returns the earlier outcome.
func (l *Ledger) Submit(now time.Time, id wardturn.AttemptID) (AttemptState, wardturn.Outcome) {
	state, outcome := l.lookup(id)
	if state != AttemptNew {
		return state, outcome
	}
	l.add(now, id, AttemptWaiting)
	return AttemptNew, wardturn.Outcome{}
}

// Lookup looks up an attempt that an entry asks for after a lost connection. An attempt
// that was never seen is recorded as not run, so that a duplicate that arrives later is
// refused.
func (l *Ledger) Lookup(now time.Time, id wardturn.AttemptID) (AttemptState, wardturn.Outcome) {
	state, outcome := l.lookup(id)
	if state != AttemptNew {
		return state, outcome
	}
	l.add(now, id, AttemptWaiting)
	outcome = wardturn.Refused(wardturn.ReasonUnreachable, 0)
	l.End(now, id, outcome)
	return AttemptEnded, outcome
}

func (l *Ledger) lookup(id wardturn.AttemptID) (AttemptState, wardturn.Outcome) {
	if e := l.attempts[id]; e != nil {
		return e.state, e.outcome
	}
	if m := l.highWaterMarks[id.Entry]; m != nil && id.Seq <= m.seq {
		return AttemptForgotten, wardturn.Uncertain(wardturn.ReasonDuplicate)
	}
	return AttemptNew, wardturn.Outcome{}
}

func (l *Ledger) add(now time.Time, id wardturn.AttemptID, state AttemptState) {
	l.attempts[id] = &ledgerEntry{
		id:    id,
		state: state,
	}
	m := l.highWaterMarks[id.Entry]
	if m == nil {
		m = &highWaterMark{}
		l.highWaterMarks[id.Entry] = m
	}
	m.live++
	m.at = now
}

// Send records that the attempt is about to be sent to the upstream. It reports whether
// it may be sent: an attempt that has already been sent or has ended may not.
func (l *Ledger) Send(id wardturn.AttemptID) bool {
	e := l.attempts[id]
	if e == nil || e.state != AttemptWaiting {
		return false
	}
	e.state = AttemptSent
	return true
}

// Requeue records that the upstream refused the attempt without running it, so that it is
// waiting again.
func (l *Ledger) Requeue(id wardturn.AttemptID) {
	if e := l.attempts[id]; e != nil && e.state == AttemptSent {
		e.state = AttemptWaiting
	}
}

// End records an outcome. It reports false if the attempt already has one, which then
// stands.
func (l *Ledger) End(now time.Time, id wardturn.AttemptID, outcome wardturn.Outcome) bool {
	e := l.attempts[id]
	if e == nil || e.state == AttemptEnded {
		return false
	}
	e.state = AttemptEnded
	e.outcome = outcome
	e.endedAt = now
	l.ended.PushBack(e)
	l.Sweep(now)
	return true
}

// Sweep forgets ended attempts that are too old or too many. The marks still cover them.
func (l *Ledger) Sweep(now time.Time) {
	for l.ended.Len() > 0 {
		e := l.ended.Front().Value.(*ledgerEntry)
		if l.ended.Len() <= l.limit && now.Sub(e.endedAt) <= l.attemptTTL {
			break
		}
		l.ended.Remove(l.ended.Front())
		l.forget(e.id)
	}
}

func (l *Ledger) forget(id wardturn.AttemptID) {
	delete(l.attempts, id)
	m := l.highWaterMarks[id.Entry]
	m.live--
	m.seq = max(m.seq, id.Seq)
}

// SweepHighWaterMarks forgets the marks of entry processes that have been silent for long.
func (l *Ledger) SweepHighWaterMarks(now time.Time) {
	for entry, m := range l.highWaterMarks {
		if m.live == 0 && now.Sub(m.at) > highWaterTTL {
			delete(l.highWaterMarks, entry)
		}
	}
}

// Len returns the number of attempts in the ledger.
func (l *Ledger) Len() int {
	return len(l.attempts)
}
