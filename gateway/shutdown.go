package gateway

import (
	"context"
	"net/http"
	"time"

	"wardturn"
)

const (
	// leavingRetryAfter is the Retry-After of requests that come too late to a gateway that shuts
	// down. Other hosts serve them at once.
	leavingRetryAfter = time.Millisecond
	// endMargin is how long the requests that are left at the end of a shutdown have for their last
	// response.
	endMargin = 50 * time.Millisecond
	// endPollInterval is the interval between checks whether these requests have ended.
	endPollInterval = time.Millisecond
)

// ending is the end of a graceful shutdown, of which requests must be told in time.
type ending struct {
	// started is closed once no new connections are accepted. Then at is set.
	started chan struct{}
	at      time.Time // when the requests that are left are ended; zero: not limited
	// ctx ends with the shutdown. Requests that are left get their last response.
	ctx context.Context
	end context.CancelFunc
}

func newEnding() *ending {
	ctx, end := context.WithCancel(context.Background())
	return &ending{
		started: make(chan struct{}),
		ctx:     ctx,
		end:     end,
	}
}

// ends returns when the requests that are left are ended. It reports false while that is not known or
// not limited.
func (e *ending) ends() (at time.Time, ok bool) {
	select {
	case <-e.started:
		return e.at, !e.at.IsZero()
	default:
		return time.Time{}, false
	}
}

// Shutdown shuts the gateway down gracefully. It fails the readiness probe and keeps
// accepting requests for Config.ShutdownDelay, so that the load balancer stops sending them.
// It then closes the listener and returns when all requests have completed or ctx is done. Requests
// that might not complete within Config.ShutdownLimit are not sent any more. It must be called once.
func (g *Gateway) Shutdown(ctx context.Context) {
	began := g.clock.Now()
	g.leaving.Store(true)
	g.logger.Info("leaving", "requests", g.openRequests.Load())
	wardturn.Sleep(ctx, g.clock, g.cfg.ShutdownDelay)
	if g.cfg.ShutdownLimit > 0 {
		g.ending.at = began.Add(g.cfg.ShutdownLimit)
	}
	close(g.ending.started)
	if err := g.callers.shutdown(ctx); err != nil {
		g.logger.Warn("graceful shutdown timed out with open requests", "requests", g.openRequests.Load(), "error", err)
		g.endRequests()
	}
	g.logPromptCounts()
	g.logger.Info("left", "requests", g.openRequests.Load())
}

// endRequests ends the requests that are left, so that their callers get a response instead of a closed
// connection, and waits for that.
func (g *Gateway) endRequests() {
	g.ending.end()
	for range int(endMargin / endPollInterval) {
		if g.openRequests.Load() == 0 || !wardturn.Sleep(context.Background(), g.clock, endPollInterval) {
			return
		}
	}
}

// refuseLate refuses a request that might be cut by the end of a shutdown, and reports whether it did. At
// another host it has all of its time.
func (x *exchange) refuseLate() bool {
	at, ok := x.g.ending.ends()
	if !ok || !x.deadline.After(at) {
		return false
	}
	x.refuse(wardturn.ReasonLeaving, leavingRetryAfter)
	return true
}

// latestSend returns the latest time at which the request may be sent, so that its response may be
// expected before the end of a shutdown. It reports false if there is no such limit.
func (x *exchange) latestSend() (latest time.Time, ok bool) {
	at, ok := x.g.ending.ends()
	if !ok || !x.deadline.After(at) {
		return time.Time{}, false
	}
	return at.Add(-x.objective()), true
}

// tooLateToSend reports whether a shutdown leaves no time for a response, and records the refusal.
func (x *exchange) tooLateToSend() bool {
	latest, ok := x.latestSend()
	if !ok || x.g.clock.Now().Before(latest) {
		return false
	}
	x.refusal = &refusal{
		reason:     wardturn.ReasonLeaving,
		retryAfter: leavingRetryAfter,
	}
	return true
}

// awaitAssignment waits until an upstream is assigned to the request, for as long as there is time for a
// response. It reports false if ctx or that time ends before.
func (x *exchange) awaitAssignment(ctx context.Context, assigned <-chan assignment) (assignment, bool) {
	select {
	case a := <-assigned:
		return a, true
	case <-ctx.Done():
		return assignment{}, false
	case <-x.g.ending.started:
	}
	if latest, ok := x.latestSend(); ok {
		limited, cancel := wardturn.WithTimeout(ctx, x.g.clock, latest.Sub(x.g.clock.Now()))
		defer cancel()
		ctx = limited
	}
	select {
	case a := <-assigned:
		return a, true
	case <-ctx.Done():
		return assignment{}, false
	}
}

// unknownStatus returns the status of a request that may have run and has no response.
func (x *exchange) unknownStatus(ctx context.Context) int {
	late := ctx.Err() != nil && x.g.ending.ctx.Err() == nil
	if late || !x.g.clock.Now().Before(x.deadline) {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
