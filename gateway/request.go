package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wardturn"
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
		timeout = min(timeout, time.Duration(n)*time.Millisecond)
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
	body, exhausted, err := x.bufferBody(limit)
	if exhausted {
		x.w.Header().Set("Connection", "close") // the rest of the body stays unread
		x.refuse(wardturn.ReasonQueueFull, unreadyRetryAfter, "held", x.g.bodyLimiter.reserved.Load())
		return false
	}
	if err != nil {
		panic(http.ErrAbortHandler) // the caller ended the request early
	}
	if int64(len(body)) > limit {
		x.fail(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	x.body = body
	return true
}

// bufferBody reads the body up to a limit and reserves buffer space for it; exhausted
// reports that no space is left.
func (x *exchange) bufferBody(limit int64) (body []byte, exhausted bool, err error) {
	if n := x.r.ContentLength; n > 0 {
		if !x.g.bodyLimiter.reserve(n) {
			return nil, true, nil
		}
		x.reservedBody = n
		body = make([]byte, n)
		_, err = io.ReadFull(x.r.Body, body)
		return body, false, err
	}
	r := &reservingReader{
		r:       io.LimitReader(x.r.Body, limit+1),
		limiter: &x.g.bodyLimiter,
	}
	body, err = io.ReadAll(r)
	x.reservedBody = r.reserved
	return body, r.exhausted, err
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
	x.parts = promptParts(x.service, x.r.Header.Get(x.g.names.Prompt))
}
