package gateway

import (
	"cmp"
	"context"
	"time"

	"wardturn/decide"
)

// acquire waits until an upstream is assigned to the request. It reports false if no
// upstream can take the request or the caller is gone.
func (x *exchange) acquire(ctx context.Context) (assignment, bool) {
	got := make(chan assignment, 1)
	r := &decide.PendingRequest{
		Service:   x.service,
		Key:       x.key,
		Arrived:   x.arrived,
		Objective: x.waitObjective(),
		MaxPause:  x.route.MaxPause,
		Deadline:  x.deadline,
		Prompt:    x.prompt,
		Streaming: x.route.Streaming,
		Body:      len(x.body),
		Bytes:     len(x.body) + responseSizeEstimate,
		Tried:     x.tried,
		Regions:   x.regions,
		Software:  x.software,
		Resumable: x.route.Resumable,
		Urgency:   x.urgency(),

		Repeatable: x.repeatable(),
		Content:    x.content,
		Assign: func(a assignment) {
			got <- a
		},
	}
	x.g.admit(r)
	if a, ok := x.awaitAssignment(ctx, got); ok {
		return x.handleAssignment(a)
	}
	x.g.withdraw(r)
	select {
	case a := <-got: // assigned just before the request was withdrawn
		if a.Member.ID != "" {
			x.setAssigned(a)
			x.releaseAssignment(a)
		}
	default:
	}
	return assignment{}, false
}

// maxResumeWait is how long a request that resumes a stream may wait for an upstream. Callers
// give a stream up after a gap of 2 s or more.
const maxResumeWait = 2 * time.Second

// waitObjective returns how long the request may wait for the start of a response. The
// objective of the route is that of a first event, which the caller of a resumed stream has
// already; a refusal may end its stream.
func (x *exchange) waitObjective() time.Duration {
	objective := x.objective()
	if !x.resumes() {
		return objective
	}
	return max(objective, min(x.deadline.Sub(x.arrived), maxResumeWait))
}

// objective returns the time within which the route aims to answer, or begin to.
func (x *exchange) objective() time.Duration {
	return cmp.Or(x.route.Objective, defaultObjective)
}

// releaseAssignment releases an assignment for which nothing was sent.
func (x *exchange) releaseAssignment(a assignment) {
	x.endPrefill(a)
	x.g.endSend(x, a, decide.OutcomeUnknown)
}

// handleAssignment records the assignment, or the reason why no upstream was assigned. It
// reports whether there is an upstream.
func (x *exchange) handleAssignment(a assignment) (assignment, bool) {
	if a.Member.ID != "" {
		x.setAssigned(a)
		x.g.metrics.assigned(x.priority(), x.g.clock.Now().Sub(x.arrived))
		return a, true
	}
	x.refusal = &refusal{
		reason:     a.Reason,
		retryAfter: a.RetryAfter,
		predicted:  a.Predicted,
		capacity:   a.Capacity,
		demand:     a.Demand,
	}
	if !x.engine {
		x.g.metrics.plainRefused(x.service, x.priority())
	}
	return a, false
}

// setAssigned records what has to be undone when the prefill at an upstream ends.
func (x *exchange) setAssigned(a assignment) {
	x.prefilling = a.Member.ID
	x.registered = a.Turn
}

// urgency returns what the request's order among others depends on.
func (x *exchange) urgency() decide.Urgency {
	u := decide.Urgency{
		Rank:     x.priority(),
		Since:    x.arrived,
		LateAt:   x.arrived.Add(x.objective()),
		Deadline: x.deadline,
	}
	if x.team != nil {
		u.Team = x.team.ID
	}
	return u
}
