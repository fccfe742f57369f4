package decide

import (
	"math"
	"time"

	"wardturn"
)

const (
	// useTimeConstant is the time constant with which the recorded use of a team decays.
	useTimeConstant = 60 * time.Second
	// useTolerance is the difference in use, in seconds, below which two teams count as
	// equal and the older request runs first.
	useTolerance = 1.0
)

// teamUse tracks how much of an upstream's time each team has used recently. When the
// upstream is full, the team with the least use for its weight runs next, so that a burst
// of one team does not delay the others. While the upstream has free capacity no request
// waits and weights have no effect.
type teamUse struct {
	weights map[wardturn.TeamID]float64
	used    map[wardturn.TeamID]*usage
}

type usage struct {
	seconds float64
	at      time.Time
}

func newTeamUse() teamUse {
	return teamUse{
		used: make(map[wardturn.TeamID]*usage),
	}
}

// add records the run time of a team's request.
func (t *teamUse) add(now time.Time, team wardturn.TeamID, ran time.Duration) {
	u := t.used[team]
	if u == nil {
		u = &usage{
			at: now,
		}
		t.used[team] = u
	}
	u.seconds = u.decayed(now) + ran.Seconds()
	u.at = now
}

func (u *usage) decayed(now time.Time) float64 {
	return u.seconds * math.Exp(-now.Sub(u.at).Seconds()/useTimeConstant.Seconds())
}

// weightedUse returns the recent use of a team divided by its weight.
func (t *teamUse) weightedUse(now time.Time, team wardturn.TeamID) float64 {
	u := t.used[team]
	if u == nil {
		return 0
	}
	if w := t.weights[team]; w > 0 {
		return u.decayed(now) / w
	}
	return u.decayed(now)
}

// sweep drops teams without recent use.
func (t *teamUse) sweep(now time.Time) {
	for team, u := range t.used {
		if u.decayed(now) < useTolerance/10 {
			delete(t.used, team)
		}
	}
}

// SetWeights sets the weights of the teams; a team without one has 1.
func (a *Agent) SetWeights(weights map[wardturn.TeamID]float64) {
	a.teamUse.weights = weights
}

// before reports whether x runs before y. Items that wait longer than StarveAfter come
// first, by age. The others are ordered by rank, then by their team's use of the upstream,
// then by age.
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
		usedX := a.teamUse.weightedUse(now, x.work.Team)
		usedY := a.teamUse.weightedUse(now, y.work.Team)
		if math.Abs(usedX-usedY) >= useTolerance {
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
