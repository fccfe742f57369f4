package gateway

import (
	"cmp"
	"context"

	"wardturn/decide"
)

// acquire waits for an upstream. It reports false if there is none or nobody
// waits any more.
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
	case a := <-got: // assigned just before
		if a.Member.ID != "" {
			x.reading = a.Member.ID
			x.putBack(a)
		}
	default:
	}
	return assignment{}, false
}

// putBack gives up an assignment to which nothing was sent.
func (x *exchange) putBack(a assignment) {
	x.began(a)
	x.g.ended(a.Member.ID, x.key, len(x.body), decide.EndedUnseen)
}

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
