package gateway

import (
	"cmp"
	"context"

	"wardturn/decide"
)

// acquire waits until an upstream is assigned to the request. It reports false if no
// upstream can take the request or the caller is gone.
func (x *exchange) acquire(ctx context.Context) (assignment, bool) {
	got := make(chan assignment, 1)
	t := &decide.Ticket{
		Service:   x.service,
		Key:       x.key,
		Arrived:   x.arrived,
		Objective: cmp.Or(x.route.Objective, defaultObjective),
		Pause:     x.route.MaxPause,
		Deadline:  x.end,
		Prompt:    x.prompt,
		Body:      len(x.body),
		Bytes:     len(x.body) + answerGuess,
		Tried:     x.tried,
		Regions:   x.regions,
		Assign: func(a assignment) {
			got <- a
		},
	}
	x.g.admit(t)
	select {
	case a := <-got:
		return x.assigned(a)
	case <-ctx.Done():
	}
	x.g.withdraw(t)
	select {
	case a := <-got: // assigned just before the ticket was withdrawn
		if a.Member.ID != "" {
			x.reading = a.Member.ID
			x.putBack(a)
		}
	default:
	}
	return assignment{}, false
}

// putBack releases an assignment to whose upstream nothing was sent.
func (x *exchange) putBack(a assignment) {
	x.began(a)
	x.g.ended(a.Member.ID, x.key, len(x.body), decide.EndedUnseen)
}

// assigned records the assignment, or the reason why no upstream was assigned. It
// reports whether there is an upstream.
func (x *exchange) assigned(a assignment) (assignment, bool) {
	if a.Member.ID != "" {
		x.reading = a.Member.ID
		return a, true
	}
	x.refusal = &refusal{
		reason:     a.Reason,
		retryAfter: a.RetryAfter,
	}
	return a, false
}
