package decide

import (
	"time"

	"wardturn"
)

// TeamCaps keeps the requests of each team under its usage cap over all gateways
// together. Each gateway counts down one bucket for all of them: by what it takes
// itself, at once, and by what the others tell that they took. While all are heard, a
// team may use the whole cap at any of them, however its callers are spread.
//
// The load that this answers is a team that sends many times its usual from one
// second to the next, to all gateways: what they have taken and not yet told is
// bounded (untoldPart), and what goes over the cap is a debt that the bucket works
// off. A gateway that does not hear the others takes its share by number only, and
// those that do leave the shares of the missing ones aside.
type TeamCaps struct {
	cfg         TeamCapConfig
	self        wardturn.Incarnation
	start       time.Time
	gateways    int // how many there are taken to be
	counted     GatewayCount
	recalled    int     // how many there were before this one started
	part        float64 // of each cap that the gateways heard here may use
	refreshedAt time.Time
	caps        map[wardturn.TeamID]*teamCap
	others      map[wardturn.Incarnation]*otherGateway
	seq         uint64
	toldAt      time.Time
}

// TeamCapConfig says how gateways share a cap.
type TeamCapConfig struct {
	// EqualShares gives each gateway the same part of each cap at any time; what the
	// others take does not count.
	EqualShares bool
}

const (
	// recallLife is how long a new process goes by the number of gateways before it:
	// keepers notice within 5 s that a gateway is lost.
	recallLife = 5 * time.Second
	// capRefresh is how often the gateways that are heard are counted.
	capRefresh = 50 * time.Millisecond
	// leastBurst is the least that a cap takes at once, in seconds of its rate: without
	// any, a cap that sets no burst would take nothing at all.
	leastBurst = 0.25
	// maxCapWait bounds the time told to callers beyond a cap.
	maxCapWait = 8 * time.Second
)

// teamCap is the bucket of one team.
type teamCap struct {
	limit   wardturn.UsageCap
	level   float64 // units that may be taken now; under zero: a debt
	waiting float64 // units of callers that were told to come back and are not due yet
	at      time.Time
	spared  float64 // refill that was left aside, or found the bucket full, since the start
	unspent float64 // of it, what no late word has been set against
	used    int64   // taken by this gateway since its start
	told    int64   // of that, as the latest word had it
	again   bool    // to be told once more: the latest word may be lost
}

// NewTeamCaps returns buckets that are empty: what the other gateways have taken is
// not known yet, nor what a process before this one had.
func NewTeamCaps(now time.Time, self wardturn.Incarnation, cfg TeamCapConfig) *TeamCaps {
	return &TeamCaps{
		cfg:      cfg,
		self:     self,
		start:    now,
		gateways: 1,
		part:     1,
		caps:     make(map[wardturn.TeamID]*teamCap),
		others:   make(map[wardturn.Incarnation]*otherGateway),
	}
}

// SetTeams takes the caps of a configuration. A bucket whose cap changes keeps its
// level, up to the new burst.
func (c *TeamCaps) SetTeams(now time.Time, teams []wardturn.Team) {
	present := make(map[wardturn.TeamID]bool, len(teams))
	for _, t := range teams {
		present[t.ID] = true
		have := c.caps[t.ID]
		if have == nil {
			have = &teamCap{
				at: now,
			}
			c.caps[t.ID] = have
		}
		have.fill(now, c.part)
		have.limit = t.Cap
		have.level = min(have.level, have.burst(c.part))
	}
	for id := range c.caps {
		if !present[id] {
			delete(c.caps, id)
		}
	}
}

// SetGateways takes the number of gateways, as keepers count them; zero: no keeper is
// heard.
func (c *TeamCaps) SetGateways(now time.Time, counted int) {
	heard, weight := 1, 1.0
	for _, o := range c.others {
		age := now.Sub(o.heardAt)
		if age <= capLapse {
			heard++
		}
		if !c.mayBeBefore(o) {
			weight += freshness(age)
		}
	}
	if heard == len(c.others)+1 {
		c.calm(now)
	}
	counted = c.counted.Take(now, counted)
	if counted == 0 {
		counted = c.gateways // a gateway that is cut off was one of so many
	}
	if now.Sub(c.start) < recallLife {
		counted = max(counted, c.recalled)
	}
	c.gateways = max(counted, heard, 1)
	c.part = weight / float64(c.gateways)
	if c.cfg.EqualShares {
		c.part = 1 / float64(c.gateways)
	}
	c.refreshedAt = now
}

// mayBeBefore reports whether the words of another gateway may all be of a process that
// ended together with the one before this: it began earlier, and none of its words shows
// that it was still there when this one began. When all gateways begin anew, each that
// counted such a word as another gateway would take a larger part, and the team would get
// several times its cap. Those that begin together count each other at once: with no word
// counted for a while, more would be refused than need be.
func (c *TeamCaps) mayBeBefore(o *otherGateway) bool {
	return c.recalled > 0 && o.before && o.age-o.firstAge < capDelay
}

// freshness is how far another gateway counts as heard by the age of its latest word: in
// full while the next word is not due, and less and less after that. When gateways are cut
// off from the others, both sides go on with the whole cap until they notice.
func freshness(age time.Duration) float64 {
	return min(1, max(0, (capLapse-age).Seconds()/(capLapse-capFresh).Seconds()))
}

// calm forgets what was spared, once every gateway known has been heard for a while: only
// the words of those that were missing are set against it.
func (c *TeamCaps) calm(now time.Time) {
	for _, o := range c.others {
		if o.gapEnd > 0 && o.age-o.gapEnd <= capLapse {
			return
		}
	}
	for _, t := range c.caps {
		t.unspent = 0
	}
}

// Recall takes how many gateways there were before this one started. It counts for the
// time in which keepers and other gateways are still to be heard: processes that take
// themselves for the only ones would each let a team have its whole cap.
func (c *TeamCaps) Recall(now time.Time, gateways int) {
	c.recalled = gateways
	c.SetGateways(now, 0)
}

// refresh counts the gateways again that are heard.
func (c *TeamCaps) refresh(now time.Time) {
	if now.Sub(c.refreshedAt) >= capRefresh {
		c.SetGateways(now, 0)
	}
}

// Take takes a request's units from its team's cap. It reports false, and when to
// come back, if the cap is used up. A request may be larger than what is left, or
// than the burst: the rest is a debt.
func (c *TeamCaps) Take(now time.Time, team wardturn.TeamID, units int64) (retryAfter time.Duration, ok bool) {
	t := c.caps[team]
	if t == nil || t.limit.Rate <= 0 {
		return 0, true
	}
	c.refresh(now)
	t.fill(now, c.part)
	if t.level > 0 {
		t.level -= float64(units)
		t.used += units
		return 0, true
	}
	// Callers that come back together would be refused together again: each is told
	// when the cap will have taken those that were told before.
	t.waiting += float64(units)
	wait := (t.waiting - t.level) / (t.limit.Rate * c.part)
	return min(time.Duration(wait*float64(time.Second)), maxCapWait), false
}

// GiveBack returns the units of a request that no upstream ran.
func (c *TeamCaps) GiveBack(team wardturn.TeamID, units int64) {
	if t := c.caps[team]; t != nil && t.limit.Rate > 0 {
		t.level += float64(units)
		t.used -= units
	}
}

// Left returns what is left of a team's cap now, as far as known, in seconds of its
// rate; under zero: a debt.
func (c *TeamCaps) Left(now time.Time, team wardturn.TeamID) float64 {
	t := c.caps[team]
	if t == nil || t.limit.Rate <= 0 {
		return 0
	}
	t.fill(now, c.part)
	return t.level / t.limit.Rate
}

// burst returns what the gateways that are heard may take at once.
func (t *teamCap) burst(part float64) float64 {
	return part * max(t.limit.Burst, leastBurst*t.limit.Rate, 1)
}

// fill lets time pass.
func (t *teamCap) fill(now time.Time, part float64) {
	all := t.limit.Rate * max(0, now.Sub(t.at).Seconds())
	more := part * all
	before := t.level
	t.at = now
	t.level = min(t.level+more, t.burst(part))
	t.waiting = max(0, t.waiting-more)
	spare := max(0, all-max(0, t.level-before))
	t.spared += spare
	t.unspent += spare
}
