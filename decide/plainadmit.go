package decide

import (
	"slices"
	"time"

	"wardturn"
)

const (
	// maxPlainWaiting bounds the requests that wait in a gateway for one service.
	maxPlainWaiting = 256
	// maxToReturn bounds the remembered times at which refused callers come back.
	maxToReturn = 256
	// waitingPace is the rate at which a gateway sends waiting requests, relative to its part
	// of the admitted rate. At its part alone, a queue that a burst leaves would stay.
	waitingPace = 2
	// maxPace bounds the waiting requests that a gateway sends at once.
	maxPace = 3
	// retrySpread is the spread of a predicted retry time, as a fraction of it.
	retrySpread = 0.5
	// minOwnLimit lets a gateway send a request at a time.
	minOwnLimit = 1
	// aloneDecrease is the factor on this gateway's own limit at an upstream that rejects a
	// request while no other gateway is heard, and aloneGrowth its growth per second.
	aloneDecrease = 0.7
	aloneGrowth   = 0.5
)

// admitPlain assigns an upstream of a plain service to a request, lets it wait, or refuses
// it. Without a shared view, or without pressure, the request goes to the cheapest upstream.
func (f *Fleet) admitPlain(now time.Time, r *PendingRequest) {
	s := f.plain.service(r.Service)
	f.plain.refresh(now, s)
	s.classify(now, r)
	if len(r.Tried) == 0 {
		s.offered[r.class].add(now, f.plain.demandMemory(), 1)
	}
	if !s.view.active {
		f.admitPlainAlone(now, r)
		return
	}
	if f.admitUnpressured(now, s, r) || f.tryTrial(now, s, r) {
		return
	}
	if reason, retryAfter, none := f.refusedByLimits(now, r); none {
		f.refusePlain(now, s, r, reason, retryAfter)
		return
	}
	if !s.selects(r) {
		f.refusePlain(now, s, r, f.unavailableReason(now, r), s.retryDelay(now, r, f.cfg.Random()))
		return
	}
	if len(s.waiting) == 0 || before(r, s.waiting[0]) {
		if m := f.weightedMember(now, s, r, queueMaxPart); m != nil {
			f.assign(now, r, m, 0)
			return
		}
	}
	if !f.waitPlain(now, s, r) {
		f.refusePlain(now, s, r, f.unavailableReason(now, r), s.retryDelay(now, r, f.cfg.Random()))
	}
}

// classify sets the class of a request and its digest. A request that was refused before,
// here or at another gateway, keeps the objective of its first attempt.
func (s *plainService) classify(now time.Time, r *PendingRequest) {
	if s.objective == 0 || r.Objective <= s.objective || now.Sub(s.objectiveAt) > objectiveMemory {
		s.objective = r.Objective
		s.objectiveAt = now
	}
	late := false
	if r.Content != "" {
		r.digest = PlainDigest(string(r.Content))
		if ret, refused := s.returning[r.digest]; refused && !ret.used && len(r.Tried) == 0 {
			ret.used = true
			s.returning[r.digest] = ret
			late = now.Add(s.view.timePerReq).After(ret.at.Add(r.Objective))
		}
	}
	r.class = plainClassOf(r.Urgency.Rank, r.Repeatable, late)
}

// selects reports whether a request belongs to the admitted fraction of its class. The
// excess is spread evenly over the requests. A request that was sent once counts as admitted.
func (s *plainService) selects(r *PendingRequest) bool {
	if len(r.Tried) > 0 {
		return true
	}
	credit := &s.credit[r.class]
	*credit += s.view.fraction[r.class]
	if *credit < 1 {
		return false
	}
	*credit--
	return true
}

// admitPlainAlone admits a request by what this gateway knows by itself.
func (f *Fleet) admitPlainAlone(now time.Time, r *PendingRequest) {
	m := f.plainMember(now, r, func(m *Member) bool {
		return m.utilization() < 1
	})
	if m == nil {
		m = f.plainMember(now, r, func(m *Member) bool {
			return m.utilization() < plainFillLimit
		})
	}
	if m != nil {
		f.assign(now, r, m, 0)
		return
	}
	s := f.plain.service(r.Service)
	if reason, retryAfter, none := f.refusedByLimits(now, r); none {
		f.refusePlain(now, s, r, reason, retryAfter)
		return
	}
	f.refusePlain(now, s, r, f.unavailableReason(now, r), fullRetryAfter)
}

// ownLimitNow returns this gateway's own limit of its requests in flight.
func (u *plainUpstream) ownLimitNow(now time.Time) float64 {
	bound := plainFillLimit * u.slots()
	if u.ownLimit == 0 {
		return bound
	}
	return min(bound, u.ownLimit+aloneGrowth*now.Sub(u.ownLimitAt).Seconds())
}

// lowerOwnLimit lowers this gateway's own limit after a rejection.
func (u *plainUpstream) lowerOwnLimit(now time.Time) {
	u.ownLimit = max(minOwnLimit, aloneDecrease*min(float64(u.inFlight), u.ownLimitNow(now)))
	u.ownLimitAt = now
}

// admitUnpressured assigns the cheapest upstream to a request if the service is not under
// pressure, and reports whether it did.
func (f *Fleet) admitUnpressured(now time.Time, s *plainService, r *PendingRequest) bool {
	if s.view.fraction[r.class] < 1 || len(s.waiting) > 0 || s.underPressure(now) {
		return false
	}
	m := f.cheapestMember(now, f.services[r.Service], func(m *Member) bool {
		return f.takesPlain(now, m, r) && !m.plain.stalled && m.plain.total < m.plain.slots()
	})
	if m == nil {
		return false
	}
	f.assign(now, r, m, 0)
	return true
}

// tryTrial sends a request to a stalled upstream to find out whether it answers again. Only
// a request that may be repeated is used, unless the service has none.
func (f *Fleet) tryTrial(now time.Time, s *plainService, r *PendingRequest) bool {
	if !r.Repeatable && s.hasRepeatable() {
		return false
	}
	for _, u := range s.upstreams {
		if f.plain.trialDue(now, u) && f.takesPlain(now, u.member, r) {
			u.trial = true
			f.assign(now, r, u.member, 0)
			return true
		}
	}
	return false
}

// hasRepeatable reports whether the service gets requests that may be repeated.
func (s *plainService) hasRepeatable() bool {
	for c, d := range s.view.byClass {
		if PlainClass(c).repeatable() && d > minPlainRate {
			return true
		}
	}
	return false
}

// takesPlain reports whether a request may be sent to an upstream, whatever its load.
func (f *Fleet) takesPlain(now time.Time, m *Member, r *PendingRequest) bool {
	return m.plain != nil && m.usable(now, r.Tried) && f.allows(m, r.restriction()) && f.bodyFits(m, r) && f.limits.Allows(now, m.ID)
}

// weightedMember returns the upstream for the next request, in proportion to the rates that
// the upstreams should get, or nil if none has room. An upstream has room if its queue takes
// less than a part of the time that the objective leaves. The shortest response in the shared
// view would be the same upstream at all gateways for as long as a report takes.
func (f *Fleet) weightedMember(now time.Time, s *plainService, r *PendingRequest, part float64) *Member {
	var best *plainUpstream
	sum := 0.0
	for _, u := range s.upstreams {
		if u.rate <= 0 || s.expected(now, u) >= u.limit(now, s.objective, part) || !f.takesPlain(now, u.member, r) {
			continue
		}
		sum += u.rate
		if best == nil || u.credit+u.rate/s.view.admitted > best.credit+best.rate/s.view.admitted {
			best = u
		}
	}
	if best == nil {
		return nil
	}
	for _, u := range s.upstreams {
		u.credit = min(1, u.credit+u.rate/s.view.admitted)
	}
	best.credit = max(-1, best.credit-sum/s.view.admitted)
	return best.member
}

// before reports whether a request goes before another one.
func before(x, y *PendingRequest) bool {
	if x.class != y.class {
		return x.class < y.class
	}
	return x.Deadline.Before(y.Deadline)
}

// waitPlain queues a request if it is expected to be sent early enough, and reports whether
// it did. If the queue is full the last request gives way.
func (f *Fleet) waitPlain(now time.Time, s *plainService, r *PendingRequest) bool {
	i, _ := slices.BinarySearchFunc(s.waiting, r, func(x, y *PendingRequest) int {
		if before(y, x) {
			return 1
		}
		return -1
	})
	if !s.inTimeAt(now, r, i+1) || i >= maxPlainWaiting || !f.anyTakesPlain(now, s, r) {
		return false
	}
	s.waiting = slices.Insert(s.waiting, i, r)
	r.plainWaiting = true
	if len(s.waiting) > maxPlainWaiting {
		last := s.waiting[maxPlainWaiting]
		s.waiting = s.waiting[:maxPlainWaiting]
		last.plainWaiting = false
		f.refusePlain(now, s, last, wardturn.ReasonQueueFull, s.retryDelay(now, last, f.cfg.Random()))
	}
	return true
}

// inTimeAt reports whether a request is expected to be in time at a position of the queue.
func (s *plainService) inTimeAt(now time.Time, r *PendingRequest, position int) bool {
	rate := waitingPace * s.view.admitted * s.view.share
	if rate <= 0 {
		return false
	}
	wait := time.Duration(max(0, float64(position)-s.pace) / rate * float64(time.Second))
	return !s.expired(now.Add(wait), r)
}

// expired reports whether a waiting request can no longer be in time, or not be served before
// its deadline.
func (s *plainService) expired(now time.Time, r *PendingRequest) bool {
	end := r.Arrived.Add(r.Objective)
	if !r.Deadline.IsZero() && r.Deadline.Before(end) {
		end = r.Deadline
	}
	return now.Add(s.view.timePerReq).After(end)
}

// timeLeftPart returns how much is left of the time that a request may queue, from 0 to 1.
func (s *plainService) timeLeftPart(now time.Time, r *PendingRequest) float64 {
	mayQueue := r.Objective - s.view.timePerReq
	if mayQueue <= 0 {
		return 0
	}
	return max(0, 1-float64(now.Sub(r.Arrived))/float64(mayQueue))
}

// tickPlain assigns waiting requests, and refuses those that can no longer be in time.
func (f *Fleet) tickPlain(now time.Time) {
	f.plain.SetGateways(now, f.gateways)
	for _, s := range f.plain.services {
		if len(s.waiting) > 0 || now.Sub(s.viewAt) >= plainIdleView {
			f.assignPlainWaiting(now, s)
		}
	}
}

// plainIdleView is the interval at which the view is derived without requests.
const plainIdleView = 100 * time.Millisecond

// assignPlainWaiting assigns waiting requests while there is room, and refuses those that can
// no longer be in time. A gateway sends them at its share of the admitted rate, because all
// others see the same room.
func (f *Fleet) assignPlainWaiting(now time.Time, s *plainService) {
	f.plain.refresh(now, s)
	elapsed := max(0, now.Sub(s.pacedAt).Seconds())
	s.pacedAt = now
	s.pace = min(maxPace, s.pace+elapsed*waitingPace*s.view.admitted*s.view.share)
	f.expirePlain(now, s)
	// A request that must not go to the upstream that has room does not hold up the others.
	for i := 0; i < len(s.waiting) && s.pace >= 1; {
		r := s.waiting[i]
		m := f.weightedMember(now, s, r, queueMaxPart*s.timeLeftPart(now, r))
		if m == nil {
			i++
			continue
		}
		s.dropWaiting(r)
		s.pace--
		f.assign(now, r, m, 0)
	}
}

// anyTakesPlain reports whether some upstream that is not stalled may get a request.
func (f *Fleet) anyTakesPlain(now time.Time, s *plainService, r *PendingRequest) bool {
	for _, u := range s.upstreams {
		if !u.stalled && f.takesPlain(now, u.member, r) {
			return true
		}
	}
	return false
}

// expirePlain refuses the waiting requests that can no longer be in time. Without a shared
// view none waits; each is admitted by what this gateway knows by itself.
func (f *Fleet) expirePlain(now time.Time, s *plainService) {
	for i := 0; i < len(s.waiting); {
		r := s.waiting[i]
		if s.view.active && !s.expired(now, r) {
			i++
			continue
		}
		s.dropWaiting(r)
		if !s.view.active {
			f.admitPlainAlone(now, r)
			continue
		}
		f.refusePlain(now, s, r, f.unavailableReason(now, r), s.retryDelay(now, r, f.cfg.Random()))
	}
}

func (s *plainService) dropWaiting(r *PendingRequest) {
	r.plainWaiting = false
	if i := slices.Index(s.waiting, r); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
}

// refusePlain refuses a request. The other gateways learn its content with the next report.
func (f *Fleet) refusePlain(now time.Time, s *plainService, r *PendingRequest, reason wardturn.Reason, retryAfter time.Duration) {
	a := Assignment{
		Reason:     reason,
		RetryAfter: retryAfter,
	}
	if s.view.active {
		a.Capacity = s.view.capacity
		a.Demand = s.view.demand
	}
	if r.digest != 0 && s.view.active {
		s.refused = append(s.refused, plainRefusal{
			content: r.digest,
			at:      now,
		})
		s.noteRefused(now, r.digest)
	}
	r.Assign(a)
}

// retryDelay returns the time until there is room for a request, behind the callers that
// were told to come back before it. The parameter random is in [0, 1).
func (s *plainService) retryDelay(now time.Time, r *PendingRequest, random float64) time.Duration {
	s.toReturn = slices.DeleteFunc(s.toReturn, now.After)
	v := &s.view
	demand := 0.0
	for c := range min(int(r.class)+1, plainClasses/2) {
		demand += v.byClass[c]
	}
	delay := maxLoadRetryDelay
	if surplus := sustainableUtilization*v.capacity - demand; surplus > 0 {
		backlog := 0.0
		for _, u := range s.upstreams {
			if u.rate > 0 {
				backlog += max(0, u.total-u.target(now, s.objective))
			}
		}
		seconds := (backlog + float64(len(s.toReturn))/v.share) / surplus
		delay = time.Duration(min(seconds, maxLoadRetryDelay.Seconds()) * float64(time.Second))
	}
	delay += time.Duration(random * max(retrySpread*float64(delay), float64(v.timePerReq)))
	delay = min(max(delay, v.timePerReq), maxLoadRetryDelay)
	if len(s.toReturn) < maxToReturn && delay < maxLoadRetryDelay {
		s.toReturn = append(s.toReturn, now.Add(delay))
	}
	return delay
}
