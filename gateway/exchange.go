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
	// answerMargin is how long the gateway waits for a response after the deadline that it
	// sent to the upstream.
	answerMargin = 80 * time.Millisecond
	// bodyChunk is the read size for streamed responses.
	bodyChunk = 8 << 10
	// plainAnswerLimit bounds the responses that are buffered completely before they are
	// forwarded; longer ones are streamed.
	plainAnswerLimit = 256 << 10
	// answerGuess is the estimated size of a request's headers and its response, in bytes.
	answerGuess = 1500
	// defaultTimeout applies to routes that set none.
	defaultTimeout = 30 * time.Second
	// defaultObjective applies to routes that set none. It bounds how long their requests
	// wait for an adapter.
	defaultObjective = time.Second
	// unreadyPause is the Retry-After of refusals by a gateway that has no current
	// configuration, or no room for the request's body.
	unreadyPause = 500 * time.Millisecond
	// resendPause is the Retry-After of requests that upstreams turned away and that may
	// not be sent again, unless a refusal names another.
	resendPause = 200 * time.Millisecond
)

type assignment = decide.Assignment

// exchange is the handling of one request of a caller.
type exchange struct {
	g           *Gateway
	w           http.ResponseWriter
	r           *http.Request
	route       *wardturn.Route
	service     wardturn.ServiceName
	engine      bool             // the service's upstreams are model engines
	keyed       bool             // the configuration has teams: API keys are not forwarded
	team        *wardturn.Team   // nil: the route is public, or there are no teams
	regions     wardturn.Regions // where the request may be served
	units       int64            // charged to the team's cap
	routeLevels int              // number of priority levels of the routes
	mayHaveRun  bool             // at an upstream; then the units are not refunded
	key         wardturn.ModelAdapter
	prompt      wardturn.Tokens // zero if the caller does not state it
	attempt     string
	body        []byte
	heldBody    int64 // bytes reserved for the body
	content     wardturn.ContentID
	arrived     time.Time
	end         time.Time // deadline of the caller or the route
	tried       []wardturn.UpstreamID
	ran         int  // number of upstreams that may have run the request
	begun       bool // the response header was written to the caller
	refusal     *refusal
	events      events
	reading     wardturn.UpstreamID // the upstream that is prefilling the prompt
	timing      timing
	send        sendTimes
	waiting     *waitingSend // the latest send; nil once it has started or ended
}

// timing records when the parts of a response came.
type timing struct {
	placed time.Duration // from the arrival to the choice of the latest upstream
	first  time.Duration // from the arrival to the first bytes of the response
	last   time.Time     // when the latest bytes came
	pause  time.Duration // longest gap between bytes
	write  time.Duration // longest write to the caller during the latest send
}

// sendTimes is when the latest send went to its upstream and when the first bytes of the
// response came; zero times are not reached yet.
type sendTimes struct {
	sent      time.Time
	began     time.Time
	brokenOff bool // the gateway aborted the send before it started
}

// refusal is why a request was not run and when the caller may retry.
type refusal struct {
	reason     wardturn.Reason
	retryAfter time.Duration
}

// result is the outcome of one send.
type result uint8

const (
	// passed: the complete response was forwarded.
	passed result = iota
	// notRun: the upstream did not run the request.
	notRun
	// outdated: nothing was sent, because since the upstream was chosen the adapter version
	// was retired or the upstream stopped accepting requests.
	outdated
	// unknown: the request may have run, and the caller has no byte of a response.
	unknown
	// failed: the request ran and the upstream responded with an error of its own. It may
	// run once more; the retry budget has been charged.
	failed
	// cut: the response ended early, after a part of it was forwarded.
	cut
	// left: the caller closed its connection.
	left
	// erred: the upstream's error response was forwarded.
	erred
)

// ending returns what the result of the latest send says about its upstream: nothing if
// the gateway aborted the send.
func (x *exchange) ending(r result) decide.Ending {
	if x.send.brokenOff || r == cut && x.slowCaller() {
		return decide.EndedUnseen
	}
	switch r {
	case failed, erred:
		return decide.EndedInError
	case unknown, cut:
		return decide.EndedBroken
	case left, outdated:
		return decide.EndedUnseen
	}
	return decide.EndedWell
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		g:       g,
		w:       w,
		r:       r,
		arrived: g.clock.Now(),
		attempt: r.Header.Get(g.names.Attempt),
	}
	g.open.Add(1)
	defer g.open.Add(-1)
	w.Header()["Date"] = nil // omits the header, callers do not use it
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	defer func() {
		g.held.give(x.heldBody)
	}()
	if !x.resolve() || !x.readBody() {
		return
	}
	x.name()
	if x.refuseCrashing() {
		x.refuse(x.refusal.reason, x.refusal.retryAfter, "content", x.content)
		return
	}
	if !x.charge() {
		return
	}
	defer x.settle()
	x.run()
}

// run sends the request to upstreams until one has responded or no further send is
// allowed.
func (x *exchange) run() {
	ctx, cancel := wardturn.WithLimit(x.r.Context(), x.g.clock, x.end.Add(answerMargin).Sub(x.g.clock.Now()))
	defer cancel()
	x.g.countRequest(x.service)
	for {
		a, ok := x.acquire(ctx)
		if !ok {
			x.giveUp(ctx)
			return
		}
		if x.refuseCrashing() { // may have become known while the request waited
			x.putBack(a)
			x.giveUp(ctx)
			return
		}
		res := x.try(ctx, a)
		x.began(a)
		x.noteOldVersion(a)
		x.noteContent(a, res, ctx.Err())
		x.g.ended(a.Member.ID, x.key, len(x.body), x.ending(res))
		if res == outdated {
			continue
		}
		x.mayHaveRun = x.mayHaveRun || res != notRun
		x.tried = append(x.tried, a.Member.ID)
		switch res {
		case passed:
			x.noteLate(a)
			x.g.metrics.finished(x, "done")
			return
		case erred:
			x.g.metrics.finished(x, "upstream_error")
			return
		case left:
			x.g.metrics.finished(x, "caller_left")
			return
		case cut:
			x.ran++
			if x.resume() {
				continue
			}
			x.g.logger.Warn("answer cut", "id", x.attempt, "route", x.route.Name, "upstream", a.Member.ID, "content", x.content, "sent_ago", x.g.clock.Now().Sub(x.send.sent))
			x.g.metrics.finished(x, "cut")
			panic(http.ErrAbortHandler)
		case failed:
			x.ran++
			continue
		case unknown:
			x.ran++
			if !x.mayRunAgain() {
				x.lost(ctx)
				return
			}
		}
		if !x.g.mayResend(x.service) {
			x.giveUp(ctx)
			return
		}
	}
}

// noteLate logs a response that missed the route's latency objective, with what took the
// time.
func (x *exchange) noteLate(a assignment) {
	t := x.timing
	if t.first <= x.route.Objective && (x.route.MaxPause == 0 || t.pause <= x.route.MaxPause) {
		return
	}
	x.g.logger.Info("late", "id", x.attempt, "route", x.route.Name, "adapter", x.key.Adapter, "upstream", a.Member.ID, "placed", t.placed, "first", t.first, "pause", t.pause, "load", a.Load, "prefill", a.Prefill, "prompt", x.prompt, "sends", len(x.tried))
}

// began records, once for each send, that the upstream has finished the prefill of the
// prompt or will not do it.
func (x *exchange) began(a assignment) {
	if x.reading == a.Member.ID {
		x.reading = ""
		x.g.began(a.Member.ID, x.prompt)
	}
}

// noteRead records how long the upstream's prefill took. It must be called before began.
func (x *exchange) noteRead(a assignment) {
	if x.reading == a.Member.ID && x.prompt > 0 {
		x.g.readPrompt(x.service, a.Prefill+int(x.prompt), x.g.clock.Now().Sub(x.send.sent))
	}
}

// arrivedBytes records the arrival of bytes of the response.
func (x *exchange) arrivedBytes() {
	now := x.g.clock.Now()
	if x.send.began.IsZero() {
		x.send.began = now
		x.unwatch()
	}
	if x.timing.last.IsZero() {
		x.timing.first = now.Sub(x.arrived)
	} else {
		x.timing.pause = max(x.timing.pause, now.Sub(x.timing.last))
	}
	x.timing.last = now
}

// repeatable reports whether the request may run more than once.
func (x *exchange) repeatable() bool {
	return x.route.Repeats == wardturn.RunAgain || x.route.Resumable
}

// mayRunAgain reports whether a request whose outcome is unknown may be sent once more.
func (x *exchange) mayRunAgain() bool {
	return x.repeatable() && x.ran < x.route.MaxUpstreams && x.g.clock.Now().Before(x.end)
}

// giveUp ends a request that is not sent any more. It reports it as not run, or as unknown
// if an earlier send may have run it.
func (x *exchange) giveUp(ctx context.Context) {
	if x.begun {
		x.g.metrics.finished(x, "cut")
		panic(http.ErrAbortHandler)
	}
	if x.r.Context().Err() != nil {
		x.g.metrics.finished(x, "caller_left")
		return
	}
	if x.ran > 0 {
		x.lost(ctx)
		return
	}
	if x.refusal == nil {
		x.refusal = &refusal{
			reason:     wardturn.ReasonQueueFull,
			retryAfter: resendPause,
		}
	}
	x.refuse(x.refusal.reason, x.refusal.retryAfter)
}

// lost ends a request that may have run and has no response.
func (x *exchange) lost(ctx context.Context) {
	if x.r.Context().Err() != nil {
		x.g.metrics.finished(x, "caller_left")
		return
	}
	status := http.StatusBadGateway
	if ctx.Err() != nil || !x.g.clock.Now().Before(x.end) {
		status = http.StatusGatewayTimeout
	}
	x.fail(status, "the answer was lost")
}

// try sends the request to one upstream and forwards its response.
func (x *exchange) try(ctx context.Context, a assignment) result {
	now := x.g.clock.Now()
	x.send = sendTimes{}
	x.timing.write = 0
	x.timing.placed = now.Sub(x.arrived)
	leftTime := x.end.Sub(now)
	if leftTime <= 0 {
		return notRun
	}
	ctx, stop, ok := x.watchBegin(ctx, a)
	defer stop()
	if !ok {
		return outdated
	}
	x.g.metrics.sends.Inc(1)
	x.send.sent = now
	ans, err := x.g.send(ctx, x, a.Member, x.head(a, leftTime))
	if why := context.Cause(ctx); err != nil && (errors.Is(why, errVersionEnded) || errors.Is(why, errContentCrashes)) {
		err = errors.Wrap(err, why.Error())
	}
	if errors.Is(err, errWithdrawn) {
		return outdated
	}
	if err != nil {
		return x.sendFailed(a, err)
	}
	turnedAway := ans.head.NotExecuted && ans.res.StatusCode != http.StatusMisdirectedRequest
	if !x.engine || turnedAway {
		x.g.timed(a.Member.ID, x.g.clock.Now().Sub(now), turnedAway)
	}
	return x.take(a, ans)
}

// sendFailed classifies and logs an error of a send.
func (x *exchange) sendFailed(a assignment, err error) result {
	if x.r.Context().Err() != nil {
		return left
	}
	if x.begun && !errors.Is(err, errNotSent) {
		return cut
	}
	x.g.logger.Info("send failed", "id", x.attempt, "upstream", a.Member.ID, "addr", a.Member.Addr, "content", x.content, "sent_ago", x.g.clock.Now().Sub(x.send.sent), "error", err)
	if errors.Is(err, errRefused) {
		x.g.refused(a.Member.ID)
		x.g.crashes.ended(a.Member.ID)
	}
	if errors.Is(err, errNotSent) {
		return notRun
	}
	return unknown
}
