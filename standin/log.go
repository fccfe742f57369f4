package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn"
)

// LogFaults are the faults of a Log.
type LogFaults struct {
	Down bool
	// LoseReply, if set, is called after each append. If it returns true, the record is
	// kept and the append returns ErrReplyLost.
	LoseReply func() bool
}

// LogConfig configures a Log.
type LogConfig struct {
	Retention time.Duration // of records; zero: unlimited
	Latency   time.Duration // of an append
	Rate      float64       // appends per second; zero: unlimited
}

// Log is an in-memory fake of the platform's append-only log.
type Log struct {
	clock wardturn.Clock
	cfg   LogConfig

	mu         sync.Mutex
	faults     LogFaults
	records    []wardturn.LogRecord
	first      wardturn.Offset
	next       wardturn.Offset
	changed    chan struct{} // closed and replaced when a record is added
	tokens     float64       // of the rate limit of appends
	refilledAt time.Time     // last refill of tokens
	appends    int
}

// NewLog returns an empty log.
func NewLog(clock wardturn.Clock, cfg LogConfig) *Log {
	return &Log{
		clock:      clock,
		cfg:        cfg,
		first:      1,
		next:       1,
		changed:    make(chan struct{}),
		tokens:     cfg.Rate,
		refilledAt: clock.Now(),
	}
}

// SetFaults replaces the log's faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.wake()
}

// AppendCount returns the number of records ever added.
func (l *Log) AppendCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append implements wardturn.Log.
func (l *Log) Append(ctx context.Context, data []byte) (wardturn.Offset, error) {
	if l.cfg.Latency > 0 {
		if !wardturn.Sleep(ctx, l.clock, l.cfg.Latency) {
			return 0, errors.Wrap(wardturn.ErrReplyLost, "standin log")
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down || !l.takeToken() {
		return 0, wardturn.ErrUnavailable
	}
	offset := l.next
	l.next++
	l.appends++
	l.records = append(l.records, wardturn.LogRecord{
		Offset: offset,
		Time:   l.clock.Now(),
		Data:   slices.Clone(data),
	})
	l.wake()
	if l.faults.LoseReply != nil && l.faults.LoseReply() {
		return 0, wardturn.ErrReplyLost
	}
	return offset, nil
}

// wake wakes waiting readers. The caller holds the lock.
func (l *Log) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// takeToken reports whether the rate limit allows an append. The caller holds the lock.
func (l *Log) takeToken() bool {
	if l.cfg.Rate <= 0 {
		return true
	}
	now := l.clock.Now()
	l.tokens = min(l.cfg.Rate, l.tokens+l.cfg.Rate*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Read implements wardturn.Log.
func (l *Log) Read(ctx context.Context, from wardturn.Offset, limit int, wait time.Duration) (wardturn.LogPage, error) {
	expired := make(chan struct{})
	timer := l.clock.AfterFunc(wait, func() {
		close(expired)
	})
	defer timer.Stop()
	for {
		page, changed, err := l.read(from, limit)
		if err != nil || len(page.Records) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-expired:
			return page, nil
		case <-ctx.Done():
			return page, errors.Wrap(wardturn.ErrUnavailable, "standin log: read canceled")
		}
	}
}

// read returns the records from an offset on, and the channel that is closed when the
// log grows.
func (l *Log) read(from wardturn.Offset, limit int) (wardturn.LogPage, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired()
	page := wardturn.LogPage{
		First: l.first,
		Next:  l.next,
	}
	if l.faults.Down {
		return page, l.changed, wardturn.ErrUnavailable
	}
	if from < l.first {
		return page, l.changed, wardturn.ErrOutOfRetention
	}
	start := int(from - l.first)
	if start < len(l.records) {
		page.Records = slices.Clone(l.records[start:min(start+limit, len(l.records))])
	}
	return page, l.changed, nil
}

// dropExpired removes the records that are out of retention. The caller holds the lock.
func (l *Log) dropExpired() {
	if l.cfg.Retention <= 0 {
		return
	}
	limit := l.clock.Now().Add(-l.cfg.Retention)
	n := 0
	for n < len(l.records) && l.records[n].Time.Before(limit) {
		n++
	}
	l.records = l.records[n:]
	l.first += wardturn.Offset(n)
}
