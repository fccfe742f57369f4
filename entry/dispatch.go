package entry

import (
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

// configWaitTimeout is how long a request that was sent for an outdated adapter version
// waits until the entry has the newer configuration that the agent reported.
const configWaitTimeout = time.Second

// exchange is a caller's request with its attempts at upstreams and the progress of its
// response.
type exchange struct {
	entry        *Entry
	req          wardturn.Request
	memory       *requestMemory // held until the request has ended
	model        wardturn.BaseModel
	newest       bool            // the caller asked for the current version of the adapter
	config       wardturn.Offset // configuration with which the request was resolved
	stream       bool            // the caller asked for a streamed response
	arrived      time.Time
	tried        []wardturn.UpstreamID
	upstream     wardturn.UpstreamID // of the current attempt
	attempt      *attempt
	head         *peer.Head
	outcome      wardturn.Outcome
	ended        bool
	forwarded    int64 // bytes forwarded to the caller
	firstByteAt  time.Time
	spareBuf     []byte
	attemptCount int

	versionRestarts int                // restarts with a newer version of the adapter
	takeovers       int                // restarts after a followed attempt that did not run
	supersedes      wardturn.AttemptID // latest attempt that is known not to have run
}

// advance runs the request until there is data to forward or the request has ended. The
// data is valid until the next call.
func (x *exchange) advance() (data []byte, ended bool) {
	for !x.ended {
		if x.attempt == nil && !x.startAttempt() {
			break
		}
		st := x.attempt.takeState(x.spareBuf)
		x.spareBuf = st.data
		x.head = st.head
		if len(st.data) > 0 {
			if x.forwarded == 0 {
				x.firstByteAt = x.now()
			}
			x.forwarded += int64(len(st.data))
			x.attempt.grantCredit()
			return st.data, false
		}
		x.handleState(st)
	}
	return nil, true
}

// handleState handles a state without new data: it ends the attempt or the request, or
// waits for the next change.
func (x *exchange) handleState(st attemptState) {
	switch {
	case st.complete:
		x.finishRequest(wardturn.Finished(), true)
	case st.end != nil && st.end.Outcome.Kind == wardturn.Done:
		// The attempt is done, but bytes that the agent reports as sent are missing.
		x.finishRequest(wardturn.Uncertain(wardturn.ReasonUpstreamLost), false)
	case st.end != nil:
		x.onAttemptEnd(st.end)
	case st.lost && x.now().Sub(st.lostSince) >= x.entry.cfg.ReattachTimeout:
		x.retryOrEnd(wardturn.Uncertain(wardturn.ReasonUpstreamLost), false)
	case x.pastDeadline():
		x.attempt.cancel()
		x.finishRequest(wardturn.Uncertain(wardturn.ReasonDeadline), true)
	default:
		x.waitForChange(st)
	}
}

func (x *exchange) now() time.Time {
	return x.entry.clock.Now()
}

func (x *exchange) pastDeadline() bool {
	return !x.req.Deadline.IsZero() && x.now().After(x.req.Deadline.Add(x.entry.cfg.DeadlineGrace))
}

// waitForChange blocks until the state of the attempt changes or the next timeout is due.
func (x *exchange) waitForChange(st attemptState) {
	timeout := time.Minute
	if st.lost {
		timeout = x.entry.cfg.ReattachTimeout - x.now().Sub(st.lostSince)
	}
	if !x.req.Deadline.IsZero() {
		timeout = min(timeout, x.req.Deadline.Add(x.entry.cfg.DeadlineGrace).Sub(x.now()))
	}
	timedOut := make(chan struct{})
	timer := x.entry.clock.AfterFunc(timeout+time.Millisecond, func() {
		close(timedOut)
	})
	defer timer.Stop()
	select {
	case <-x.attempt.wake:
	case <-timedOut:
	}
}

// startAttempt starts an attempt at an upstream. It reports false if the request ended
// because no upstream could be selected or reached.
func (x *exchange) startAttempt() bool {
	for {
		id, ok := x.entry.pickUpstream(x)
		if !ok {
			x.endWithoutUpstream()
			return false
		}
		x.tried = append(x.tried, id)
		if x.submit(id) {
			return true
		}
		x.entry.attemptEnded(id, false)
		if !x.retryAllowed() {
			x.finishUnsent(wardturn.Refused(wardturn.ReasonUnreachable, time.Second))
			return false
		}
	}
}

// endWithoutUpstream ends a request for which no upstream is available. The outcome of an
// earlier attempt takes precedence, because it says more than that there is no other
// upstream.
func (x *exchange) endWithoutUpstream() {
	if x.outcome.Kind == 0 {
		x.outcome = wardturn.Refused(wardturn.ReasonNoUpstream, time.Second)
	}
	x.ended = true
}

func (x *exchange) finishUnsent(outcome wardturn.Outcome) {
	x.outcome = outcome
	x.ended = true
}

// submit sends an attempt to the upstream's agent. It reports false if nothing was sent.
func (x *exchange) submit(id wardturn.UpstreamID) bool {
	l := x.entry.link(id)
	if l == nil {
		return false
	}
	conn := l.waitConn(x.entry.cfg.ConnectTimeout)
	if conn == nil {
		return false
	}
	a := newAttempt(x.entry.nextAttemptID(), l, conn)
	l.add(a)
	if err := conn.Send(x.submitMessage(a)); err != nil {
		l.remove(a)
		return false
	}
	x.upstream = id
	x.attempt = a
	x.attemptCount++
	return true
}

func (x *exchange) submitMessage(a *attempt) *peer.Submit {
	m := &peer.Submit{
		Attempt:    a.id,
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

// onAttemptEnd handles the end of an attempt whose outcome is not Done.
func (x *exchange) onAttemptEnd(end *peer.End) {
	if end.Outcome.Reason == wardturn.ReasonDuplicate && end.FirstAttempt != (wardturn.AttemptID{}) {
		x.follow(end)
		return
	}
	notRun := end.Outcome.Kind == wardturn.NotRun
	if notRun && end.Config > 0 {
		x.restartWithNewVersion(end)
		return
	}
	if notRun && end.Outcome.Reason != wardturn.ReasonKeyInProgress {
		x.supersedes = x.attempt.id
		if x.attempt.following {
			x.takeOverKey(end.Outcome)
			return
		}
	}
	x.retryOrEnd(end.Outcome, notRun)
}

// restartWithNewVersion restarts the request with the current version of the adapter,
// after an agent reported that a newer version than the request's was accepted.
func (x *exchange) restartWithNewVersion(end *peer.End) {
	x.endAttempt(true)
	x.outcome = end.Outcome
	x.versionRestarts++
	if x.versionRestarts > x.entry.cfg.MaxTries || x.pastDeadline() || !x.waitForConfig(end.Config) {
		x.ended = true
		return
	}
	x.config = x.entry.replica.AppliedOffset()
	ref, model, ok := x.entry.catalog.Resolve(wardturn.AdapterRef{
		Adapter: x.req.Adapter.Adapter,
	})
	if !ok {
		x.ended = true
		return
	}
	x.req.Adapter = ref
	x.model = model
	x.req.Body = replaceModel(x.req.Body, ref, x.req.Class)
	x.tried = nil
}

// waitForConfig waits until the replica has applied the configuration at the given offset
// and reports whether it has.
func (x *exchange) waitForConfig(config wardturn.Offset) bool {
	ctx, cancel := x.entry.tasks.WithTimeout(configWaitTimeout)
	defer cancel()
	return x.entry.replica.WaitFor(ctx, config) == nil
}

// retryOrEnd ends the attempt, and ends the request too unless it may be retried.
func (x *exchange) retryOrEnd(outcome wardturn.Outcome, healthy bool) {
	x.endAttempt(healthy)
	x.outcome = outcome
	if !x.retryable(outcome) || !x.retryAllowed() {
		x.ended = true
	}
}

// retryable reports whether the outcome and the response so far permit another attempt.
func (x *exchange) retryable(outcome wardturn.Outcome) bool {
	if x.forwarded > 0 {
		return false
	}
	switch outcome.Kind {
	case wardturn.Unknown:
		return x.req.Repeatable && outcome.Reason != wardturn.ReasonCanceled
	case wardturn.NotRun:
		return mayRunElsewhere(outcome.Reason)
	}
	return false
}

// mayRunElsewhere reports whether a request that was not run for this reason may succeed on
// another upstream.
func mayRunElsewhere(r wardturn.Reason) bool {
	switch r {
	case wardturn.ReasonLeaving, wardturn.ReasonQueueFull, wardturn.ReasonRefused, wardturn.ReasonUnreachable, wardturn.ReasonStaleConfig:
		return true
	}
	return false
}

// retryAllowed reports whether the number of attempts, the deadline and the retry budget
// permit another attempt.
func (x *exchange) retryAllowed() bool {
	if len(x.tried) >= x.entry.cfg.MaxTries || x.pastDeadline() {
		return false
	}
	x.entry.routerMu.Lock()
	defer x.entry.routerMu.Unlock()
	return x.entry.retryBudget.Retry(x.now())
}

func (x *exchange) finishRequest(outcome wardturn.Outcome, healthy bool) {
	x.endAttempt(healthy)
	x.outcome = outcome
	x.ended = true
}

func (x *exchange) endAttempt(healthy bool) {
	x.attempt.link.remove(x.attempt)
	x.entry.attemptEnded(x.upstream, healthy)
	x.attempt = nil
}

// abort cancels the attempt and ends the request. It is used if the caller closed its
// connection or the response is too large.
func (x *exchange) abort() {
	if x.ended {
		return
	}
	x.attempt.cancel()
	x.finishRequest(wardturn.Uncertain(wardturn.ReasonCanceled), true)
}

// follow attaches to the attempt that claimed the request's idempotency key first, to
// receive its response.
func (x *exchange) follow(end *peer.End) {
	x.endAttempt(true)
	x.outcome = wardturn.Uncertain(wardturn.ReasonDuplicate)
	l := x.entry.link(end.FirstUpstream)
	if l == nil {
		x.ended = true
		return
	}
	conn := l.waitConn(x.entry.cfg.ConnectTimeout)
	if conn == nil {
		x.ended = true
		return
	}
	x.entry.routerMu.Lock()
	x.entry.router.RequestSent(end.FirstUpstream)
	x.entry.routerMu.Unlock()
	x.upstream = end.FirstUpstream
	x.attempt = newFollowingAttempt(end, l, conn)
	l.add(x.attempt)
	x.attempt.attach()
}

// takeOverKey restarts the request after the attempt that had claimed the idempotency key
// turned out not to have run. The next attempt supersedes that claim and may run on any
// upstream.
func (x *exchange) takeOverKey(outcome wardturn.Outcome) {
	x.endAttempt(true)
	x.outcome = outcome
	x.takeovers++
	if x.takeovers > x.entry.cfg.MaxTries {
		x.ended = true
		return
	}
	x.tried = nil
}

// pickUpstream selects an upstream and counts the request there.
func (e *Entry) pickUpstream(x *exchange) (wardturn.UpstreamID, bool) {
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

// attemptEnded reports the end of an attempt to the router.
func (e *Entry) attemptEnded(id wardturn.UpstreamID, healthy bool) {
	e.routerMu.Lock()
	defer e.routerMu.Unlock()
	e.router.RequestEnded(e.clock.Now(), id, healthy)
}
