package gateway

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"wardturn"
)

// refusal is why a request was not run and when the caller may retry.
type refusal struct {
	reason     wardturn.Reason
	retryAfter time.Duration
	predicted  time.Duration // until the response could have started; zero: not predicted
	// capacity and demand are those of the plain service in requests per second; zero if
	// they did not cause the refusal.
	capacity float64
	demand   float64
	part     wardturn.ContentID // of the prompt, which crashes upstreams; empty: none
}

// fields returns the additional fields of the log line.
func (r *refusal) fields() []any {
	if r.part != "" {
		return []any{"part", r.part}
	}
	if r.capacity == 0 {
		return nil
	}
	return []any{"capacity", strconv.FormatFloat(r.capacity, 'f', 1, 64), "demand", strconv.FormatFloat(r.demand, 'f', 1, 64)}
}

// refuse responds that the request was not run and when to retry; extra are additional
// fields of the log line.
func (x *exchange) refuse(reason wardturn.Reason, retryAfter time.Duration, extra ...any) {
	x.setRetryAfter(retryAfter)
	x.g.metrics.finished(x, "refused_"+string(reason))
	fields := []any{"id", x.attempt, "reason", reason, "retry_after", retryAfter, "adapter", x.key.Adapter, "waited", x.g.clock.Now().Sub(x.arrived)}
	if x.prompt > 0 {
		fields = append(fields, "route", x.route.Name, "prompt", x.prompt)
	}
	if !x.engine && x.service != "" {
		fields = append(fields, "service", x.service)
	}
	if x.route != nil {
		x.g.metrics.refused(x.priority())
		fields = append(fields, "rank", x.priority())
	}
	if x.team != nil {
		fields = append(fields, "team", x.team.ID)
	}
	if x.route != nil && x.resumes() {
		fields = append(fields, "resumes", x.resumedAttempt(), "software", x.software)
	}
	if x.refusal != nil && x.refusal.predicted > 0 {
		fields = append(fields, "predicted", x.refusal.predicted)
	}
	x.g.logger.Info("refused", append(fields, extra...)...)
	x.write(http.StatusServiceUnavailable, string(reason))
}

// setRetryAfter sets the Retry-After header in seconds, rounded up to milliseconds: zero would
// have the caller come back before anything has changed.
func (x *exchange) setRetryAfter(retryAfter time.Duration) {
	millis := max(1, math.Ceil(milliseconds(retryAfter)))
	x.w.Header().Set("Retry-After", strconv.FormatFloat(millis/1000, 'f', 3, 64))
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// abortResponse ends a response that is not complete, and does not return. With HTTP/1.1 the
// last chunk or a part of the length is missing. A response to an HTTP/1.0 request without a
// length ends with its connection, so only a reset tells its caller.
func (x *exchange) abortResponse() {
	if !x.r.ProtoAtLeast(1, 1) {
		x.resetCaller()
	}
	panic(http.ErrAbortHandler)
}

func (x *exchange) resetCaller() {
	c, _, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		x.g.logger.Warn("failed to reset a caller's connection", "id", x.attempt, "error", err)
		return
	}
	if tcp, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0) // on failure the connection is closed regularly
	}
	c.Close()
}

// fail responds with an error of the gateway's own, which does not say whether the request
// may have run.
func (x *exchange) fail(status int, text string) {
	x.g.metrics.finished(x, strconv.Itoa(status))
	x.g.logger.Info("failed", "id", x.attempt, "status", status, "why", text, "adapter", x.key.Adapter)
	x.write(status, text)
}

// write responds with a text of the gateway. It aborts a response of which the caller already has
// a part.
func (x *exchange) write(status int, text string) {
	if x.headerWritten {
		x.abortResponse()
	}
	if x.bodyPending {
		x.setReadDeadline(x.g.clock.Now().Add(unreadBodyTimeout))
	}
	h := x.w.Header()
	h["Content-Type"] = nil
	h.Set("Content-Length", strconv.Itoa(len(text)))
	x.w.WriteHeader(status)
	_, _ = x.w.Write([]byte(text)) // fails only if the caller is gone
	x.responded = true
}
