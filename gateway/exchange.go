package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn"
	"wardturn/decide"
)

const (
	// responseMargin is how long the gateway waits for a response after the deadline that
	// it sent to the upstream.
	responseMargin = 80 * time.Millisecond
	// readChunk is the read size for streamed responses.
	readChunk = 8 << 10
	// maxBufferedResponse bounds the responses that are buffered completely before they
	// are forwarded; longer ones are streamed.
	maxBufferedResponse = 256 << 10
	// responseSizeEstimate is the estimated size of a request's headers and its response,
	// in bytes.
	responseSizeEstimate = 1500
	// defaultTimeout applies to routes that set none.
	defaultTimeout = 30 * time.Second
	// defaultObjective applies to routes that set none. It bounds how long their requests
	// wait for an adapter.
	defaultObjective = time.Second
	// unreadyRetryAfter is the Retry-After of refusals by a gateway that has no current
	// configuration, or no room for the request's body.
	unreadyRetryAfter = 500 * time.Millisecond
	// resendRetryAfter is the Retry-After of requests that upstreams refused and that may
	// not be sent again, unless a refusal specifies another.
	resendRetryAfter = 200 * time.Millisecond
)

type assignment = decide.Assignment

// exchange is the handling of one request of a caller.
type exchange struct {
	g               *Gateway
	w               http.ResponseWriter
	r               *http.Request
	route           *wardturn.Route
	service         wardturn.ServiceName
	engine          bool             // the service's upstreams are model engines
	teamsConfigured bool             // the configuration has teams: API keys are not forwarded
	team            *wardturn.Team   // nil: the route is public, or there are no teams
	regions         wardturn.Regions // where the request may be served
	units           int64            // charged to the team's cap
	routeLevels     int              // number of priority levels of the routes
	mayHaveRun      bool             // an upstream may have run it: units are not refunded
	key             wardturn.ModelAdapter
	prompt          wardturn.Tokens // zero if the caller does not state it
	attempt         string
	body            []byte
	bodyPending     bool  // the body was not read completely
	reservedBody    int64 // bytes reserved for the body
	content         wardturn.ContentID
	parts           []wardturn.ContentID // of the prompt, that other prompts may share
	trialOf         wardturn.ContentID   // the refused part of which this is a trial; empty: none
	arrived         time.Time
	deadline        time.Time // deadline of the caller or the route
	tried           []wardturn.UpstreamID
	possibleRuns    int  // number of upstreams that may have run the request
	headerWritten   bool // the response header was written to the caller
	responded       bool // the whole response was
	eventsBegun     bool // and it is that of a stream of events
	refusal         *refusal
	events          events
	boundary        eventBoundary             // of the latest stream from an upstream
	software        wardturn.SoftwareVersions // that may run it, since it began the stream; nil: any
	eventsFrom      wardturn.UpstreamID       // the latest upstream with forwarded events
	begun           *streamStart              // where the first forwarded event came from; nil: none yet
	prefilling      wardturn.UpstreamID       // the upstream that is prefilling the prompt
	turn            *turn                     // for prefilling; nil if none was requested or it has ended
	turnOutcome     turnResult                // of the wait for the latest turn; empty: none
	registered      bool                      // the prompt counts as one that takes a turn
	timing          timing
	send            sendState
	pending         *pendingSend // the latest send; nil once it has started or ended
}

// timing records when the parts of a response arrived.
type timing struct {
	assignedAfter time.Duration // from the arrival to the choice of the latest upstream
	turn          time.Duration // wait for the turn at the latest upstream
	firstByte     time.Duration // from the arrival to the first bytes of the response
	lastByte      time.Time     // when the latest bytes arrived
	maxGap        time.Duration // longest gap between bytes
	maxWrite      time.Duration // longest write to the caller during the latest send
}

// sendState is the progress of the latest send. A zero time has not been reached yet.
type sendState struct {
	sent      time.Time // to the upstream
	connected time.Time // when the connection was opened
	proved    bool      // the connection leads to the lifetime that was assigned
	firstByte time.Time // of the response; of a buffered one, when it was read completely
	aborted   bool      // the gateway aborted the send before it started
	unreached bool      // no byte of the request reached the upstream
	answered  bool      // a whole event or the whole successful response arrived
}

// result is the outcome of one send.
type result uint8

const (
	// resultForwarded: the complete response was forwarded.
	resultForwarded result = iota
	// resultNotRun: the upstream did not run the request.
	resultNotRun
	// resultNotSent: nothing was sent, because since the upstream was chosen the adapter
	// version was retired or the upstream stopped accepting requests.
	resultNotSent
	// resultUnknown: the request may have run, and the caller has no byte of a response.
	resultUnknown
	// resultFailed: the request ran and the upstream responded with an error of its own.
	// It may run once more; the retry budget has been charged.
	resultFailed
	// resultTruncated: the response ended early, after a part of it was forwarded.
	resultTruncated
	// resultCallerGone: the caller closed its connection.
	resultCallerGone
	// resultErrorForwarded: the upstream's error response was forwarded.
	resultErrorForwarded
)

// upstreamOutcome returns what the result of the latest send says about its upstream. That
// is decide.OutcomeUnknown if the gateway aborted the send or a slow caller may have caused
// the truncation of the response.
func (x *exchange) upstreamOutcome(r result) decide.Outcome {
	if x.send.aborted || r == resultTruncated && x.slowCaller() {
		return decide.OutcomeUnknown
	}
	switch r {
	case resultFailed, resultErrorForwarded:
		return decide.OutcomeError
	case resultUnknown, resultTruncated:
		return decide.OutcomeBroken
	case resultCallerGone, resultNotSent:
		return decide.OutcomeUnknown
	}
	return decide.OutcomeOK
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		g:       g,
		w:       w,
		r:       r,
		arrived: g.clock.Now(),
		attempt: r.Header.Get(g.names.AttemptID),

		bodyPending: r.ContentLength != 0,
	}
	g.openRequests.Add(1)
	defer g.openRequests.Add(-1)
	w.Header()["Date"] = nil // omits the header, callers do not use it
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	defer func() {
		g.bodies.Release(x.reservedBody)
	}()
	x.handle()
	if !x.responded {
		x.abortResponse()
	}
}

// handle handles the request. It may return without a complete response, which must then end visibly: the
// server would send an empty success, or the end of a response of which the caller has a part. A caller
// that has closed its sending side may still read.
func (x *exchange) handle() {
	if !x.resolve() || x.refuseLate() || !x.readBody() || x.refuseLate() {
		return
	}
	x.identifyContent()
	if x.rejectCrashing() {
		x.refuse(x.refusal.reason, x.refusal.retryAfter, "content", x.content)
		return
	}
	if x.rejectCrashingPart() {
		x.refuse(x.refusal.reason, x.refusal.retryAfter, x.refusal.fields()...)
		return
	}
	if !x.charge() {
		return
	}
	defer x.refund()
	x.run()
}

// run sends the request to upstreams until one has responded or no further send is
// allowed.
func (x *exchange) run() {
	ctx, cancel := wardturn.WithTimeout(x.r.Context(), x.g.clock, x.deadline.Add(responseMargin).Sub(x.g.clock.Now()))
	defer cancel()
	defer context.AfterFunc(x.g.ending.ctx, cancel)()
	x.g.countRequest(x.service)
	for {
		a, ok := x.acquire(ctx)
		if !ok {
			x.tooLateToSend()
			x.giveUp(ctx)
			return
		}
		inTime := x.takeTurn(ctx, a)
		if !inTime || x.tooLateToSend() || ctx.Err() != nil || x.rejectCrashing() || x.rejectCrashingSend() { // may have changed while it waited
			x.releaseAssignment(a)
			x.giveUp(ctx)
			return
		}
		sendResult := x.trySend(ctx, a)
		x.endPrefill(a)
		x.logOldVersion(a)
		x.recordContent(a, sendResult, ctx.Err())
		if sendResult != resultNotSent && !x.send.unreached {
			x.endTrial(sendResult)
		}
		x.g.endSend(x, a, x.upstreamOutcome(sendResult))
		if sendResult == resultNotSent {
			continue
		}
		x.mayHaveRun = x.mayHaveRun || sendResult != resultNotRun
		x.tried = append(x.tried, a.Member.ID)
		switch sendResult {
		case resultForwarded:
			x.responded = true
			x.logLate(a)
			x.g.metrics.finished(x, "done")
			return
		case resultErrorForwarded:
			x.responded = true
			x.g.metrics.finished(x, "upstream_error")
			return
		case resultCallerGone:
			x.g.metrics.finished(x, "caller_left")
			return
		case resultTruncated:
			x.possibleRuns++
			if x.mayResume() {
				continue
			}
			x.g.logger.Warn("answer cut", x.sendFields(a)...)
			x.g.metrics.finished(x, "cut")
			x.abortResponse()
		case resultFailed:
			x.possibleRuns++
			continue
		case resultUnknown:
			x.possibleRuns++
			if !x.mayRunAgain() {
				x.failUnknown(ctx)
				return
			}
		}
		if !x.g.allowRetry(x.service) {
			x.giveUp(ctx)
			return
		}
	}
}

// logLate logs a response that missed the route's latency objective, with a breakdown of
// its latency.
func (x *exchange) logLate(a assignment) {
	t := x.timing
	if t.firstByte <= x.route.Objective && (x.route.MaxPause == 0 || t.maxGap <= x.route.MaxPause) {
		return
	}
	u := x.urgency()
	x.g.logger.Info("late", "id", x.attempt, "route", x.route.Name, "adapter", x.key.Adapter, "upstream", a.Member.ID, "placed", t.assignedAfter, "first", t.firstByte, "pause", t.maxGap, "load", a.Load, "prefill", a.Prefill, "prompt", x.prompt, "sends", len(x.tried), "rank", u.Rank, "team", u.Team, "turn", t.turn)
}

// endPrefill records, once for each send, that the upstream has finished the prefill of
// the prompt or will not do it.
func (x *exchange) endPrefill(a assignment) {
	if x.prefilling == a.Member.ID {
		x.prefilling = ""
		x.endTurn()
		x.g.endPrefill(a.Member.ID, x.prompt, x.registered)
		x.registered = false
	}
}

// recordBytes records the arrival of bytes of the response.
func (x *exchange) recordBytes() {
	now := x.g.clock.Now()
	if x.send.firstByte.IsZero() {
		x.send.firstByte = now
		x.unwatch()
	}
	if x.timing.lastByte.IsZero() {
		x.timing.firstByte = now.Sub(x.arrived)
	} else {
		x.timing.maxGap = max(x.timing.maxGap, now.Sub(x.timing.lastByte))
	}
	x.timing.lastByte = now
}

// timeLeft returns the time until the request's deadline.
func (x *exchange) timeLeft() time.Duration {
	return x.deadline.Sub(x.g.clock.Now())
}

// repeatable reports whether the request may run more than once.
func (x *exchange) repeatable() bool {
	return x.route.Repeatability == wardturn.Repeatable || x.route.Resumable
}

// mayRunAgain reports whether a request whose outcome is unknown may be sent once more.
func (x *exchange) mayRunAgain() bool {
	return x.repeatable() && x.possibleRuns < x.route.MaxUpstreams && x.g.clock.Now().Before(x.deadline) && x.g.ending.ctx.Err() == nil
}

// giveUp ends a request that is not sent any more. It reports it as not run, or as unknown
// if an earlier send may have run it.
func (x *exchange) giveUp(ctx context.Context) {
	x.endTrial(resultNotRun)
	if x.headerWritten {
		x.g.metrics.finished(x, "cut")
		x.abortResponse()
	}
	if x.r.Context().Err() != nil {
		x.g.metrics.finished(x, "caller_left")
		return
	}
	if x.possibleRuns > 0 {
		x.failUnknown(ctx)
		return
	}
	if x.refusal == nil {
		x.refusal = &refusal{
			reason:     wardturn.ReasonQueueFull,
			retryAfter: resendRetryAfter,
		}
	}
	x.refuse(x.refusal.reason, x.refusal.retryAfter, x.refusal.fields()...)
}

// failUnknown ends a request that may have run and has no response.
func (x *exchange) failUnknown(ctx context.Context) {
	if x.r.Context().Err() != nil {
		x.g.metrics.finished(x, "caller_left")
		return
	}
	x.fail(x.unknownStatus(ctx), "the answer was lost")
}

// trySend sends the request to one upstream and forwards its response.
func (x *exchange) trySend(ctx context.Context, a assignment) result {
	now := x.g.clock.Now()
	x.send = sendState{}
	x.timing.maxWrite = 0
	x.timing.assignedAfter = now.Sub(x.arrived) - x.timing.turn
	remaining := x.deadline.Sub(now)
	if remaining <= 0 {
		return resultNotRun
	}
	if a.Turn && !x.mayUseTurn(ctx, a) {
		return resultNotSent
	}
	ctx, stop, ok := x.watchStart(ctx, a)
	defer stop()
	if !ok {
		return resultNotSent
	}
	x.g.metrics.sends.Inc(1)
	x.send.sent = now
	resp, err := x.g.send(ctx, x, a.Member, x.encodeHeader(a, remaining))
	if cause := context.Cause(ctx); err != nil && (errors.Is(cause, errVersionRetired) || errors.Is(cause, errCrashingContent) || errors.Is(cause, errCrashingPart)) {
		err = errors.Wrap(err, cause.Error())
	}
	if errors.Is(err, errNotAccepting) || errors.Is(err, errOtherLifetime) {
		return resultNotSent
	}
	if err != nil {
		return x.sendFailed(a, err)
	}
	rejected := resp.head.NotExecuted && resp.res.StatusCode != http.StatusMisdirectedRequest
	switch {
	case rejected:
		x.g.recordFull(a.Member.ID, resp.head.RetryAfter.Present)
	case !x.engine:
		x.g.recordLatency(a.Member.ID, x.g.clock.Now().Sub(now))
	}
	result := x.handleResponse(a, resp)
	if result == resultUnknown {
		x.g.logger.Info("answer lost", x.sendFields(a, "status", resp.res.StatusCode)...)
	}
	return result
}
