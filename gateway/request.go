package gateway

import (
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn"
	"wardturn/process"
)

// resolve finds the request's route, team and service and reads its headers. It reports
// false after it has answered a request that cannot be served.
func (x *exchange) resolve() bool {
	// Read before the routes are loaded, so that they are at least as recent as this time.
	configAsOf := x.g.reads.configCurrentAt()
	rs := x.g.routes.Load()
	if rs == nil {
		x.refuse(wardturn.ReasonStaleConfig, unreadyRetryAfter)
		return false
	}
	x.route = rs.find(x.r.Host, x.r.URL.EscapedPath())
	if x.route == nil {
		x.fail(http.StatusNotFound, "no route")
		return false
	}
	if x.attempt == "" {
		x.fail(http.StatusBadRequest, "no attempt id")
		return false
	}
	if !x.authenticate(rs, configAsOf) {
		return false
	}
	x.regions = x.route.Regions
	if x.team != nil {
		x.regions = x.regions.Both(x.team.Regions)
	}
	x.service = selectService(x.route, x.serviceKey())
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if n, err := strconv.Atoi(x.r.Header.Get(x.g.names.DeadlineMS)); err == nil && n > 0 {
		timeout = min(timeout, time.Duration(min(n, maxDeadlineMS))*time.Millisecond)
	}
	x.deadline = x.arrived.Add(timeout)
	if x.resumes() && !x.resolveOrigin() {
		return false
	}
	spec := rs.table.Services[x.service]
	x.engine = spec.Engine != nil
	if x.route.Resumable {
		x.events.startAfter(x.r.Header.Get(x.g.names.LastEventID))
	}
	if x.engine {
		model, adapter, _ := strings.Cut(x.r.Header.Get(x.g.names.Adapter), "/")
		x.key = wardturn.ModelAdapter{
			Model:   wardturn.BaseModel(model),
			Adapter: wardturn.AdapterID(adapter),
		}
		prompt, _, _ := strings.Cut(x.r.Header.Get(x.g.names.TokenCount), ",")
		if n, err := strconv.Atoi(prompt); err == nil && n > 0 {
			x.prompt = wardturn.Tokens(n)
			x.g.promptCounts.add(x.route.Name, x.prompt)
		}
	}
	return true
}

// maxDeadlineMS is the longest deadline of a caller in milliseconds; a longer one counts as this. It keeps
// the conversion from overflowing.
const maxDeadlineMS = int(time.Hour / time.Millisecond)

// readBody reads the complete body before the request is sent, so that a slow caller does
// not occupy an upstream. It reports false after it has answered the request.
func (x *exchange) readBody() bool {
	limit := int64(x.g.cfg.MaxBody)
	if l := x.g.routes.Load().table.Limits.MaxBody; l > 0 {
		limit = int64(l)
	}
	if x.r.ContentLength > limit {
		x.fail(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	if x.r.ContentLength == 0 {
		return true
	}
	x.setReadDeadline(x.deadline)
	body, reserved, err := x.g.bodies.ReadBody(x.r.Body, x.r.ContentLength, limit)
	x.reservedBody = reserved
	switch {
	case errors.Is(err, process.ErrBudgetExhausted):
		x.w.Header().Set("Connection", "close") // the rest of the body stays unread
		x.refuse(wardturn.ReasonQueueFull, unreadyRetryAfter, "held", x.g.bodies.Held())
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.w.Header().Set("Connection", "close")
		x.fail(http.StatusRequestTimeout, "body not received in time")
		return false
	case err != nil:
		panic(http.ErrAbortHandler) // the caller ended the request early
	case int64(len(body)) > limit:
		x.fail(http.StatusRequestEntityTooLarge, "body too large")
		return false
	case !markRunning(x.r):
		panic(http.ErrAbortHandler)
	}
	x.body = body
	x.bodyPending = false
	return true
}

// unreadBodyTimeout is how long the server waits for the rest of the body of a request that is refused
// without it, so that the connection can be kept.
const unreadBodyTimeout = 500 * time.Millisecond

// setReadDeadline sets the time until which the body must have arrived. The server removes the
// deadline when the body has been read.
func (x *exchange) setReadDeadline(t time.Time) {
	if err := http.NewResponseController(x.w).SetReadDeadline(t); err != nil {
		x.g.logger.Warn("failed to set the read deadline of a caller's connection", "id", x.attempt, "error", err)
	}
}

// identifyContent computes the ID of the request's content, by which logs and decisions
// recognize the request when it is repeated under another attempt ID, and those of the
// shared parts of its prompt.
func (x *exchange) identifyContent() {
	c := wardturn.Content{
		Method:  x.r.Method,
		Host:    x.r.Host,
		Target:  x.r.RequestURI,
		Adapter: x.key,
		Body:    x.body,
	}
	if x.team != nil {
		c.Team = x.team.ID
	}
	x.content = c.ID()
	x.parts = promptParts(x.service, x.r.Header.Values(x.g.names.Prompt))
}
