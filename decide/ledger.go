package decide

import (
	"container/list"
	"time"

	"wardturn"
)

// AttemptState is what an agent knows of an attempt.
type AttemptState uint8

const (
	// AttemptNew was never seen before; it is now remembered as waiting.
	AttemptNew AttemptState = iota
	// AttemptWaiting has not been given to the upstream.
	AttemptWaiting
	// AttemptSent may have reached the upstream.
	AttemptSent
	// AttemptEnded has an outcome.
	AttemptEnded
	// AttemptForgotten may have been seen; it is too old to tell.
	AttemptForgotten
)

// Ledger remembers the attempts of one agent, so that a delayed copy never runs
// and a lost connection never decides an outcome.
//
// Ended attempts are remembered for a time and up to a number. Beyond that only
// the highest forgotten sequence number of each entry process is kept: an
// attempt at or below it that is not in the ledger is AttemptForgotten, which a
// caller is told as Unknown. Late copies are thus recognized without a clock.
type Ledger struct {
	limit    int
	remember time.Duration
	attempts map[wardturn.AttemptID]*entry
	ended    *list.List // of *entry, in order of their end
	marks    map[wardturn.Incarnation]*mark
}

type entry struct {
	id      wardturn.AttemptID
	state   AttemptState
	outcome wardturn.Outcome
	endedAt time.Time
}

// mark is the highest sequence number forgotten of one entry process.
type mark struct {
	seq  uint64
	live int // attempts still in the ledger
	at   time.Time
}

// marksKept is how long the mark of a silent entry process is kept. It must
// exceed the time for which a frame can be delayed: connections do not outlive
// their idle limit, which is far shorter.
const marksKept = time.Hour

// NewLedger returns a ledger that remembers ended attempts for a time and up to
// a number.
func NewLedger(limit int, remember time.Duration) *Ledger {
	return &Ledger{
		limit:    limit,
		remember: remember,
		attempts: make(map[wardturn.AttemptID]*entry),
		ended:    list.New(),
		marks:    make(map[wardturn.Incarnation]*mark),
	}
}

// Submit records an attempt that arrives to be run. Only AttemptNew may run;
// with AttemptEnded the earlier outcome is returned.
func (l *Ledger) Submit(now time.Time, id wardturn.AttemptID) (AttemptState, wardturn.Outcome) {
	state, outcome := l.lookup(id)
	if state != AttemptNew {
		return state, outcome
	}
	l.add(now, id, AttemptWaiting)
	return AttemptNew, wardturn.Outcome{}
}

// Attach answers an entry that asks for an attempt after a lost connection. An
// attempt never seen is marked as not run: a copy that arrives later is refused.
func (l *Ledger) Attach(now time.Time, id wardturn.AttemptID) (AttemptState, wardturn.Outcome) {
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
	if m := l.marks[id.Entry]; m != nil && id.Seq <= m.seq {
		return AttemptForgotten, wardturn.Uncertain(wardturn.ReasonDuplicate)
	}
	return AttemptNew, wardturn.Outcome{}
}

func (l *Ledger) add(now time.Time, id wardturn.AttemptID, state AttemptState) {
	l.attempts[id] = &entry{
		id:    id,
		state: state,
	}
	m := l.marks[id.Entry]
	if m == nil {
		m = &mark{}
		l.marks[id.Entry] = m
	}
	m.live++
	m.at = now
}

// Send records that the attempt is about to reach the upstream, and reports
// whether it may: an attempt that has ended meanwhile may not.
func (l *Ledger) Send(id wardturn.AttemptID) bool {
	e := l.attempts[id]
	if e == nil || e.state != AttemptWaiting {
		return false
	}
	e.state = AttemptSent
	return true
}

// Unsend records that the upstream refused the attempt without running it, so
// that it waits again.
func (l *Ledger) Unsend(id wardturn.AttemptID) {
	if e := l.attempts[id]; e != nil && e.state == AttemptSent {
		e.state = AttemptWaiting
	}
}

// End records an outcome and reports whether it stands: the first one does.
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

// Sweep forgets attempts that ended long ago or are too many, and returns
// nothing: what is forgotten stays covered by the marks.
func (l *Ledger) Sweep(now time.Time) {
	for l.ended.Len() > 0 {
		e := l.ended.Front().Value.(*entry)
		if l.ended.Len() <= l.limit && now.Sub(e.endedAt) <= l.remember {
			break
		}
		l.ended.Remove(l.ended.Front())
		l.forget(e.id)
	}
}

func (l *Ledger) forget(id wardturn.AttemptID) {
	delete(l.attempts, id)
	m := l.marks[id.Entry]
	m.live--
	m.seq = max(m.seq, id.Seq)
}

// SweepMarks forgets entry processes that were silent for very long.
func (l *Ledger) SweepMarks(now time.Time) {
	for entry, m := range l.marks {
		if m.live == 0 && now.Sub(m.at) > marksKept {
			delete(l.marks, entry)
		}
	}
}

// Len returns the number of attempts in the ledger.
func (l *Ledger) Len() int {
	return len(l.attempts)
}
