package decide

import (
	"time"

	"wardturn"
)

// TeamCaps enforces the usage cap of each team over all gateways together. Each gateway
// keeps a token bucket for the whole cap and charges it with its own usage at once and with
// the usage of the other gateways as they report it. While all gateways are reachable, a
// team may use the whole cap at any of them, however its callers are distributed.
//
// This handles a team whose load on all gateways multiplies from one second to the next:
// the usage that is not yet reported is bounded (maxUnreportedSeconds), and usage over the
// cap becomes a debt that the bucket works off. A gateway that receives nothing from the
// others uses an equal share of the cap, and the others leave the shares of missing
// gateways unused.
type TeamCaps struct {
	cfg               TeamCapConfig
	self              wardturn.Incarnation
	start             time.Time
	gateways          int // assumed number of gateways
	counted           GatewayCount
	previousGateways  int     // number of gateways known before this process started
	reachablePart     float64 // fraction of each cap for the gateways reachable from here
	gatewaysCountedAt time.Time
	caps              map[wardturn.TeamID]*teamCap
	rationed          map[wardturn.TeamID]bool // as of the latest RationingChanges
	others            map[wardturn.Incarnation]*otherGateway
	seq               uint64
	reportedAt        time.Time
}

// TeamCapConfig configures how gateways share a cap.
type TeamCapConfig struct {
	// EqualShares gives each gateway a fixed, equal share of each cap, regardless of the
	// usage of the others.
	EqualShares bool
}

const (
	// previousGatewaysTTL is how long a new process uses the number of gateways known
	// before its start. Keepers notice the loss of a gateway within 5 s.
	previousGatewaysTTL = 5 * time.Second
	// gatewayRecountInterval is the interval at which the reachable gateways are counted.
	gatewayRecountInterval = 50 * time.Millisecond
	// minCapBurst is the minimum burst of a cap, in seconds of its rate. Without it, a cap
	// that sets no burst would admit no request at all.
	minCapBurst = 0.25
	// maxCapRetryDelay bounds the retry delay returned to callers whose team has used up
	// its cap.
	maxCapRetryDelay = 8 * time.Second
)

// teamCap is the token bucket of one team.
type teamCap struct {
	limit        wardturn.UsageCap
	level        float64 // units that may be taken now; negative: a debt
	at           time.Time
	demand       capDemand
	cutDelays    uint64  // retry delays cut at maxCapRetryDelay
	unusedRefill float64 // refill left to missing gateways or lost to overflow, since the start
	offsetLeft   float64 // part of it that no late report has been offset against
	used         int64   // taken by this gateway since its start
	reported     int64   // value of used in the latest report
	resend       bool    // report once more, since the latest report may be lost
}

// NewTeamCaps returns a TeamCaps whose buckets start empty, because the usage of the other
// gateways and of the previous process of this gateway is unknown.
func NewTeamCaps(now time.Time, self wardturn.Incarnation, cfg TeamCapConfig) *TeamCaps {
	return &TeamCaps{
		cfg:           cfg,
		self:          self,
		start:         now,
		gateways:      1,
		reachablePart: 1,
		caps:          make(map[wardturn.TeamID]*teamCap),
		rationed:      make(map[wardturn.TeamID]bool),
		others:        make(map[wardturn.Incarnation]*otherGateway),
	}
}

// SetTeams sets the caps from a configuration. A bucket whose cap changes keeps its level,
// up to the new burst.
func (c *TeamCaps) SetTeams(now time.Time, teams []wardturn.Team) {
	present := make(map[wardturn.TeamID]bool, len(teams))
	for _, t := range teams {
		present[t.ID] = true
		have := c.caps[t.ID]
		if have == nil {
			have = &teamCap{
				at:     now,
				demand: newCapDemand(now),
			}
			c.caps[t.ID] = have
		}
		c.refill(now, have)
		have.limit = t.Cap
		have.level = min(have.level, have.burst(c.reachablePart))
	}
	for id := range c.caps {
		if !present[id] {
			delete(c.caps, id)
		}
	}
}

// SetGateways sets the number of gateways counted by keepers, or zero if no keeper is
// reachable.
func (c *TeamCaps) SetGateways(now time.Time, counted int) {
	reachable, weight := 1, 1.0
	for _, o := range c.others {
		age := now.Sub(o.receivedAt)
		if age <= reportTimeout {
			reachable++
		}
		if !c.mayBePredecessor(o) {
			weight += freshness(age)
		}
	}
	if reachable == len(c.others)+1 {
		c.clearOffsets(now)
	}
	counted = c.counted.Update(now, counted)
	if counted == 0 {
		counted = c.gateways // an isolated gateway keeps the last known number
	}
	if now.Sub(c.start) < previousGatewaysTTL {
		counted = max(counted, c.previousGateways)
	}
	c.gateways = max(counted, reachable, 1)
	c.reachablePart = weight / float64(c.gateways)
	if c.cfg.EqualShares {
		c.reachablePart = 1 / float64(c.gateways)
	}
	c.gatewaysCountedAt = now
}

// mayBePredecessor reports whether all reports received from another gateway may come from
// a process that ended before this one started: the process started earlier, and no report
// shows that it was still running when this one started. If all gateways restart at once
// and count such delayed reports as additional gateways, each uses a larger part of the
// cap, and the team gets several times its cap. Processes that start at the same time as
// this one are counted at once, since ignoring them would refuse more than necessary.
func (c *TeamCaps) mayBePredecessor(o *otherGateway) bool {
	return c.previousGateways > 0 && o.startedWellBefore && o.age-o.firstAge < reportDelayed
}

// freshness returns the weight, from 1 to 0, with which another gateway counts as
// reachable given the age of its latest report. It is 1 until the next report is due and
// then falls linearly until reportTimeout. Without the decline, both sides of a network
// partition would use the whole cap until they notice it.
func freshness(age time.Duration) float64 {
	return min(1, max(0, (reportTimeout-age).Seconds()/(reportTimeout-nextReportDue).Seconds()))
}

// clearOffsets drops the record of unused refill once every known gateway has been
// reporting for a while, because only the late reports of missing gateways are offset
// against it.
func (c *TeamCaps) clearOffsets(now time.Time) {
	for _, o := range c.others {
		if o.gapEnd > 0 && o.age-o.gapEnd <= reportTimeout {
			return
		}
	}
	for _, t := range c.caps {
		t.offsetLeft = 0
	}
}

// SetPreviousGateways sets the number of gateways known before this process started. It
// applies until keepers and other gateways have had time to report. Otherwise each newly
// started process would assume that it is the only one and grant a team its whole cap.
func (c *TeamCaps) SetPreviousGateways(now time.Time, gateways int) {
	c.previousGateways = gateways
	c.SetGateways(now, 0)
}

// recountGateways counts the reachable gateways again if the latest count is older than
// gatewayRecountInterval.
func (c *TeamCaps) recountGateways(now time.Time) {
	if now.Sub(c.gatewaysCountedAt) >= gatewayRecountInterval {
		c.SetGateways(now, 0)
	}
}

// CapRequest is what the cap decision for a request depends on.
type CapRequest struct {
	Team  wardturn.TeamID
	Units int64
	Rank  int // 0 is the most urgent
}

// Charge charges the units of a request of the most urgent rank, as ChargeRequest does.
func (c *TeamCaps) Charge(now time.Time, team wardturn.TeamID, units int64) (retryAfter time.Duration, ok bool) {
	return c.ChargeRequest(now, CapRequest{
		Team:  team,
		Units: units,
	})
}

// ChargeRequest charges a request's units to its team's cap. If the cap is used up, or what
// is left of it goes to more urgent requests, it returns false and the delay after which to
// retry. A request may be larger than the remaining level or the burst; the excess becomes
// a debt.
func (c *TeamCaps) ChargeRequest(now time.Time, r CapRequest) (retryAfter time.Duration, ok bool) {
	t := c.caps[r.Team]
	if t == nil || t.limit.Rate <= 0 {
		return 0, true
	}
	c.recountGateways(now)
	c.refill(now, t)
	units := float64(r.Units)
	index := t.demand.add(now, r.Rank, units)
	if t.level <= 0 {
		t.demand.rationed = true
		return t.retryDelay(c.reachablePart, c.gateways, index, units), false
	}
	if !t.admitsRank(c.reachablePart, c.gateways, index, units) {
		return t.retryDelay(c.reachablePart, c.gateways, index, units), false
	}
	t.level -= units
	t.used += r.Units
	t.demand.ownUse.sum += units
	return 0, true
}

// Refund refunds the units of a request that no upstream ran.
func (c *TeamCaps) Refund(team wardturn.TeamID, units int64) {
	if t := c.caps[team]; t != nil && t.limit.Rate > 0 {
		t.level += float64(units)
		t.used -= units
		t.demand.ownUse.sum -= float64(units)
	}
}

// Remaining returns what is left of a team's cap, as far as known here, in seconds of the
// cap's rate. A negative value is a debt.
func (c *TeamCaps) Remaining(now time.Time, team wardturn.TeamID) float64 {
	t := c.caps[team]
	if t == nil || t.limit.Rate <= 0 {
		return 0
	}
	c.refill(now, t)
	return t.level / t.limit.Rate
}

// burst returns the units that the reachable gateways may take at once.
func (t *teamCap) burst(part float64) float64 {
	return part * max(t.limit.Burst, minCapBurst*t.limit.Rate, 1)
}

// refill adds the units that accrued to a bucket since the last call and releases what was
// reserved for callers that could return by now.
func (c *TeamCaps) refill(now time.Time, t *teamCap) {
	t.demand.advance(now)
	t.releaseReserved(c.reachablePart, c.gateways, max(0, now.Sub(t.at).Seconds()))
	t.refill(now, c.reachablePart)
}

// refill adds the units that accrued since the last call.
func (t *teamCap) refill(now time.Time, part float64) {
	all := t.limit.Rate * max(0, now.Sub(t.at).Seconds())
	more := part * all
	before := t.level
	t.at = now
	t.level = min(t.level+more, t.burst(part))
	unused := max(0, all-max(0, t.level-before))
	t.unusedRefill += unused
	t.offsetLeft += unused
}
