package decide

import (
	"math"
	"time"

	"wardturn"
)

const (
	// plainViewInterval is how long a view is used before it is derived again.
	plainViewInterval = 20 * time.Millisecond
	// plainUtilization is the part of the capacity that is admitted while the backlog is at
	// its target.
	plainUtilization = 0.98
	// sustainableUtilization is the part of the capacity up to which a backlog is expected to
	// be worked off.
	sustainableUtilization = 0.95
	// absorbingPart is the demand of less urgent requests, as a part of the capacity, at whose
	// expense a backlog can be worked off.
	absorbingPart = 0.2
	// queueTargetPart is the part of the time that the objective leaves for queueing that the
	// backlog at the upstreams should take. Arrivals within the delay of a report use the
	// rest.
	queueTargetPart = 1.0 / 3
	// queueMaxPart is the part of that time beyond which an upstream gets no more requests.
	queueMaxPart = 0.8
	// ceilingTargetPart is the part of the requests in flight at which an upstream rejects
	// that the backlog should take.
	ceilingTargetPart = 0.7
	// minDrainTime is the shortest time over which a backlog is brought to its target, and
	// drainDelays the same as a multiple of the delay of reports. A faster correction would
	// overshoot.
	minDrainTime = 500 * time.Millisecond
	drainDelays  = 2
	// stallFactor times the time per request is how long a busy upstream may give no
	// response to any gateway, in addition to the delay of reports.
	stallFactor = 4
	// minStall is the shortest such time; hosts pause that long under load.
	minStall = 250 * time.Millisecond
	// trialSpread times the number of gateways is the time over which gateways spread their
	// trial requests to a stalled upstream, so that few send one before they learn of another.
	trialSpread = 50 * time.Millisecond
	// pressureMemory is how long a rejection counts as pressure.
	pressureMemory = 3 * time.Second
	// minServed is the number of responses from which a time per request is derived.
	minServed = 3
	// objectiveMemory is how long the shortest objective counts.
	objectiveMemory = 10 * time.Second
)

// refresh derives the view again if it is outdated.
func (p *PlainLoads) refresh(now time.Time, s *plainService) {
	elapsed := now.Sub(s.viewAt)
	if elapsed < plainViewInterval {
		return
	}
	p.sweep(now)
	first := s.viewAt.IsZero()
	s.viewAt = now
	v := &s.view
	before := *v
	*v = plainView{
		timePerReq: before.timePerReq,
	}
	for _, u := range s.upstreams {
		u.total = float64(u.inFlight) + u.othersInFlight
		u.noteLoad(now)
		if !first && !u.stalled {
			u.busy.add(now, plainMemory, min(u.total, u.slots())*min(elapsed, plainIdleInterval).Seconds())
		}
	}
	v.timePerReq = s.timePerRequest(now)
	v.trust = p.trust(s.objective)
	v.active = v.timePerReq > 0 && s.statesSlots() && p.knowsAll(now, s)
	for _, u := range s.upstreams {
		p.refreshUpstream(now, s, u)
	}
	s.divide(now, p.demandMemory(), p.drainTime())
	if before.active && !v.active {
		s.goAlone(now, before.share)
	}
}

// goAlone limits this gateway to its latest share, because it hears no other any more.
func (s *plainService) goAlone(now time.Time, share float64) {
	for _, u := range s.upstreams {
		u.ownLimit = max(minOwnLimit, share*u.limit(now, s.objective, queueMaxPart))
		u.ownLimitAt = now
	}
}

// statesSlots reports whether the upstreams state how many requests they process at once.
func (s *plainService) statesSlots() bool {
	for _, u := range s.upstreams {
		if u.member.Slots <= 0 {
			return false
		}
	}
	return true
}

// knowsAll reports whether this gateway knows the load of a service. That of a single gateway
// is its own; it limits the service only if upstreams reject requests.
func (p *PlainLoads) knowsAll(now time.Time, s *plainService) bool {
	if p.reporting > 0 {
		return true
	}
	return p.gateways == 1 && !s.rejectedAt.IsZero() && now.Sub(s.rejectedAt) < singleMemory
}

// singleMemory is how long a single gateway limits a service after a rejection.
const singleMemory = 30 * time.Second

// timePerRequest returns the mean time per request over all upstreams; zero if it is not
// known. Where requests queue it follows from the throughput by Little's law; otherwise the
// response time is more precise.
func (s *plainService) timePerRequest(now time.Time) time.Duration {
	busy, served, waited := 0.0, 0.0, 0.0
	for _, u := range s.upstreams {
		if u.stalled {
			continue
		}
		busy += u.busy.value(now, plainMemory)
		served += u.served.value(now, plainMemory)
		waited += u.waitedFor.value(now, plainMemory)
	}
	if served < minServed {
		return s.view.timePerReq
	}
	return time.Duration(min(busy, waited) / served * float64(time.Second))
}

// refreshUpstream updates whether an upstream is stalled, its capacity and the rate that it
// should get.
func (p *PlainLoads) refreshUpstream(now time.Time, s *plainService, u *plainUpstream) {
	v := &s.view
	u.rate = 0
	u.timePerReq = v.timePerReq
	if served := u.served.value(now, plainMemory); served >= minServed {
		busy := min(u.busy.value(now, plainMemory), u.waitedFor.value(now, plainMemory))
		// Responses that were not preceded by requests in flight tell nothing.
		if t := time.Duration(busy / served * float64(time.Second)); t > 0 {
			u.timePerReq = t
		}
	}
	if u.stalls(now, p.reportAge()) {
		u.stalled = true
	}
	if u.stalled || !u.member.eligible(now) || u.timePerReq == 0 {
		return
	}
	capacity := u.slots() / u.timePerReq.Seconds()
	v.slots += u.slots()
	v.inFlight += u.total
	v.capacity += capacity
	correction := (u.target(now, s.objective) - s.expected(now, u)) / p.drainTime().Seconds()
	u.rate = max(0, plainUtilization*capacity+correction)
	v.admitted += u.rate
}

// stalls reports whether an upstream has had requests for several times its usual time and
// has answered none. Fewer requests than it has slots may just be long ones.
func (u *plainUpstream) stalls(now time.Time, reportAge time.Duration) bool {
	if u.busySince.IsZero() || u.timePerReq == 0 || u.total < u.slots() {
		return false
	}
	silent := now.Sub(latest(u.busySince, u.progressAt))
	return silent > max(minStall, stallFactor*u.timePerReq)+reportAge
}

// reportAge returns how old the state known from the reports of others may be.
func (p *PlainLoads) reportAge() time.Duration {
	if p.reporting == 0 {
		return 0
	}
	return p.interval + plainReportDelay
}

// trust returns how much the reported requests in flight say about the present ones, between
// 0 and 1. Among many gateways reports are older than the time that requests stay.
func (p *PlainLoads) trust(objective time.Duration) float64 {
	if p.reporting == 0 {
		return 1
	}
	age := p.interval/2 + plainReportDelay
	return min(1, objective.Seconds()/age.Seconds())
}

// expected returns the expected number of requests in flight at an upstream. What reports do
// not tell is assumed to be as it should be.
func (s *plainService) expected(now time.Time, u *plainUpstream) float64 {
	if s.view.trust == 1 {
		return u.total
	}
	return s.view.trust*u.total + (1-s.view.trust)*u.target(now, s.objective)
}

// drainTime returns the time over which a backlog is brought to its target.
func (p *PlainLoads) drainTime() time.Duration {
	return max(minDrainTime, drainDelays*p.reportAge())
}

// queueable returns how many requests an upstream works off in a part of the time that an
// objective leaves for queueing.
func (u *plainUpstream) queueable(objective time.Duration, part float64) float64 {
	if u.timePerReq == 0 {
		return 0
	}
	left := max(0, objective-u.timePerReq).Seconds()
	return part * left * u.slots() / u.timePerReq.Seconds()
}

// target returns the number of requests in flight that an upstream should have under
// pressure: its slots and a short queue, so that no slot is ever empty.
func (u *plainUpstream) target(now time.Time, objective time.Duration) float64 {
	n := u.slots() + u.queueable(objective, queueTargetPart)
	return min(n, max(u.slots(), ceilingTargetPart*u.ceilingNow(now)))
}

// limit returns the number of requests in flight beyond which an upstream gets no more.
func (u *plainUpstream) limit(now time.Time, objective time.Duration, part float64) float64 {
	return min(u.slots()+u.queueable(objective, part), u.ceilingNow(now))
}

// divide divides the admitted rate among the classes, the most urgent rank first. Requests of
// one rank get nearly the same part, because they are equally urgent. Requests that the capacity
// suffices for in the long run are admitted completely, while less urgent or repeatable ones can
// absorb the backlog and no upstream rejects requests. Backlogs, also those from errors of the
// shared view, are worked off at the expense of the repeatable ones, which come last within
// their rank.
func (s *plainService) divide(now time.Time, memory, drain time.Duration) {
	v := &s.view
	own, all := 0.0, 0.0
	for c := range v.byClass {
		mine := s.offered[c].rate(now, memory)
		v.byClass[c] = mine + s.others[c]
		own += mine
		all += v.byClass[c]
	}
	rejects := !s.rejectedAt.IsZero() && now.Sub(s.rejectedAt) < pressureMemory
	v.share = 1
	if all > 0 {
		v.share = max(own/all, minPlainShare)
	}
	// Requests that wait here are served before new ones.
	left, sum := v.admitted-float64(len(s.waiting))/v.share/drain.Seconds(), 0.0
	for c := 0; c < plainClasses; c += 2 {
		once, repeatable := v.byClass[c], v.byClass[c+1]
		d := once + repeatable
		sum += d
		if c < plainClasses/2 {
			v.demand += d
		}
		lasting := rejects || sum > sustainableUtilization*v.capacity
		switch {
		case left > 0 && d <= left, !lasting && all-sum >= absorbingPart*v.capacity:
			v.fraction[c], v.fraction[c+1] = 1, 1
		case !lasting && repeatable > 0 && all-sum+repeatable >= absorbingPart*v.capacity:
			v.fraction[c], v.fraction[c+1] = 1, max(0, left-once)/repeatable
		default:
			steady := sustainableUtilization*v.capacity - (sum - d)
			v.fraction[c], v.fraction[c+1] = divideRank(max(0, left), steady, once, repeatable)
		}
		left -= d
	}
}

// oncePrecedence is by how much the admitted part of the requests that may run only once
// exceeds that of the other requests of their rank.
const oncePrecedence = 0.04

// divideRank divides a rate that does not suffice for the requests of a rank. It returns the
// parts to admit of those that may run only once and of the repeatable ones. What the rate
// lacks of the steady one, because a backlog is being worked off, is taken from the repeatable
// requests: they absorb the errors of the shared view.
func divideRank(rate, steady, once, repeatable float64) (oncePart, repeatablePart float64) {
	if once+repeatable == 0 {
		return 0, 0
	}
	if once == 0 || repeatable == 0 {
		part := rate / (once + repeatable)
		return part, part
	}
	steady = min(max(rate, steady), once+repeatable)
	repeatablePart = max(0, steady/(once+repeatable)-oncePrecedence-(steady-rate)/repeatable)
	oncePart = min(1, (rate-repeatablePart*repeatable)/once)
	return oncePart, repeatablePart
}

// minPlainShare is the least share of the capacity that a gateway assumes for itself. One
// that had no requests lately may send the next one.
const minPlainShare = 0.01

// underPressure reports whether requests compete for the service.
func (s *plainService) underPressure(now time.Time) bool {
	if !s.rejectedAt.IsZero() && now.Sub(s.rejectedAt) < pressureMemory {
		return true
	}
	slots, total := 0.0, 0.0
	for _, u := range s.upstreams {
		if u.stalled || !u.member.eligible(now) {
			continue
		}
		slots += u.slots()
		total += u.total
	}
	return total > slots/2 && total >= 1
}

// trialDue reports whether this gateway may send a trial request to a stalled upstream: no
// gateway has one there, and its own turn has come.
func (p *PlainLoads) trialDue(now time.Time, u *plainUpstream) bool {
	if !u.stalled || u.trial || u.emptySince.IsZero() {
		return false
	}
	// Each empty period has another order of the gateways.
	order := math.Mod(p.phase+float64(u.emptySince.UnixMilli()%997)*math.Phi, 1)
	spread := time.Duration(order * float64(p.reporting+1) * float64(trialSpread))
	return now.Sub(u.emptySince) >= spread
}

// PlainLevels is the state of a plain service as known to a gateway.
type PlainLevels struct {
	Service  wardturn.ServiceName
	Shared   bool    // the gateway hears others, or is the only one
	Capacity float64 // requests per second
	Demand   float64 // requests per second that all gateways are offered
	InFlight float64 // requests of all gateways at usable upstreams
	Waiting  int     // requests that wait in this gateway
}

// Levels returns the state of the plain services.
func (p *PlainLoads) Levels() []PlainLevels {
	var list []PlainLevels
	for name, s := range p.services {
		list = append(list, PlainLevels{
			Service:  name,
			Shared:   s.view.active,
			Capacity: s.view.capacity,
			Demand:   s.view.demand,
			InFlight: s.view.inFlight,
			Waiting:  len(s.waiting),
		})
	}
	return list
}
