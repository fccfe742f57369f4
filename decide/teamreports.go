package decide

import (
	"maps"
	"math"
	"slices"
	"time"

	"wardturn"
)

const (
	// maxUnreportedSeconds bounds the unreported usage of all gateways together while a
	// cap is nearly used up, in seconds of the cap's rate. Usage may exceed the cap by
	// about this amount.
	maxUnreportedSeconds = 0.25
	// maxUnreportedLevelFraction is the same bound as a fraction of the bucket level: far
	// from the cap, fewer reports are needed.
	maxUnreportedLevelFraction = 0.5
	// earlyReportFactor is the multiple of the unreported usage allowed at which a report
	// is sent before the next regular check. Steady usage up to the cap hardly ever
	// reaches it.
	earlyReportFactor = 1.5
	// earlyReportRateFactor is the multiple of its share of the rate that a gateway must
	// have taken since its latest report for such an early report.
	earlyReportRateFactor = 1.5
	// earlyReportInterval is the minimum time between a report and an early report.
	earlyReportInterval = 50 * time.Millisecond
	// reportHeartbeat is the heartbeat interval: the longest time between two reports of a
	// gateway.
	reportHeartbeat = 500 * time.Millisecond
	// reportTimeout is the time after its latest report at which a gateway counts as
	// unreachable. It allows for the loss of two reports sent through a relay that has
	// just failed.
	reportTimeout = 1600 * time.Millisecond
	// nextReportDue is the age of a report by which the next one is due: reportHeartbeat
	// plus the 200 ms between two checks whether a report is due.
	nextReportDue = 700 * time.Millisecond
	// reportDelayed is the transit time above which a report counts as delayed. A usual
	// report takes some 60 ms, one held back by a frozen host takes seconds.
	reportDelayed = 500 * time.Millisecond
	// silentGatewayRetention is how long the totals of a silent gateway are kept. A
	// process that was frozen continues counting from its old totals.
	silentGatewayRetention = time.Minute
)

// TeamUsageReport is the report by which a gateway tells the others how much of the caps it
// has used.
type TeamUsageReport struct {
	Process wardturn.Incarnation
	Seq     uint64        // sequence number of the report within the process
	Age     time.Duration // time since the process started counting
	Used    []TeamUsage
}

// TeamUsage is the usage of a team's cap by one gateway process since its start.
type TeamUsage struct {
	Team  wardturn.TeamID
	Total int64
}

// otherGateway is the state of another gateway process as known from its reports.
type otherGateway struct {
	receivedAt        time.Time
	seq               uint64
	startedEarlier    bool // it started before this process
	startedWellBefore bool // it started more than reportDelayed before this process
	// firstAge is the Age of its first report received here.
	firstAge     time.Duration
	used         map[wardturn.TeamID]int64
	unusedRefill map[wardturn.TeamID]float64 // teamCap.unusedRefill at the latest report
	// minLag is the minimum difference between the arrival time and the Age of its reports.
	minLag      time.Duration
	age         time.Duration                     // Age of its latest report
	gapEnd      time.Duration                     // Age of its first report after a gap, or zero
	reportedAge map[wardturn.TeamID]time.Duration // Age of its latest report on a team
}

// Report returns the report to send to the other gateways, if one is due.
func (c *TeamCaps) Report(now time.Time) (report TeamUsageReport, due bool) {
	if c.cfg.EqualShares {
		return TeamUsageReport{}, false
	}
	c.recountGateways(now)
	heartbeat := now.Sub(c.reportedAt) >= reportHeartbeat
	for _, id := range slices.Sorted(maps.Keys(c.caps)) {
		t := c.caps[id]
		unreported := float64(max(t.used-t.reported, t.reported-t.used))
		if !t.resend && unreported < c.unreportedBound(now, t)/float64(c.gateways) && (!heartbeat || unreported == 0) {
			continue
		}
		due = due || unreported > 0
		report.Used = append(report.Used, TeamUsage{
			Team:  id,
			Total: t.used,
		})
	}
	if !due && !heartbeat {
		return TeamUsageReport{}, false
	}
	for _, u := range report.Used {
		t := c.caps[u.Team]
		t.resend = t.reported != t.used
		t.reported = t.used
	}
	c.seq++
	c.reportedAt = now
	report.Process = c.self
	report.Seq = c.seq
	report.Age = now.Sub(c.start)
	return report, true
}

// NeedsEarlyReport reports whether the usage of a team's cap since the latest report is so
// high that the others must be told before the next regular check. This happens when a team
// suddenly uses far more than before.
func (c *TeamCaps) NeedsEarlyReport(now time.Time, id wardturn.TeamID) bool {
	t := c.caps[id]
	if t == nil || c.cfg.EqualShares || now.Sub(c.reportedAt) < earlyReportInterval {
		return false
	}
	unreported := float64(max(t.used-t.reported, t.reported-t.used)) * float64(c.gateways)
	if unreported < earlyReportRateFactor*t.limit.Rate*now.Sub(c.reportedAt).Seconds() {
		return false
	}
	return unreported >= earlyReportFactor*c.unreportedBound(now, t)
}

// ReportCount returns the number of reports this process has made.
func (c *TeamCaps) ReportCount() uint64 {
	return c.seq
}

// unreportedBound returns the number of units that all gateways together may leave
// unreported.
func (c *TeamCaps) unreportedBound(now time.Time, t *teamCap) float64 {
	c.refill(now, t)
	return max(maxUnreportedSeconds*t.limit.Rate, maxUnreportedLevelFraction*t.level)
}

// Receive processes a report of another gateway.
func (c *TeamCaps) Receive(now time.Time, report TeamUsageReport) {
	if report.Process == c.self || c.cfg.EqualShares {
		return
	}
	o := c.others[report.Process]
	if o == nil {
		o = &otherGateway{
			startedEarlier:    now.Sub(c.start) < report.Age,
			startedWellBefore: now.Sub(c.start)+reportDelayed < report.Age,
			firstAge:          report.Age,
			used:              make(map[wardturn.TeamID]int64),
			unusedRefill:      make(map[wardturn.TeamID]float64),
			reportedAge:       make(map[wardturn.TeamID]time.Duration),
			minLag:            math.MaxInt64,
			age:               report.Age,
		}
		c.forget(now)
		c.others[report.Process] = o
	}
	if report.Seq <= o.seq {
		return
	}
	c.recountGateways(now)
	delayed := o.record(now.Sub(c.start), report)
	o.receivedAt = now
	for _, u := range report.Used {
		before, known := o.used[u.Team]
		o.used[u.Team] = u.Total
		t := c.caps[u.Team]
		if t == nil {
			continue
		}
		c.refill(now, t)
		late := o.afterGap(u.Team)
		previousUnused := o.unusedRefill[u.Team]
		o.unusedRefill[u.Team] = t.unusedRefill
		if !known && o.startedEarlier {
			continue // presumably used before this process started counting
		}
		units := float64(u.Total - before)
		t.demand.otherUse.sum += units
		if delayed || late {
			credit := t.offsetUnused(units, t.unusedRefill-previousUnused)
			units -= credit
			o.unusedRefill[u.Team] = previousUnused + credit // keep the remainder for later reports
		}
		t.level -= units
	}
}

// record stores the sequence number and timing of a report, and reports whether the report
// was delayed in transit by more than reportDelayed.
func (o *otherGateway) record(at time.Duration, report TeamUsageReport) (delayed bool) {
	if report.Age-o.age > reportTimeout {
		o.gapEnd = report.Age
	}
	o.seq = report.Seq
	o.age = report.Age
	lag := at - report.Age
	o.minLag = min(o.minLag, lag)
	return lag-o.minLag > reportDelayed
}

// afterGap reports whether a report on a team is the first one after a gap in the reports.
// It then covers all usage during the gap.
func (o *otherGateway) afterGap(team wardturn.TeamID) bool {
	previous := o.reportedAge[team]
	o.reportedAge[team] = o.age
	return o.gapEnd > 0 && previous < o.gapEnd && o.age-o.gapEnd <= reportTimeout
}

// offsetUnused returns how many of the units in a late report need not be charged. They
// were used some time ago and are offset against the refill that this bucket left unused
// or could not hold since the previous report on the team. If they were charged in full at
// once, a team below its cap would lose seconds of its rate when a network partition
// heals.
func (t *teamCap) offsetUnused(units, unused float64) float64 {
	credit := max(0, min(units, unused, t.offsetLeft))
	t.offsetLeft -= credit
	return credit
}

// forget drops the totals of gateways that have been silent for longer than
// silentGatewayRetention.
func (c *TeamCaps) forget(now time.Time) {
	for p, o := range c.others {
		if now.Sub(o.receivedAt) > silentGatewayRetention {
			delete(c.others, p)
		}
	}
}
