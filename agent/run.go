package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn"
	"wardturn/control"
	"wardturn/decide"
	"wardturn/driver"
	"wardturn/peer"
)

// startRun runs an attempt that the core let go; the lock is held.
func (a *Agent) startRun(st decide.Start) {
	t := a.attempts[st.Attempt]
	if t == nil || t.ended {
		panic("agent: core started an attempt that has ended")
	}
	t.stalled = st.AdapterWait
	ctx, cancel := context.WithCancel(a.tasks.Context())
	t.cancel = cancel
	a.tasks.Go(func() {
		defer cancel()
		a.run(ctx, t)
	})
}

// run claims an attempt if it may not be repeated, gives it to the upstream and
// records the outcome.
func (a *Agent) run(ctx context.Context, t *attempt) {
	if !a.repeatable(t) {
		if outcome, ok := a.claim(ctx, t); !ok {
			a.ended(t, outcome)
			return
		}
	}
	if reason := a.beginSend(t); reason != wardturn.ReasonNone {
		a.ended(t, wardturn.Refused(reason, 0))
		return
	}
	if a.engine != nil {
		a.runEngine(ctx, t)
		return
	}
	a.runService(ctx, t)
}

// repeatable reports whether an attempt may run without a claim. The agent's
// own configuration counts beside the entry's, in case the entry is behind.
func (a *Agent) repeatable(t *attempt) bool {
	if !t.req.Repeatable {
		return false
	}
	if t.req.Service == "" {
		return true
	}
	return control.ServiceOf(a.replica, t.req.Service).Repeatable(t.req.Method)
}

// beginSend marks the attempt as possibly run, and tells the entry that it
// runs. From here on "not run" needs the upstream's word. It returns the reason for
// which the attempt must not be sent any more, if there is one: a claim takes time.
func (a *Agent) beginSend(t *attempt) wardturn.Reason {
	a.mu.Lock()
	defer a.mu.Unlock()
	late := !t.req.Deadline.IsZero() && !a.clock.Now().Before(t.req.Deadline)
	switch {
	case late:
		return wardturn.ReasonDeadline
	case a.outOfForce(t):
		return wardturn.ReasonStaleConfig
	case t.withdrawn, !a.ledger.Send(t.id):
		return wardturn.ReasonCanceled
	}
	if a.engine != nil {
		a.sendHead(t, 0, nil)
	}
	return wardturn.ReasonNone
}

// sendHead starts the answer; the lock is held.
func (a *Agent) sendHead(t *attempt, status int, header []wardturn.HeaderField) {
	t.head = &peer.Head{
		Attempt:     t.id,
		Status:      status,
		Header:      header,
		AdapterWait: t.stalled,
		TotalWait:   a.clock.Now().Sub(t.arrived),
	}
	a.flush(t)
}

// claim claims the attempt's key on the log and reports whether it may run.
func (a *Agent) claim(ctx context.Context, t *attempt) (wardturn.Outcome, bool) {
	res, err := a.claimer.Claim(ctx, control.Claim{
		Caller:  t.req.Caller,
		Key:     t.req.Key,
		Digest:  t.req.Digest,
		Created: t.req.KeyCreated,
		Attempt: t.id,

		Supersedes: t.supersedes,
	})
	switch {
	case err != nil:
		return wardturn.Refused(wardturn.ReasonLogUnavailable, time.Second), false
	case res.Claim.Digest != t.req.Digest:
		return wardturn.Refused(wardturn.ReasonKeyReused, 0), false
	case res.Claim.Attempt == t.id && res.TooOld:
		return wardturn.Refused(wardturn.ReasonKeyTooOld, 0), false
	case res.Claim.Attempt == t.id:
		return wardturn.Outcome{}, true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	t.first = res
	return wardturn.Refused(wardturn.ReasonDuplicate, 0), false
}

func (a *Agent) runEngine(ctx context.Context, t *attempt) {
	res, err := a.engine.Run(ctx, wardturn.EngineRequest{
		Attempt:  t.id,
		Adapter:  t.req.Adapter,
		Priority: int(t.req.Class),
		Prompt:   t.req.Prompt,
		Output:   t.req.Output,
		Path:     t.req.Path,
		Body:     t.req.Body,
	}, func(data []byte) error {
		return a.emit(ctx, t, data)
	})
	if errors.Is(err, wardturn.ErrNotLoaded) && a.again(t) {
		return
	}
	if err == nil && res.Adapter != t.req.Adapter {
		err = driver.ErrWrongVersion
	}
	a.ended(t, a.outcomeOf(t, err))
}

// again lets an attempt wait again whose adapter the engine turned out not to
// hold. It did not run.
func (a *Agent) again(t *attempt) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(t.buf) > 0 || a.leaving {
		return false
	}
	a.ledger.Requeue(t.id)
	t.head = nil
	t.headSent = false
	a.do(func(now time.Time, out *decide.Orders) {
		a.core.NotLoaded(now, t.id, out)
	})
	return true
}

func (a *Agent) runService(ctx context.Context, t *attempt) {
	res, err := a.service.Call(ctx, t.req)
	if err == nil {
		a.mu.Lock()
		a.sendHead(t, res.Status, res.Header)
		a.mu.Unlock()
		err = a.emit(ctx, t, res.Body)
	}
	a.ended(t, a.outcomeOf(t, err))
}

// outcomeOf turns a driver's error into an outcome.
func (a *Agent) outcomeOf(t *attempt, err error) wardturn.Outcome {
	switch {
	case err == nil:
		return wardturn.Finished()
	case errors.Is(err, wardturn.ErrNotStarted), errors.Is(err, wardturn.ErrNotLoaded):
		return wardturn.Refused(wardturn.ReasonRefused, time.Second)
	case errors.Is(err, driver.ErrWrongVersion):
		return wardturn.Uncertain(wardturn.ReasonWrongVersion)
	case errors.Is(err, context.Canceled):
		return wardturn.Uncertain(wardturn.ReasonCanceled)
	}
	a.logger.Warn("upstream failed", "request", t.req.ID, "attempt", t.id, "adapter", t.req.Adapter, "error", err)
	return wardturn.Uncertain(wardturn.ReasonUpstreamLost)
}

// ended records the end of an attempt that the core had started.
func (a *Agent) ended(t *attempt, outcome wardturn.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return // whoever asks again learns that this process is gone
	}
	a.do(func(now time.Time, out *decide.Orders) {
		a.core.Finished(now, t.id, out)
	})
	a.finish(t, outcome)
	a.checkIdle()
}
