package decide

import (
	"math"
	"time"

	"wardturn"
)

const (
	// usageMemory is the time constant of what a team has used.
	usageMemory = 60 * time.Second
	// usageStep is the difference of used time, in seconds, below which two
	// teams count as equal and age decides.
	usageStep = 1.0
)

// shares remembers how much of an upstream's time each team used lately. When
// the upstream is full, the team that used least for its share goes first: one
// team's flood does not make the others wait behind it. While there is room
// nobody waits and shares mean nothing.
type shares struct {
	weights map[wardturn.TeamID]float64
	used    map[wardturn.TeamID]*usage
}

type usage struct {
	seconds float64
	at      time.Time
}

func newShares() shares {
	return shares{
		used: make(map[wardturn.TeamID]*usage),
	}
}

// add records time that a request of a team ran.
func (s *shares) add(now time.Time, team wardturn.TeamID, ran time.Duration) {
	u := s.used[team]
	if u == nil {
		u = &usage{
			at: now,
		}
		s.used[team] = u
	}
	u.seconds = u.faded(now) + ran.Seconds()
	u.at = now
}

func (u *usage) faded(now time.Time) float64 {
	return u.seconds * math.Exp(-now.Sub(u.at).Seconds()/usageMemory.Seconds())
}

// of returns the time that a team used, divided by its share.
func (s *shares) of(now time.Time, team wardturn.TeamID) float64 {
	u := s.used[team]
	if u == nil {
		return 0
	}
	if w := s.weights[team]; w > 0 {
		return u.faded(now) / w
	}
	return u.faded(now)
}

// sweep forgets teams that used nothing lately.
func (s *shares) sweep(now time.Time) {
	for team, u := range s.used {
		if u.faded(now) < usageStep/10 {
			delete(s.used, team)
		}
	}
}

// SetShares sets the weights of the teams; a team without one has 1.
func (a *Agent) SetShares(weights map[wardturn.TeamID]float64) {
	a.shares.weights = weights
}

// before reports whether x is to run before y: starving items by age, others by
// rank, then by their team's use of the upstream, then by age.
func (a *Agent) before(now time.Time, x, y *item) bool {
	starvingX := now.Sub(x.arrived) > a.cfg.StarveAfter
	starvingY := now.Sub(y.arrived) > a.cfg.StarveAfter
	switch {
	case starvingX != starvingY:
		return starvingX
	case starvingX:
		return x.seq < y.seq
	case x.rank != y.rank:
		return x.rank < y.rank
	case x.work.Team != y.work.Team:
		usedX := a.shares.of(now, x.work.Team)
		usedY := a.shares.of(now, y.work.Team)
		if math.Abs(usedX-usedY) >= usageStep {
			return usedX < usedY
		}
	}
	return x.seq < y.seq
}

// first returns the item of a queue to run next, or nil.
func (a *Agent) first(now time.Time, q *queue) *item {
	var best *item
	for _, it := range q.items {
		if best == nil || a.before(now, it, best) {
			best = it
		}
	}
	return best
}
