package decide

import (
	"time"

	"wardturn"
)

// ReadScheduler decides when a process reads a record of the platform's store itself and when
// it relies on the reads of another process. Processes that follow the same record report
// their reads to each other, and usually only the process with the lowest ID, the leader,
// reads. There is no agreement protocol: each process bounds the age of its own copy, and
// reads itself when the reports of others fail to arrive.
type ReadScheduler struct {
	cfg                 ReadSchedulerConfig
	self                wardturn.Incarnation
	start               time.Time // origin of the timestamps sent to other processes
	spread              float64   // position of this process in the spread of read times, from 0 to 1
	asOf                time.Time // time of the latest known read of the record
	asOfOwn             bool      // asOf is from a read of this process
	confirmedAsOf       time.Time // as asOf, but without reports whose transit time is not known
	invalidatedAt       time.Time // when the copy was last found to be out of date
	leaderSeenAt        time.Time // when a process with a lower ID last sent a message
	earliestRead        time.Time // earliest time of this process's next read
	lastInvalidatedRead time.Time // when the latest read caused by a contradiction started
	failed              bool      // the latest read failed
	lags                minLags
}

// ReadSchedulerConfig holds the intervals of a ReadScheduler.
type ReadSchedulerConfig struct {
	// MaxAge is the age at which the copy is read again.
	MaxAge time.Duration
	// Interval is the time between two reads of the leader.
	Interval time.Duration
	// MinInterval is the minimum time between two reads of one process.
	MinInterval time.Duration
	// MinInvalidatedInterval is the minimum time between two reads caused by contradictions, so that
	// changes in quick succession are read together.
	MinInvalidatedInterval time.Duration
}

const (
	// followerSlack and followerSpread delay the reads of a process that relies on
	// others, as fractions of Every. The slack lets the regular report arrive; the spread
	// keeps the processes from reading all at once when it does not. When the leader is
	// gone, the others take over within the slack.
	followerSlack  = 0.15
	followerSpread = 0.25
	// leaderTimeout is how long a process with a lower ID counts as alive after its last
	// message, as a multiple of Every.
	leaderTimeout = 2
	// invalidationSpread spreads the reads of processes that find their copies out of date
	// through the same event: the report of the first one serves the others.
	invalidationSpread = 100 * time.Millisecond
)

// NewReadScheduler returns a ReadScheduler whose first read is due at once.
func NewReadScheduler(now time.Time, self wardturn.Incarnation, cfg ReadSchedulerConfig) *ReadScheduler {
	return &ReadScheduler{
		cfg:    cfg,
		self:   self,
		start:  now,
		spread: float64(hashString(string(self))) / (1 << 64),
		lags:   make(minLags),
	}
}

// ReadCause says why a process reads a record itself.
type ReadCause string

// Causes of a read.
const (
	ReadFirst       ReadCause = "first"   // there was no copy
	ReadAsLeader    ReadCause = "for_all" // this process is the leader
	ReadFallback    ReadCause = "step_in" // the reports of other processes failed to arrive
	ReadInvalidated ReadCause = "doubted" // something contradicted the copy
	ReadRetry       ReadCause = "again"   // the previous read failed
)

// ReadCauses lists all causes.
func ReadCauses() []ReadCause {
	return []ReadCause{ReadFirst, ReadAsLeader, ReadFallback, ReadInvalidated, ReadRetry}
}

// Cause returns why this process would read now.
func (t *ReadScheduler) Cause(now time.Time) ReadCause {
	switch {
	case t.failed:
		return ReadRetry
	case t.asOf.IsZero():
		return ReadFirst
	case now.Before(t.dueByAge(now)):
		return ReadInvalidated
	case t.IsLeader(now):
		return ReadAsLeader
	}
	return ReadFallback
}

// DueAt returns when this process has to read the record.
func (t *ReadScheduler) DueAt(now time.Time) time.Time {
	due := t.dueByAge(now)
	if t.invalidatedAt.After(t.asOf) {
		invalidatedDue := latest(t.invalidatedAt.Add(time.Duration(t.spread*float64(invalidationSpread))), t.lastInvalidatedRead.Add(t.cfg.MinInvalidatedInterval))
		if invalidatedDue.Before(due) {
			due = invalidatedDue
		}
	}
	if due.Before(t.earliestRead) {
		return t.earliestRead
	}
	return due
}

// dueByAge returns when this process has to read judging by the age of its copy alone.
func (t *ReadScheduler) dueByAge(now time.Time) time.Time {
	due := t.asOf
	switch {
	case t.asOf.IsZero():
	case t.IsLeader(now) && t.asOfOwn:
		due = due.Add(t.cfg.Interval)
	case t.IsLeader(now):
		delay := time.Duration(followerSlack * t.spread * float64(t.cfg.MaxAge))
		due = due.Add(t.cfg.Interval + delay)
	default:
		factor := 1 + followerSlack + followerSpread*t.spread
		due = due.Add(time.Duration(factor * float64(t.cfg.MaxAge)))
	}
	return due
}

// AsOf returns a time at which the copy was up to date, or zero before the first read. It
// counts a report of another process only if its transit time can be compared with that
// of an earlier one: a delayed report taken for a recent one would let an old version of
// an adapter serve longer by the delay.
func (t *ReadScheduler) AsOf() time.Time {
	return t.confirmedAsOf
}

func latest(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// Age returns the age of the copy, or zero before the first read.
func (t *ReadScheduler) Age(now time.Time) time.Duration {
	if t.asOf.IsZero() {
		return 0
	}
	return max(0, now.Sub(t.asOf))
}

// IsLeader reports whether this process is the leader: no process with a lower ID has sent a
// message lately.
func (t *ReadScheduler) IsLeader(now time.Time) bool {
	return t.leaderSeenAt.IsZero() || now.Sub(t.leaderSeenAt) > leaderTimeout*t.cfg.MaxAge
}

// ReadStarted records the start of a read by this process.
func (t *ReadScheduler) ReadStarted(now time.Time) {
	if t.Cause(now) == ReadInvalidated {
		t.lastInvalidatedRead = now
	}
	t.earliestRead = now.Add(t.cfg.MinInterval)
}

// ReadFailed records that a read of this process failed. It is retried after the minimum time
// between reads unless another process reports a later read. Exponential backoff was no
// better for callers and saved few reads.
func (t *ReadScheduler) ReadFailed(now time.Time) {
	t.failed = true
	t.earliestRead = now.Add(t.cfg.MinInterval)
	t.Invalidate(now)
}

// ReadSucceeded records a successful read of the record as it was at the time asOf. It returns the
// timestamp to send to the other processes.
func (t *ReadScheduler) ReadSucceeded(asOf time.Time) time.Duration {
	t.failed = false
	t.update(asOf, true)
	t.confirmedAsOf = latest(t.confirmedAsOf, asOf)
	return asOf.Sub(t.start)
}

// Invalidate records that something contradicts the copy.
func (t *ReadScheduler) Invalidate(now time.Time) {
	t.invalidatedAt = now
}

// PeerRead records the report of another process that it has read the record. The stamp is
// the time of the read by that process's clock. The clock offset is estimated by the
// smallest difference between arrival time and stamp, which makes a delayed report
// recognizable as old. The first report of a process has nothing to be compared with, so
// it does not count for AsOf. Heard returns the time of the read, or zero for a first
// report.
func (t *ReadScheduler) PeerRead(now time.Time, from wardturn.Incarnation, stamp time.Duration) (asOf time.Time) {
	minLag, measured := t.lags.observe(from, now.Sub(t.start)-stamp)
	t.update(t.start.Add(stamp+minLag), false)
	if measured {
		asOf = t.start.Add(stamp + minLag)
		t.confirmedAsOf = latest(t.confirmedAsOf, asOf)
	}
	t.PeerSeen(now, from)
	return asOf
}

// PeerSeen records a message of another process that says nothing about its reads.
func (t *ReadScheduler) PeerSeen(now time.Time, from wardturn.Incarnation) {
	if from < t.self {
		t.leaderSeenAt = now
	}
}

func (t *ReadScheduler) update(asOf time.Time, own bool) {
	if asOf.After(t.asOf) {
		t.asOf = asOf
		t.asOfOwn = own
	}
}
