package decide

import (
	"time"

	"wardturn"
)

// ReadScheduler decides when a process reads a record of the platform's store itself and
// when it relies on the reads of another process. Processes that follow the same record
// report their reads to each other, and usually only the process with the lowest ID, the
// leader, reads. There is no agreement protocol: each process bounds the age of its own
// copy, and reads itself when the reports of others fail to arrive.
type ReadScheduler struct {
	cfg                 ReadSchedulerConfig
	self                wardturn.Incarnation
	start               time.Time // origin of the timestamps sent to other processes
	spread              float64   // position of this process among the read times, from 0 to 1
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
	// MinInvalidatedInterval is the minimum time between two reads caused by
	// contradictions, so that changes in quick succession are read together.
	MinInvalidatedInterval time.Duration
}

const (
	// followerSlack and followerSpread delay the reads of a process that relies on
	// others, as fractions of MaxAge. The slack lets the regular report arrive; the spread
	// keeps the processes from reading all at once when it does not. When the leader is
	// gone, the others take over within the slack.
	followerSlack  = 0.15
	followerSpread = 0.25
	// leaderTimeout is how long a process with a lower ID counts as alive after its last
	// message, as a multiple of MaxAge.
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
func (s *ReadScheduler) Cause(now time.Time) ReadCause {
	switch {
	case s.failed:
		return ReadRetry
	case s.asOf.IsZero():
		return ReadFirst
	case now.Before(s.dueByAge(now)):
		return ReadInvalidated
	case s.IsLeader(now):
		return ReadAsLeader
	}
	return ReadFallback
}

// DueAt returns when this process has to read the record.
func (s *ReadScheduler) DueAt(now time.Time) time.Time {
	due := s.dueByAge(now)
	if s.invalidatedAt.After(s.asOf) {
		invalidatedDue := latest(s.invalidatedAt.Add(time.Duration(s.spread*float64(invalidationSpread))), s.lastInvalidatedRead.Add(s.cfg.MinInvalidatedInterval))
		if invalidatedDue.Before(due) {
			due = invalidatedDue
		}
	}
	if due.Before(s.earliestRead) {
		return s.earliestRead
	}
	return due
}

// dueByAge returns when this process has to read judging by the age of its copy alone.
func (s *ReadScheduler) dueByAge(now time.Time) time.Time {
	due := s.asOf
	switch {
	case s.asOf.IsZero():
	case s.IsLeader(now) && s.asOfOwn:
		due = due.Add(s.cfg.Interval)
	case s.IsLeader(now):
		delay := time.Duration(followerSlack * s.spread * float64(s.cfg.MaxAge))
		due = due.Add(s.cfg.Interval + delay)
	default:
		factor := 1 + followerSlack + followerSpread*s.spread
		due = due.Add(time.Duration(factor * float64(s.cfg.MaxAge)))
	}
	return due
}

// AsOf returns a time at which the copy was up to date, or zero before the first read. It
// counts a report of another process only if its transit time can be compared with that
// of an earlier one: a delayed report taken for a recent one would let an old version of
// an adapter serve longer by the delay.
func (s *ReadScheduler) AsOf() time.Time {
	return s.confirmedAsOf
}

func latest(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// Age returns the age of the copy, or zero before the first read.
func (s *ReadScheduler) Age(now time.Time) time.Duration {
	if s.asOf.IsZero() {
		return 0
	}
	return max(0, now.Sub(s.asOf))
}

// IsLeader reports whether this process is the leader: no process with a lower ID has
// sent a message lately.
func (s *ReadScheduler) IsLeader(now time.Time) bool {
	return s.leaderSeenAt.IsZero() || now.Sub(s.leaderSeenAt) > leaderTimeout*s.cfg.MaxAge
}

// ReadsForAll reports whether the other processes rely on the reads of this one: it is the
// leader, and has run for long enough to have heard of a process with a lower ID.
func (s *ReadScheduler) ReadsForAll(now time.Time) bool {
	return s.IsLeader(now) && now.Sub(s.start) > leaderTimeout*s.cfg.MaxAge
}

// ReadStarted records the start of a read by this process.
func (s *ReadScheduler) ReadStarted(now time.Time) {
	if s.Cause(now) == ReadInvalidated {
		s.lastInvalidatedRead = now
	}
	s.earliestRead = now.Add(s.cfg.MinInterval)
}

// ReadFailed records that a read of this process failed. It is retried after the minimum
// time between reads unless another process reports a later read. Exponential backoff was
// no better for callers and saved few reads.
func (s *ReadScheduler) ReadFailed(now time.Time) {
	s.failed = true
	s.earliestRead = now.Add(s.cfg.MinInterval)
	s.Invalidate(now)
}

// ReadSucceeded records a successful read of the record as it was at the time asOf. It
// returns the timestamp to send to the other processes.
func (s *ReadScheduler) ReadSucceeded(asOf time.Time) time.Duration {
	s.failed = false
	s.update(asOf, true)
	s.confirmedAsOf = latest(s.confirmedAsOf, asOf)
	return asOf.Sub(s.start)
}

// Invalidate records that something contradicts the copy.
func (s *ReadScheduler) Invalidate(now time.Time) {
	s.invalidatedAt = now
}

// PeerRead records the report of another process that it has read the record. The stamp is
// the time of the read by that process's clock. The clock offset is estimated by the
// smallest difference between arrival time and stamp, which makes a delayed report
// recognizable as old. The first report of a process has nothing to be compared with, so
// it does not count for AsOf. PeerRead returns the time of the read, or zero for a first
// report.
func (s *ReadScheduler) PeerRead(now time.Time, from wardturn.Incarnation, stamp time.Duration) (asOf time.Time) {
	return s.ConfirmPeerRead(s.ObservePeerRead(now, from, stamp))
}

// PeerReadTime is the time of a read that another process has reported.
type PeerReadTime struct {
	asOf     time.Time
	measured bool // the transit time of the report could be compared
}

// ObservePeerRead is the part of PeerRead that is due when a report arrives. The copy counts
// as read only after ConfirmPeerRead, once it includes what the other process has read.
func (s *ReadScheduler) ObservePeerRead(now time.Time, from wardturn.Incarnation, stamp time.Duration) PeerReadTime {
	minLag, measured := s.lags.observe(from, now.Sub(s.start)-stamp)
	s.PeerSeen(now, from)
	return PeerReadTime{
		asOf:     s.start.Add(stamp + minLag),
		measured: measured,
	}
}

// ConfirmPeerRead records that the copy includes what another process had read at the time r.
// It returns that time, or zero for a first report.
func (s *ReadScheduler) ConfirmPeerRead(r PeerReadTime) time.Time {
	s.update(r.asOf, false)
	if !r.measured {
		return time.Time{}
	}
	s.confirmedAsOf = latest(s.confirmedAsOf, r.asOf)
	return r.asOf
}

// PeerSeen records a message of another process that says nothing about its reads.
func (s *ReadScheduler) PeerSeen(now time.Time, from wardturn.Incarnation) {
	if from < s.self {
		s.leaderSeenAt = now
	}
}

func (s *ReadScheduler) update(asOf time.Time, own bool) {
	if asOf.After(s.asOf) {
		s.asOf = asOf
		s.asOfOwn = own
	}
}
