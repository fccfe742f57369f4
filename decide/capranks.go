package decide

import (
	"math"
	"slices"
	"time"

	"wardturn"
)

const (
	// capDemandSlot is the interval over which demand is summed. It is the interval of
	// usage reports: shorter sums would see only some of the gateways.
	capDemandSlot = 200 * time.Millisecond
	// capDemandWeight is the weight of the latest slot in the recent demand. The slots older
	// than the latest three then weigh 6 % together.
	capDemandWeight = 0.6
	// capUseWeight is the same weight in the recent usage, of which the own share follows. A
	// gateway admits only a few requests in a slot while the cap is exceeded.
	capUseWeight = 0.1
	// maxCapDemandSlots is the number of empty slots after which no recent demand is left.
	maxCapDemandSlots = 32
	// capRankRetention is how long a rank without requests is remembered. At a gateway that
	// the urgent requests have left, the others must not count as the most urgent.
	capRankRetention = time.Minute
	// maxCapRanks bounds the ranks counted for a team. Further ranks count with the nearest.
	maxCapRanks = 8
	// rationedLevelFraction is the bucket level, as a fraction of the burst, below which an
	// exceeded cap is rationed by rank. Above it the bucket has room for all.
	rationedLevelFraction = 0.75
	// maxRationedSeconds bounds the same level, in seconds of the cap's rate.
	maxRationedSeconds = 1.0
	// minRationedPart is the part of the demand that is admitted when the bucket is nearly
	// empty. The level settles where the admitted part equals the cap: above zero for a
	// team at up to thirty times its cap, so that urgent requests find room.
	minRationedPart = 0.03
	// minOwnShareFraction is the least own share of a team's usage, as a fraction of an
	// equal share. A gateway whose requests were all refused has no usage to go by.
	minOwnShareFraction = 0.25
)

// capDemand is the recent demand of a team at this gateway by rank, and its recent usage at
// this and at the other gateways. Rates are of completed slots, so that a single large
// request does not count as a rate.
type capDemand struct {
	slotStart time.Time
	ranks     []capRank // the most urgent first
	ownUse    slotRate
	otherUse  slotRate
	// rationed is set when the bucket was found empty, until it has room for all again.
	rationed bool
}

// capRank is the demand of one rank.
type capRank struct {
	rank     int
	demand   slotRate
	askedAt  time.Time
	reserved float64 // units reserved for callers told to retry later
	credit   float64 // units that may be admitted while the rank is admitted in part
}

// slotRate is a rate in units per second, averaged over recent slots.
type slotRate struct {
	sum  float64 // units in the current slot
	rate float64
}

func (r *slotRate) endSlot(weight float64) {
	r.rate += weight * (r.sum/capDemandSlot.Seconds() - r.rate)
	r.sum = 0
}

func newCapDemand(now time.Time) capDemand {
	return capDemand{
		slotStart: now,
		ranks:     make([]capRank, 0, maxCapRanks),
	}
}

// advance ends the slots that have passed.
func (d *capDemand) advance(now time.Time) {
	n := int(now.Sub(d.slotStart) / capDemandSlot)
	if n <= 0 {
		return
	}
	d.slotStart = d.slotStart.Add(time.Duration(n) * capDemandSlot)
	for range min(n, maxCapDemandSlots) {
		d.ownUse.endSlot(capUseWeight)
		d.otherUse.endSlot(capUseWeight)
		for i := range d.ranks {
			d.ranks[i].demand.endSlot(capDemandWeight)
		}
	}
	d.ranks = slices.DeleteFunc(d.ranks, func(r capRank) bool {
		return now.Sub(r.askedAt) > capRankRetention
	})
}

// add records that a request of a rank asks for units, and returns the index of the rank.
func (d *capDemand) add(now time.Time, rank int, units float64) int {
	i := 0
	for i < len(d.ranks) && d.ranks[i].rank < rank {
		i++
	}
	if i == len(d.ranks) && i == maxCapRanks {
		i--
	}
	if (i == len(d.ranks) || d.ranks[i].rank != rank) && len(d.ranks) < maxCapRanks {
		d.ranks = slices.Insert(d.ranks, i, capRank{
			rank: rank,
		})
	}
	d.ranks[i].askedAt = now
	d.ranks[i].demand.sum += units
	return i
}

// upTo returns the recent demand of the ranks before an index, in units per second.
func (d *capDemand) upTo(index int) float64 {
	sum := 0.0
	for i := range d.ranks[:index] {
		sum += d.ranks[i].demand.rate
	}
	return sum
}

// ownShare returns this gateway's share of the team's usage over all gateways.
func (d *capDemand) ownShare(gateways int) float64 {
	equal := 1 / float64(gateways)
	all := d.ownUse.rate + d.otherUse.rate
	if all <= 0 {
		return equal
	}
	return min(1, max(d.ownUse.rate/all, minOwnShareFraction*equal))
}

// admitsRank reports whether a request of the rank at an index may use the cap, given that
// the bucket is not empty. While the team's demand exceeds its cap, the more urgent ranks
// use it first.
//
// This handles a team that sends several times its cap for seconds, with requests of
// different ranks: served in order of arrival, the urgent ones would get the same part as
// the others. The admitted part of the demand follows from the bucket level alone, which
// is about the same at all gateways, so they admit the same part without agreement.
// Rationing starts when the bucket is found empty: a team within its cap is not affected.
func (t *teamCap) admitsRank(reachable float64, gateways, index int, units float64) bool {
	d := &t.demand
	if !d.rationed {
		return true
	}
	full := t.rationedLevel(reachable)
	if t.level >= full {
		d.rationed = false
		return true
	}
	if index == 0 {
		return true // also if all requests have the same rank
	}
	demand := d.upTo(len(d.ranks))
	if demand == 0 {
		return true // no slot with requests has been completed yet
	}
	if demand <= t.limit.Rate*reachable*d.ownShare(gateways) {
		return true // the team is within its cap
	}
	admitted := math.Pow(minRationedPart, 1-t.level/full) * demand
	r := &d.ranks[index]
	room := admitted - d.upTo(index)
	if room >= r.demand.rate {
		return room > 0
	}
	r.credit = min(r.credit+max(0, room)/r.demand.rate*units, units)
	if r.credit <= 0 || room <= 0 {
		return false
	}
	r.credit -= units
	return true
}

// rationedLevel returns the bucket level from which on the bucket has room for all.
func (t *teamCap) rationedLevel(reachable float64) float64 {
	return min(rationedLevelFraction*t.burst(reachable), maxRationedSeconds*t.limit.Rate*reachable)
}

// RationingChanges returns the teams whose cap has begun or ended to be rationed by rank at
// this gateway since the previous call.
func (c *TeamCaps) RationingChanges(now time.Time) (begun, ended []wardturn.TeamID) {
	for id, t := range c.caps {
		if t.demand.rationed {
			c.refill(now, t)
			t.demand.rationed = t.limit.Rate > 0 && t.level < t.rationedLevel(c.reachablePart)
		}
		if t.demand.rationed && !c.rationed[id] {
			begun = append(begun, id)
			c.rationed[id] = true
		}
	}
	for id := range c.rationed {
		if t := c.caps[id]; t == nil || !t.demand.rationed {
			ended = append(ended, id)
			delete(c.rationed, id)
		}
	}
	slices.Sort(begun)
	slices.Sort(ended)
	return begun, ended
}
