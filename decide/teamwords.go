package decide

import (
	"maps"
	"math"
	"slices"
	"time"

	"wardturn"
)

const (
	// untoldPart is the use, in seconds of a cap's rate, that all gateways together
	// may keep to themselves while the cap is nearly used up: about as much may go over.
	untoldPart = 0.25
	// freePart is the same as a part of what is left of the bucket: far from the cap
	// fewer words do.
	freePart = 0.5
	// pressPart is how many times what may be kept has to be taken for a word between two
	// looks: a team that uses its cap steadily hardly ever does.
	pressPart = 1.5
	// pressSpeed is how many times its share of the rate a gateway must have taken since its
	// latest word.
	pressSpeed = 1.5
	// pressPause is the least time between a word and one between two looks.
	pressPause = 50 * time.Millisecond
	// capBeat is the longest time between two words of a gateway.
	capBeat = 500 * time.Millisecond
	// capLapse is how long a gateway is heard after a word: two that come through a
	// relay that has just died may be lost.
	capLapse = 1600 * time.Millisecond
	// capFresh is the age of a word by which the next one is due: capBeat, and the 200 ms
	// between two looks whether one is.
	capFresh = 700 * time.Millisecond
	// capDelay is how long a word has to be on its way to count as late: a usual one takes
	// some 60 ms, and one that a host held back while it was frozen seconds.
	capDelay = 500 * time.Millisecond
	// otherMemory is how long the counts of a gateway that is silent are kept: one
	// that was frozen goes on with them.
	otherMemory = time.Minute
)

// TeamWord tells the other gateways what one of them has taken.
type TeamWord struct {
	Process wardturn.Incarnation
	Seq     uint64        // counts the words of the process
	Age     time.Duration // since it began to count
	Used    []TeamUsed
}

// TeamUsed is what a gateway has taken of a team's cap since its start.
type TeamUsed struct {
	Team  wardturn.TeamID
	Total int64
}

// otherGateway is what another gateway has told.
type otherGateway struct {
	heardAt time.Time
	seq     uint64
	earlier bool // it has counted for longer than this one
	before  bool // it has for more than a word may be on its way
	// firstAge is the age of its first word here.
	firstAge time.Duration
	used     map[wardturn.TeamID]int64
	spared   map[wardturn.TeamID]float64       // spared when the team was last told of
	lag      time.Duration                     // the least by which its words were behind their Age
	age      time.Duration                     // of its latest word
	gapEnd   time.Duration                     // age of the first word after a lapse; zero: none lapsed
	told     map[wardturn.TeamID]time.Duration // age of the latest word on a team
}

// Word returns what the other gateways have to be told now, if anything.
func (c *TeamCaps) Word(now time.Time) (w TeamWord, due bool) {
	if c.cfg.EqualShares {
		return TeamWord{}, false
	}
	c.refresh(now)
	beat := now.Sub(c.toldAt) >= capBeat
	for _, id := range slices.Sorted(maps.Keys(c.caps)) {
		t := c.caps[id]
		untold := float64(max(t.used-t.told, t.told-t.used))
		if !t.again && untold < t.mayKeep(now, c.part)/float64(c.gateways) && (!beat || untold == 0) {
			continue
		}
		due = due || untold > 0
		w.Used = append(w.Used, TeamUsed{
			Team:  id,
			Total: t.used,
		})
	}
	if !due && !beat {
		return TeamWord{}, false
	}
	for _, u := range w.Used {
		t := c.caps[u.Team]
		t.again = t.told != t.used
		t.told = t.used
	}
	c.seq++
	c.toldAt = now
	w.Process = c.self
	w.Seq = c.seq
	w.Age = now.Sub(c.start)
	return w, true
}

// Pressing reports whether so much was taken of a team's cap since the latest word that the
// others have to be told before the next look: a team has begun to use far more than before.
func (c *TeamCaps) Pressing(now time.Time, id wardturn.TeamID) bool {
	t := c.caps[id]
	if t == nil || c.cfg.EqualShares || now.Sub(c.toldAt) < pressPause {
		return false
	}
	untold := float64(max(t.used-t.told, t.told-t.used)) * float64(c.gateways)
	if untold < pressSpeed*t.limit.Rate*now.Sub(c.toldAt).Seconds() {
		return false
	}
	return untold >= pressPart*t.mayKeep(now, c.part)
}

// Words returns how many words this process has told.
func (c *TeamCaps) Words() uint64 {
	return c.seq
}

// mayKeep returns the units that all gateways together may take untold.
func (t *teamCap) mayKeep(now time.Time, part float64) float64 {
	t.fill(now, part)
	return max(untoldPart*t.limit.Rate, freePart*t.level)
}

// Heard takes the word of another gateway.
func (c *TeamCaps) Heard(now time.Time, w TeamWord) {
	if w.Process == c.self || c.cfg.EqualShares {
		return
	}
	o := c.others[w.Process]
	if o == nil {
		o = &otherGateway{
			earlier:  now.Sub(c.start) < w.Age,
			before:   now.Sub(c.start)+capDelay < w.Age,
			firstAge: w.Age,
			used:     make(map[wardturn.TeamID]int64),
			spared:   make(map[wardturn.TeamID]float64),
			told:     make(map[wardturn.TeamID]time.Duration),
			lag:      math.MaxInt64,
			age:      w.Age,
		}
		c.forget(now)
		c.others[w.Process] = o
	}
	if w.Seq <= o.seq {
		return
	}
	c.refresh(now)
	delayed := o.note(now.Sub(c.start), w)
	o.heardAt = now
	for _, u := range w.Used {
		before, known := o.used[u.Team]
		o.used[u.Team] = u.Total
		t := c.caps[u.Team]
		if t == nil {
			continue
		}
		t.fill(now, c.part)
		late := o.late(u.Team)
		since := o.spared[u.Team]
		o.spared[u.Team] = t.spared
		if !known && o.earlier {
			continue // taken before this gateway began to count, as far as is known
		}
		units := float64(u.Total - before)
		if delayed || late {
			forgiven := t.forgive(units, t.spared-since)
			units -= forgiven
			o.spared[u.Team] = since + forgiven // the rest is for late words that follow
		}
		t.level -= units
	}
}

// note takes the numbers and times of a word, and reports whether it was long on its way.
func (o *otherGateway) note(at time.Duration, w TeamWord) (delayed bool) {
	if w.Age-o.age > capLapse {
		o.gapEnd = w.Age
	}
	o.seq = w.Seq
	o.age = w.Age
	lag := at - w.Age
	o.lag = min(o.lag, lag)
	return lag-o.lag > capDelay
}

// late reports whether a word on a team is the first since words were missing: it tells
// of all that was taken meanwhile.
func (o *otherGateway) late(team wardturn.TeamID) bool {
	told := o.told[team]
	o.told[team] = o.age
	return o.gapEnd > 0 && told < o.gapEnd && o.age-o.gapEnd <= capLapse
}

// forgive returns what need not be charged of units that a late word tells of. Their use
// lies back some time, and is set against what this bucket did not get or could not hold
// since the team was last told of: nothing of that was used here. Charged whole, at one
// moment, a cut that heals would cost a team below its cap seconds of its rate.
func (t *teamCap) forgive(units, spared float64) float64 {
	forgiven := max(0, min(units, spared, t.unspent))
	t.unspent -= forgiven
	return forgiven
}

// forget drops the counts of gateways that have been silent for long.
func (c *TeamCaps) forget(now time.Time) {
	for p, o := range c.others {
		if now.Sub(o.heardAt) > otherMemory {
			delete(c.others, p)
		}
	}
}
