package decide

import (
	"slices"
	"time"

	"wardturn"
)

const (
	// maxBusyPeriod is how long a busy period lasts before a part of it is used as a
	// sample, so that an engine that slows down is noticed while it is busy.
	maxBusyPeriod = 500 * time.Millisecond
	// speedDecay is the factor by which each new sample reduces the weight of older ones.
	speedDecay = 0.9
	// assumedSpeedTokens is the weight of the assumed speed, as a number of tokens.
	assumedSpeedTokens = 2048.0
	// minSpeedTokens bounds the weight of samples of short prompts: their times mostly
	// depend on the network and on the engine's steps.
	minSpeedTokens = 64.0
	// maxSpeedRatio bounds samples to a multiple, and a fraction, of their expected time.
	// An engine that hangs has its usual speed afterwards. It also bounds how much faster
	// than the highest rate so far a sample may be: faster ones are turns that ended without
	// a prefill.
	maxSpeedRatio = 4.0
	// maxOverheadShare bounds the part of the measured time that is taken as overhead.
	maxOverheadShare = 0.5
)

// busyPeriod is a time in which an engine prefills granted prompts.
type busyPeriod struct {
	start    time.Time
	tokens   int  // of the prompts whose prefill has ended
	fromIdle bool // no granted prompt was in prefill before
}

// prefillSpeed estimates the speed of an engine from its busy periods. It fits the time of
// a period as the time per token plus an overhead of periods that start on an idle engine:
// sending the request, and the steps until the first event of the response. Without the
// overhead, an engine that prefills prompts one by one would look slow, would get smaller
// budgets for it, and so would have to prefill them one by one.
type prefillSpeed struct {
	samples  int
	perToken float64 // milliseconds
	overhead float64 // milliseconds
	// highest is the highest rate so far, measured or assumed, in tokens per millisecond.
	// Unlike the present rate, hangs do not lower it.
	highest float64
	// Decayed sums of a least-squares fit in which a sample weighs as the inverse of its
	// tokens.
	tokens     float64
	millis     float64
	idle       float64 // number of samples that start on an idle engine
	idleWeight float64 // sum of their weights
	idleMillis float64 // sum of their weighted times
}

// assume sets the rate, in tokens per millisecond, that is assumed until the speed was
// measured.
func (s *prefillSpeed) assume(rate float64) {
	if s.samples > 0 || rate <= 0 {
		return
	}
	s.perToken = 1 / rate
}

// observe learns from a busy period that ends now.
func (s *prefillSpeed) observe(b busyPeriod, now time.Time) {
	took := milliseconds(now.Sub(b.start))
	if b.tokens == 0 || took <= 0 || s.withoutPrefill(b, took) {
		return
	}
	if s.samples == 0 {
		s.tokens = assumedSpeedTokens
		s.millis = assumedSpeedTokens / s.rate()
		s.idleWeight = 1 / assumedSpeedTokens
	}
	s.samples++
	tokens := float64(b.tokens)
	expected := tokens / s.rate()
	if b.fromIdle {
		expected += s.overhead
	}
	took = min(max(took, expected/maxSpeedRatio), expected*maxSpeedRatio)
	s.add(max(tokens, minSpeedTokens), took, b.fromIdle)
	s.highest = max(s.highest, s.rate())
	s.fit()
	s.highest = max(s.highest, s.rate())
}

// withoutPrefill reports whether a busy period was too short for the engine to have
// prefilled its prompts. It never is before the speed was measured.
func (s *prefillSpeed) withoutPrefill(b busyPeriod, took float64) bool {
	return s.samples > 0 && took < float64(b.tokens)/(s.highest*maxSpeedRatio)
}

func (s *prefillSpeed) add(tokens, millis float64, fromIdle bool) {
	s.tokens = speedDecay*s.tokens + tokens
	s.millis = speedDecay*s.millis + millis
	s.idle *= speedDecay
	s.idleWeight *= speedDecay
	s.idleMillis *= speedDecay
	if fromIdle {
		s.idle++
		s.idleWeight += 1 / tokens
		s.idleMillis += millis / tokens
	}
}

func (s *prefillSpeed) fit() {
	mean := s.millis / s.tokens
	s.perToken = mean
	s.overhead = 0
	determinant := s.tokens*s.idleWeight - s.idle*s.idle
	if determinant <= 0 {
		return
	}
	overhead := (s.tokens*s.idleMillis - s.idle*s.millis) / determinant
	if overhead <= 0 || s.idle == 0 {
		return
	}
	s.overhead = min(overhead, maxOverheadShare*s.millis/s.idle)
	s.perToken = (s.millis - s.overhead*s.idle) / s.tokens
}

// rate returns the tokens that the engine prefills in a millisecond.
func (s *prefillSpeed) rate() float64 {
	if s.perToken == 0 {
		return assumedPrefillRate
	}
	return 1 / s.perToken
}

// time returns the expected prefill time of a number of tokens.
func (s *prefillSpeed) time(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.rate() * float64(time.Millisecond))
}

// overheadTime returns the expected time of a prompt at an idle engine beyond that of its
// prefill.
func (s *prefillSpeed) overheadTime() time.Duration {
	return time.Duration(s.overhead * float64(time.Millisecond))
}

// pauseLimits holds the pause limits of the routes whose prompts an engine got lately.
type pauseLimits struct {
	recent []recentPause
}

type recentPause struct {
	limit time.Duration
	until time.Time
}

// observe records a pause limit; zero means none.
func (p *pauseLimits) observe(now time.Time, limit time.Duration) {
	if limit <= 0 {
		return
	}
	until := now.Add(pauseLimitMemory)
	for i := range p.recent {
		if p.recent[i].limit == limit {
			p.recent[i].until = until
			return
		}
	}
	p.recent = append(p.recent, recentPause{
		limit: limit,
		until: until,
	})
}

// smallest returns the smallest recent limit, if any.
func (p *pauseLimits) smallest(now time.Time) (limit time.Duration, ok bool) {
	for i := 0; i < len(p.recent); i++ {
		if now.After(p.recent[i].until) {
			p.recent = slices.Delete(p.recent, i, i+1)
			i--
			continue
		}
		if !ok || p.recent[i].limit < limit {
			limit, ok = p.recent[i].limit, true
		}
	}
	return limit, ok
}

// teamUseHalfLife is the time in which the tokens of a team count half.
const teamUseHalfLife = 2 * time.Second

// prefillTeams holds the prefill that the teams lately used.
type prefillTeams struct {
	byID     map[wardturn.TeamID]*prefillTeam
	halvedAt time.Time
}

type prefillTeam struct {
	tokens int
}

func (ts *prefillTeams) get(id wardturn.TeamID) *prefillTeam {
	t := ts.byID[id]
	if t == nil {
		t = &prefillTeam{}
		ts.byID[id] = t
	}
	return t
}

func (ts *prefillTeams) decay(now time.Time) {
	halvings := int(now.Sub(ts.halvedAt) / teamUseHalfLife)
	if halvings <= 0 {
		return
	}
	ts.halvedAt = now
	for _, t := range ts.byID {
		t.tokens >>= min(halvings, 62)
	}
}

// level returns the tokens that a team lately used, in units of a tolerance.
func (t *prefillTeam) level(tolerance int) int {
	return t.tokens / max(tolerance, 1)
}
