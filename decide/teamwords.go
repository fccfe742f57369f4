package decide

import (
	"maps"
	"math"
	"slices"
	"time"

	"wardturn"
)

const (
	// untoldPart bounds the unreported usage of all gateways together while a cap is nearly
	// used up, in seconds of the cap's rate. Usage may exceed the cap by about this amount.
	untoldPart = 0.25
	// freePart is the same bound as a fraction of the bucket level: far from the cap, fewer
	// reports are needed.
	freePart = 0.5
	// pressPart is the multiple of the unreported usage allowed at which a report is sent
	// before the next regular check. Steady usage up to the cap hardly ever reaches it.
	pressPart = 1.5
	// pressSpeed is the multiple of its share of the rate that a gateway must have taken
	// since its latest report for such an early report.
	pressSpeed = 1.5
	// pressPause is the minimum time between a report and an early report.
	pressPause = 50 * time.Millisecond
	// capBeat is the heartbeat interval: the longest time between two reports of a gateway.
	capBeat = 500 * time.Millisecond
	// capLapse is the time after its latest report at which a gateway counts as unreachable.
	// It allows for the loss of two reports sent through a relay that has just died.
	capLapse = 1600 * time.Millisecond
	// capFresh is the age of a report by which the next one is due: capBeat plus the 200 ms
	// between two checks whether a report is due.
	capFresh = 700 * time.Millisecond
	// capDelay is the transit time above which a report counts as delayed. A usual report
	// takes some 60 ms, one held back by a frozen host takes seconds.
	capDelay = 500 * time.Millisecond
	// otherMemory is how long the totals of a silent gateway are kept. A process that was
	// frozen continues counting from its old totals.
	otherMemory = time.Minute
)

// TeamWord is the report by which a gateway tells the others how much of the caps it has
// used.
type TeamWord struct {
	Process wardturn.Incarnation
	Seq     uint64        // sequence number of the report within the process
	Age     time.Duration // time since the process started counting
	Used    []TeamUsed
}

// TeamUsed is the usage of a team's cap by one gateway process since its start.
type TeamUsed struct {
	Team  wardturn.TeamID
	Total int64
}

// otherGateway is the state of another gateway process as known from its reports.
type otherGateway struct {
	heardAt time.Time
	seq     uint64
	earlier bool // it started before this process
	before  bool // it started more than capDelay before this process
	// firstAge is the Age of its first report received here.
	firstAge time.Duration
	used     map[wardturn.TeamID]int64
	spared   map[wardturn.TeamID]float64       // teamCap.spared at the latest report on the team
	lag      time.Duration                     // minimum difference between arrival time and Age
	age      time.Duration                     // Age of its latest report
	gapEnd   time.Duration                     // Age of the first report after a gap; zero: no gap
	told     map[wardturn.TeamID]time.Duration // Age of the latest report on a team
}

// Word returns the report to send to the other gateways, if one is due.
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

// Pressing reports whether the usage of a team's cap since the latest report is so high that
// the others must be told before the next regular check. This happens when a team suddenly
// uses far more than before.
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

// Words returns the number of reports this process has made.
func (c *TeamCaps) Words() uint64 {
	return c.seq
}

// mayKeep returns the number of units that all gateways together may leave unreported.
func (t *teamCap) mayKeep(now time.Time, part float64) float64 {
	t.fill(now, part)
	return max(untoldPart*t.limit.Rate, freePart*t.level)
}

// Heard processes a report of another gateway.
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
			continue // presumably used before this process started counting
		}
		units := float64(u.Total - before)
		if delayed || late {
			forgiven := t.forgive(units, t.spared-since)
			units -= forgiven
			o.spared[u.Team] = since + forgiven // keep the remainder for later reports
		}
		t.level -= units
	}
}

// note records the sequence number and timing of a report, and reports whether the report
// was delayed in transit by more than capDelay.
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

// late reports whether a report on a team is the first one after a gap in the reports. It
// then covers all usage during the gap.
func (o *otherGateway) late(team wardturn.TeamID) bool {
	told := o.told[team]
	o.told[team] = o.age
	return o.gapEnd > 0 && told < o.gapEnd && o.age-o.gapEnd <= capLapse
}

// forgive returns how many of the units in a late report need not be charged. They were
// used some time ago and are offset against the refill that this bucket left unused or
// could not hold since the previous report on the team. If they were charged in full at
// once, a team below its cap would lose seconds of its rate when a network partition heals.
func (t *teamCap) forgive(units, spared float64) float64 {
	forgiven := max(0, min(units, spared, t.unspent))
	t.unspent -= forgiven
	return forgiven
}

// forget drops the totals of gateways that have been silent for longer than otherMemory.
func (c *TeamCaps) forget(now time.Time) {
	for p, o := range c.others {
		if now.Sub(o.heardAt) > otherMemory {
			delete(c.others, p)
		}
	}
}
