package decide_test

import (
	"fmt"
	"math"
	"time"

	"wardturn"
	"wardturn/decide"
)

func (x *replay) send(s *replaySend) {
	x.after(replayHop, func() {
		x.arrivals++
		if len(s.u.queue)+s.u.running >= replaySlots+x.queue {
			x.rejected++
			x.after(replayHop, func() {
				s.g.fleet.RefusedAsFull(x.now, s.u.member.ID, false)
				s.g.fleet.RequestEnded(x.now, s.u.member.ID, wardturn.ModelAdapter{}, decide.OutcomeOK)
				x.admit(s.caller, s.g, s.r.Arrived, append(s.r.Tried, s.u.member.ID))
			})
			return
		}
		s.u.queue = append(s.u.queue, s)
		x.serve(s.u)
		x.after(s.r.Deadline.Sub(x.now), func() {
			x.expire(s)
		})
	})
}

// expire ends a send whose deadline has passed.
func (x *replay) expire(s *replaySend) {
	if s.ended {
		return
	}
	s.ended = true
	s.caller.outcome = "lost"
	if s.begun {
		s.u.running--
	}
	for i, o := range s.u.queue {
		if o == s {
			s.u.queue = append(s.u.queue[:i:i], s.u.queue[i+1:]...)
			break
		}
	}
	s.g.fleet.RequestEnded(x.now, s.u.member.ID, wardturn.ModelAdapter{}, decide.OutcomeBroken)
}

func (x *replay) serve(u *replayUpstream) {
	for !u.hung && u.running < replaySlots && len(u.queue) > 0 {
		s := u.queue[0]
		u.queue = u.queue[1:]
		u.running++
		s.begun = true
		x.after(x.serviceTime(), func() {
			x.finish(s)
		})
	}
}

func (x *replay) serviceTime() time.Duration {
	mu := math.Log(replayMeanTime.Seconds()) - replaySpread*replaySpread/2
	return time.Duration(math.Exp(mu+replaySpread*x.rng.NormFloat64()) * float64(time.Second))
}

func (x *replay) finish(s *replaySend) {
	if s.ended {
		return
	}
	if s.u.hung {
		x.after(50*time.Millisecond, func() { x.finish(s) })
		return
	}
	s.ended = true
	s.u.running--
	x.serve(s.u)
	x.after(replayHop, func() {
		if s.g.gone {
			s.caller.outcome = "lost"
			return
		}
		s.g.fleet.ResponseTimed(x.now, s.u.member.ID, x.now.Sub(s.sentAt))
		s.g.fleet.RequestEnded(x.now, s.u.member.ID, wardturn.ModelAdapter{}, decide.OutcomeOK)
		s.caller.outcome = "done"
		s.caller.doneAt = x.now.Add(replayHop)
	})
}

// leave has an upstream leave the list. It serves what it has.
func (x *replay) leave(u *replayUpstream) {
	u.left = true
	for _, g := range x.gateways {
		x.after(time.Duration(x.rng.Float64()*float64(200*time.Millisecond)), func() {
			g.fleet.SetMembers(x.now, x.members())
		})
	}
}

// hang has an upstream accept requests and answer none for a time.
func (x *replay) hang(u *replayUpstream, d time.Duration) {
	u.hung = true
	x.after(d, func() {
		u.hung = false
		x.serve(u)
	})
}

// replayFigures are the results of callers that arrived in an interval.
type replayFigures struct {
	callers, inTime, late, refused, lost int
	inTimePart                           float64 // of the smaller of demand and capacity
	onceServed, repeatableServed         float64
	rejectedPart                         float64
}

func (f replayFigures) String() string {
	return fmt.Sprintf("callers %d in time %d late %d refused %d lost %d; in time %.3f of the possible; served once %.3f repeatable %.3f; rejected %.4f",
		f.callers, f.inTime, f.late, f.refused, f.lost, f.inTimePart, f.onceServed, f.repeatableServed, f.rejectedPart)
}

// figures returns the results of the callers of whole seconds that match. The parameter
// capacity returns the upstreams that serve in a second.
func (x *replay) figures(counts func(second int) bool, upstreams func(second int) float64) replayFigures {
	var f replayFigures
	arrived := make(map[int]int)
	once, onceServed, repeatable, repeatableServed := 0, 0, 0, 0
	for _, c := range x.callers {
		second := int(c.since.Sub(start) / time.Second)
		if !counts(second) {
			continue
		}
		arrived[second]++
		f.callers++
		switch {
		case c.inTime():
			f.inTime++
		case c.outcome == "done":
			f.late++
		case c.outcome == "refused":
			f.refused++
		default:
			f.lost++
		}
		done := 0
		if c.outcome == "done" {
			done = 1
		}
		if c.once {
			once++
			onceServed += done
		} else {
			repeatable++
			repeatableServed += done
		}
	}
	possible := 0.0
	for second, n := range arrived {
		possible += min(float64(n), upstreams(second)*replaySlots/replayMeanTime.Seconds())
	}
	f.inTimePart = float64(f.inTime) / possible
	f.onceServed = float64(onceServed) / float64(max(once, 1))
	f.repeatableServed = float64(repeatableServed) / float64(max(repeatable, 1))
	f.rejectedPart = float64(x.rejected) / float64(max(x.arrivals, 1))
	return f
}

// servedByRank returns the parts of the callers of rank 0 and of the others that were served,
// of those that arrived after the given second.
func (x *replay) servedByRank(after int) (urgent, other float64) {
	var callers, served [2]float64
	for _, c := range x.callers {
		if int(c.since.Sub(start)/time.Second) < after {
			continue
		}
		i := min(c.rank, 1)
		callers[i]++
		if c.outcome == "done" {
			served[i]++
		}
	}
	return served[0] / callers[0], served[1] / callers[1]
}
