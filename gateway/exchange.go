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
	// answerMargin is how long past the time that an upstream was told the
	// gateway waits for its last word.
	answerMargin = 80 * time.Millisecond
	// bodyChunk is the size of reads of an answer.
	bodyChunk = 8 << 10
	// plainAnswerLimit bounds answers that are read whole before they are
	// passed on; longer ones are passed on as they come.
	plainAnswerLimit = 256 << 10
	// answerGuess is what headers and an answer are taken to have, in bytes.
	answerGuess = 1500
	// defaultTimeout holds for routes that set none.
	defaultTimeout = 30 * time.Second
	// defaultObjective holds for routes that set none: it bounds how long their
	// requests wait for an adapter.
	defaultObjective = time.Second
	// unreadyPause is told to callers while no configuration is known.
	unreadyPause = 500 * time.Millisecond
	// resendPause is told to callers whose request found no upstream twice.
	resendPause = 200 * time.Millisecond
)

type assignment = decide.Assignment

// exchange is one request of a caller on its way.
type exchange struct {
	g           *Gateway
	w           http.ResponseWriter
	r           *http.Request
	route       *wardturn.Route
	service     wardturn.ServiceName
	engine      bool             // the service's upstreams are model engines
	keyed       bool             // the configuration has teams: keys stay here
	team        *wardturn.Team   // nil: the route is public, or there are no teams
	regions     wardturn.Regions // where it may be served
	units       int64            // taken from the team's cap
	routeLevels int              // of the routes' priorities
	mayHaveRun  bool             // at an upstream; then its units are not given back
	key         wardturn.ModelAdapter
	prompt      wardturn.Tokens // zero if the caller does not say
	attempt     string
	body        []byte
	heldBody    int64 // bytes counted for it
	content     wardturn.ContentID
	arrived     time.Time
	end         time.Time // when the caller or the route stops waiting
	tried       []wardturn.UpstreamID
	ran         int  // upstreams that may have run it
	begun       bool // the caller has the head of an answer
	refusal     *refusal
	events      events
	reading     wardturn.UpstreamID // that is reading the prompt
	timing      timing
	send        sendTimes
	waiting     *waitingSend // the latest send; nil: it has begun, or is not broken off
}

// timing is when the parts of an answer came.
type timing struct {
	placed time.Duration // from the arrival to the choice of the last upstream
	first  time.Duration // from the arrival to the first bytes of the answer
	last   time.Time     // of the latest bytes
	pause  time.Duration // the longest between bytes
	write  time.Duration // the longest that the caller took for some bytes of the latest send
}

// sendTimes is when the latest send went to its upstream, and when that began to
// answer; zero: it has not.
type sendTimes struct {
	sent      time.Time
	began     time.Time
	brokenOff bool // its version ceased to serve before it began
}

// refusal is the word that a request has not run.
type refusal struct {
	reason     wardturn.Reason
	retryAfter time.Duration
}

// result is what became of one send.
type result uint8

const (
	// passed: the caller has the whole answer.
	passed result = iota
	// notRun: the upstream did not run the request.
	notRun
	// outdated: nothing was sent, since the adapter version serves no more, or the
	// upstream takes no more requests since it was chosen.
	outdated
	// unknown: it may have run, and the caller has no byte of an answer.
	unknown
	// failed: it ran, the upstream answered with an error of its own, and the
	// request may run once more; the budget has been asked.
	failed
	// cut: the caller has a part of the answer that cannot go on.
	cut
	// left: the caller is gone.
	left
	// erred: the caller has the upstream's own error.
	erred
)

// ending returns what the result of the latest send tells of its upstream: nothing if
// the gateway broke it off.
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
	w.Header()["Date"] = nil // callers do not use it
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

// run sends the request to upstreams until one has answered, or until none may
// be tried any more.
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
		if x.refuseCrashing() { // it became known while the request waited
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

// noteLate logs an answer that came later than the route's objective, with what
// took the time.
func (x *exchange) noteLate(a assignment) {
	t := x.timing
	if t.first <= x.route.Objective && (x.route.MaxPause == 0 || t.pause <= x.route.MaxPause) {
		return
	}
	x.g.logger.Info("late", "id", x.attempt, "route", x.route.Name, "adapter", x.key.Adapter, "upstream", a.Member.ID, "placed", t.placed, "first", t.first, "pause", t.pause, "load", a.Load, "prefill", a.Prefill, "prompt", x.prompt, "sends", len(x.tried))
}

// began tells, once for each send, that the upstream has read the prompt or will
// not.
func (x *exchange) began(a assignment) {
	if x.reading == a.Member.ID {
		x.reading = ""
		x.g.began(a.Member.ID, x.prompt)
	}
}

// noteRead tells, before it is known that an upstream began, how long that took.
func (x *exchange) noteRead(a assignment) {
	if x.reading == a.Member.ID && x.prompt > 0 {
		x.g.readPrompt(x.service, a.Prefill+int(x.prompt), x.g.clock.Now().Sub(x.send.sent))
	}
}

// arrivedBytes notes the time of bytes of the answer.
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

func (x *exchange) mayRunAgain() bool {
	return x.repeatable() && x.ran < x.route.MaxUpstreams && x.g.clock.Now().Before(x.end)
}

// giveUp ends a request that no upstream is running: truly not run, or unknown
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

// lost ends a request that may have run and has no answer.
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

// try sends the request to one upstream and passes its answer on.
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
