package decide

import (
	"time"

	"wardturn"
)

// maxStreamOrigins is the number of attempts that StreamOrigins holds, some 200 bytes each.
const maxStreamOrigins = 1 << 16

// StreamOrigins holds, by attempt, where streams of events began. It is not persisted.
type StreamOrigins struct {
	byAttempt map[string]streamOrigin
	// order lists the attempts as recorded, the earliest first. An attempt that was recorded
	// again is in it once more.
	order []recordedOrigin
}

type streamOrigin struct {
	wardturn.StreamOrigin
	ambiguous bool // the attempt was recorded with two origins
	until     time.Time
}

type recordedOrigin struct {
	attempt string
	until   time.Time
}

// NewStreamOrigins returns an empty StreamOrigins.
func NewStreamOrigins() *StreamOrigins {
	return &StreamOrigins{
		byAttempt: make(map[string]streamOrigin),
	}
}

// Record records where the stream of an attempt began, until a time. An attempt that is
// recorded with another origin is ambiguous from then on.
func (s *StreamOrigins) Record(now time.Time, attempt string, o wardturn.StreamOrigin, until time.Time) {
	s.expire(now)
	e, ok := s.byAttempt[attempt]
	if !ok {
		e.StreamOrigin = o
	}
	e.ambiguous = e.ambiguous || e.StreamOrigin != o
	if until.After(e.until) {
		e.until = until
	}
	s.byAttempt[attempt] = e
	s.order = append(s.order, recordedOrigin{
		attempt: attempt,
		until:   e.until,
	})
}

// Find returns where the stream of an attempt began. It reports false if that is not known.
func (s *StreamOrigins) Find(now time.Time, attempt string) (wardturn.StreamOrigin, bool) {
	e, ok := s.byAttempt[attempt]
	if !ok || e.ambiguous || !now.Before(e.until) {
		return wardturn.StreamOrigin{}, false
	}
	return e.StreamOrigin, true
}

// expire drops the earliest records that have expired and, at maxStreamOrigins, the earliest
// one. A record that expires before an earlier one stays until that one is dropped.
func (s *StreamOrigins) expire(now time.Time) {
	n := 0
	for ; n < len(s.order); n++ {
		r := s.order[n]
		if now.Before(r.until) && len(s.order)-n < maxStreamOrigins {
			break
		}
		if s.byAttempt[r.attempt].until.Equal(r.until) { // otherwise it was recorded again
			delete(s.byAttempt, r.attempt)
		}
	}
	s.order = s.order[n:]
}
