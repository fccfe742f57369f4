package entry

import (
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

// newerLimit is how long a request waits for the configuration by which an agent found
// that another version is in force than it was sent for.
const newerLimit = time.Second

// exchange is one request of a caller on its way through the upstreams.
type exchange struct {
	entry    *Entry
	req      wardturn.Request
	model    wardturn.BaseModel
	newest   bool            // the caller asked for the version in force
	config   wardturn.Offset // by which the request was read
	stream   bool            // the caller wants the answer as it comes
	arrived  time.Time
	tried    []wardturn.UpstreamID
	upstream wardturn.UpstreamID // of the present attempt
	call     *call
	head     *peer.Head
	outcome  wardturn.Outcome
	ended    bool
	passed   int64 // bytes given to the caller
	firstAt  time.Time
	spare    []byte
	attempts int

	renewals   int // of the version
	takeOvers  int
	supersedes wardturn.AttemptID // the latest attempt known not to have run
}

// advance goes on until there is data to pass on or the request has ended. The
// data is valid until the next call.
func (x *exchange) advance() (data []byte, ended bool) {
	for !x.ended {
		if x.call == nil && !x.begin() {
			break
		}
		st := x.call.take(x.spare)
		x.spare = st.data
		x.head = st.head
		if len(st.data) > 0 {
			if x.passed == 0 {
				x.firstAt = x.now()
			}
			x.passed += int64(len(st.data))
			x.call.credit()
			return st.data, false
		}
		x.settle(st)
	}
	return nil, true
}

// settle decides what a state without data means, and waits if nothing.
func (x *exchange) settle(st state) {
	switch {
	case st.whole:
		x.finish(wardturn.Finished(), true)
	case st.end != nil && st.end.Outcome.Kind == wardturn.Done:
		// Ended, and bytes are missing that the agent said it sent.
		x.finish(wardturn.Uncertain(wardturn.ReasonUpstreamLost), false)
	case st.end != nil:
		x.onEnd(st.end)
	case st.lost && x.now().Sub(st.since) >= x.entry.cfg.AttachLimit:
		x.onOutcome(wardturn.Uncertain(wardturn.ReasonUpstreamLost), false)
	case x.late():
		x.call.cancel()
		x.finish(wardturn.Uncertain(wardturn.ReasonDeadline), true)
	default:
		x.wait(st)
	}
}

func (x *exchange) now() time.Time {
	return x.entry.clock.Now()
}

func (x *exchange) late() bool {
	return !x.req.Deadline.IsZero() && x.now().After(x.req.Deadline.Add(x.entry.cfg.DeadlineGrace))
}

// wait sleeps until something arrives, or until a limit may have passed.
func (x *exchange) wait(st state) {
	limit := time.Minute
	if st.lost {
		limit = x.entry.cfg.AttachLimit - x.now().Sub(st.since)
	}
	if !x.req.Deadline.IsZero() {
		limit = min(limit, x.req.Deadline.Add(x.entry.cfg.DeadlineGrace).Sub(x.now()))
	}
	woken := make(chan struct{})
	timer := x.entry.clock.AfterFunc(limit+time.Millisecond, func() {
		close(woken)
	})
	defer timer.Stop()
	select {
	case <-x.call.wake:
	case <-woken:
	}
}

// begin starts an attempt at an upstream and reports false when there is none.
func (x *exchange) begin() bool {
	for {
		id, ok := x.entry.pick(x)
		if !ok {
			x.refuse()
			return false
		}
		x.tried = append(x.tried, id)
		if x.submit(id) {
			return true
		}
		x.entry.routed(id, false)
		if !x.mayTryAgain() {
			x.finishUnsent(wardturn.Refused(wardturn.ReasonUnreachable, time.Second))
			return false
		}
	}
}

// refuse ends a request for which no upstream is left. What an earlier attempt
// said counts more than that there is no other.
func (x *exchange) refuse() {
	if x.outcome.Kind == 0 {
		x.outcome = wardturn.Refused(wardturn.ReasonNoUpstream, time.Second)
	}
	x.ended = true
}

func (x *exchange) finishUnsent(outcome wardturn.Outcome) {
	x.outcome = outcome
	x.ended = true
}

// submit sends the attempt. It reports false if nothing was sent.
func (x *exchange) submit(id wardturn.UpstreamID) bool {
	l := x.entry.link(id)
	if l == nil {
		return false
	}
	conn := l.wait(x.entry.cfg.ConnectLimit)
	if conn == nil {
		return false
	}
	k := newCall(x.entry.nextAttempt(), l, conn)
	l.add(k)
	if err := conn.Send(x.message(k)); err != nil {
		l.remove(k)
		return false
	}
	x.upstream = id
	x.call = k
	x.attempts++
	return true
}

func (x *exchange) message(k *call) *peer.Submit {
	m := &peer.Submit{
		Attempt:    k.id,
		Request:    x.req.ID,
		Caller:     x.req.Caller,
		Team:       x.req.Team,
		Class:      x.req.Class,
		Adapter:    x.req.Adapter,
		Newest:     x.newest,
		Service:    x.req.Service,
		Prompt:     x.req.Prompt,
		Output:     x.req.Output,
		Repeatable: x.req.Repeatable,
		Key:        x.req.Key,
		KeyCreated: x.req.KeyCreated,
		Digest:     x.req.Digest,
		Method:     x.req.Method,
		Path:       x.req.Path,
		Header:     x.req.Header,
		Body:       x.req.Body,
		Supersedes: x.supersedes,
		Config:     x.config,
		Credit:     peer.CreditWindow,
	}
	if !x.req.Deadline.IsZero() {
		m.TimeLeft = max(x.req.Deadline.Sub(x.now()), time.Millisecond)
	}
	return m
}

// onEnd takes an agent's word that is not Done.
func (x *exchange) onEnd(end *peer.End) {
	if end.Outcome.Reason == wardturn.ReasonDuplicate && end.FirstAttempt != (wardturn.AttemptID{}) {
		x.follow(end)
		return
	}
	notRun := end.Outcome.Kind == wardturn.NotRun
	if notRun && end.Config > 0 {
		x.renewVersion(end)
		return
	}
	if notRun && end.Outcome.Reason != wardturn.ReasonKeyInProgress {
		x.supersedes = x.call.id
		if x.call.follows {
			x.takeOver(end.Outcome)
			return
		}
	}
	x.onOutcome(end.Outcome, notRun)
}

// renewVersion starts anew on the version in force, after an agent has seen a newer
// one accepted than the request was sent for.
func (x *exchange) renewVersion(end *peer.End) {
	x.endAttempt(true)
	x.outcome = end.Outcome
	x.renewals++
	if x.renewals > x.entry.cfg.Tries || x.late() || !x.catchUp(end.Config) {
		x.ended = true
		return
	}
	x.config = x.entry.replica.Applied()
	ref, model, ok := x.entry.catalog.Resolve(wardturn.AdapterRef{
		Adapter: x.req.Adapter.Adapter,
	})
	if !ok {
		x.ended = true
		return
	}
	x.req.Adapter = ref
	x.model = model
	x.req.Body = renameModel(x.req.Body, ref, x.req.Class)
	x.tried = nil
}

// catchUp waits until the entry has a configuration and reports whether it has.
func (x *exchange) catchUp(config wardturn.Offset) bool {
	ctx, cancel := x.entry.tasks.Limit(newerLimit)
	defer cancel()
	return x.entry.replica.WaitFor(ctx, config) == nil
}

// onOutcome tries elsewhere if that is allowed, and ends the request if not.
func (x *exchange) onOutcome(outcome wardturn.Outcome, healthy bool) {
	x.endAttempt(healthy)
	x.outcome = outcome
	if !x.repeats(outcome) || !x.mayTryAgain() {
		x.ended = true
	}
}

// repeats reports whether an outcome allows another attempt.
func (x *exchange) repeats(outcome wardturn.Outcome) bool {
	if x.passed > 0 {
		return false
	}
	switch outcome.Kind {
	case wardturn.Unknown:
		return x.req.Repeatable && outcome.Reason != wardturn.ReasonCanceled
	case wardturn.NotRun:
		return movable(outcome.Reason)
	}
	return false
}

// movable reports whether another upstream may have a better answer.
func movable(r wardturn.Reason) bool {
	switch r {
	case wardturn.ReasonLeaving, wardturn.ReasonQueueFull, wardturn.ReasonRefused, wardturn.ReasonUnreachable, wardturn.ReasonStaleConfig:
		return true
	}
	return false
}

// mayTryAgain reports whether number of tries, deadline and retry budget allow
// another attempt.
func (x *exchange) mayTryAgain() bool {
	if len(x.tried) >= x.entry.cfg.Tries || x.late() {
		return false
	}
	x.entry.routerMu.Lock()
	defer x.entry.routerMu.Unlock()
	return x.entry.retries.Retry(x.now())
}

func (x *exchange) finish(outcome wardturn.Outcome, healthy bool) {
	x.endAttempt(healthy)
	x.outcome = outcome
	x.ended = true
}

func (x *exchange) endAttempt(healthy bool) {
	x.call.link.remove(x.call)
	x.entry.routed(x.upstream, healthy)
	x.call = nil
}

// abandon ends a request whose caller went away.
func (x *exchange) abandon() {
	if x.ended {
		return
	}
	x.call.cancel()
	x.finish(wardturn.Uncertain(wardturn.ReasonCanceled), true)
}

// follow asks for the answer of the attempt that claimed the key first.
func (x *exchange) follow(end *peer.End) {
	x.endAttempt(true)
	x.outcome = wardturn.Uncertain(wardturn.ReasonDuplicate)
	l := x.entry.link(end.FirstUpstream)
	if l == nil {
		x.ended = true
		return
	}
	conn := l.wait(x.entry.cfg.ConnectLimit)
	if conn == nil {
		x.ended = true
		return
	}
	x.entry.routerMu.Lock()
	x.entry.router.RequestSent(end.FirstUpstream)
	x.entry.routerMu.Unlock()
	x.upstream = end.FirstUpstream
	x.call = newFollower(end, l, conn)
	l.add(x.call)
	x.call.ask()
}

// takeOver starts anew after the attempt that had claimed the key turned out not
// to have run. Its claim is superseded; any upstream may run the request.
func (x *exchange) takeOver(outcome wardturn.Outcome) {
	x.endAttempt(true)
	x.outcome = outcome
	x.takeOvers++
	if x.takeOvers > x.entry.cfg.Tries {
		x.ended = true
		return
	}
	x.tried = nil
}

// pick chooses an upstream and counts the request there.
func (e *Entry) pick(x *exchange) (wardturn.UpstreamID, bool) {
	e.routerMu.Lock()
	defer e.routerMu.Unlock()
	now := e.clock.Now()
	id, ok := e.router.Pick(now, decide.RouteRequest{
		Adapter: x.req.Adapter,
		Service: x.req.Service,
		Model:   x.model,
		Tried:   x.tried,
	})
	if ok {
		e.router.RequestSent(id)
	}
	return id, ok
}

// routed records the end of an attempt for the router.
func (e *Entry) routed(id wardturn.UpstreamID, healthy bool) {
	e.routerMu.Lock()
	defer e.routerMu.Unlock()
	e.router.RequestEnded(e.clock.Now(), id, healthy)
}
