package entry

import (
	"bufio"
	"strconv"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"wardturn"
	"wardturn/control"
)

// Headers of the caller API.
const (
	HeaderRequestID             = "X-Request-Id"
	HeaderClass                 = "X-Wardturn-Class"
	HeaderDeadline              = "X-Wardturn-Deadline-Ms"
	HeaderNotRepeatable         = "X-Wardturn-Not-Repeatable"
	HeaderIdempotencyKey        = "Idempotency-Key"
	HeaderIdempotencyKeyCreated = "Idempotency-Key-Created"
	HeaderAdapter               = "X-Wardturn-Adapter"
	HeaderVersion               = "X-Wardturn-Version"
	HeaderOutcome               = "X-Wardturn-Outcome"
	HeaderReason                = "X-Wardturn-Reason"
	HeaderLoadStall             = "X-Wardturn-Load-Stall-Ms"
)

func (e *Entry) handler() fasthttp.RequestHandler {
	r := router.New()
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.NotFound = func(ctx *fasthttp.RequestCtx) {
		writeError(ctx, errorResponse{
			status:  fasthttp.StatusNotFound,
			code:    "not_found",
			message: "no such path",
		})
	}
	r.MethodNotAllowed = func(ctx *fasthttp.RequestCtx) {
		writeError(ctx, errorResponse{
			status:  fasthttp.StatusMethodNotAllowed,
			code:    "method_not_allowed",
			message: "the path does not take this method",
		})
	}
	r.POST("/v1/completions", e.withCaller(e.handleCompletion))
	r.POST("/v1/chat/completions", e.withCaller(e.handleCompletion))
	r.GET("/v1/models", e.withCaller(e.listModels))
	r.ANY("/v1/services/{name}/{path:*}", e.withCaller(e.callService))
	r.GET("/healthz", healthz)
	r.GET("/readyz", e.readyz)
	r.GET("/metrics", e.metrics.handler)
	e.registerAdmin(r)
	return r.Handler
}

func healthz(ctx *fasthttp.RequestCtx) {
	ctx.SetBodyString("ok\n")
}

func (e *Entry) readyz(ctx *fasthttp.RequestCtx) {
	if !e.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not ready\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// callerHandler handles a request of an authenticated caller.
type callerHandler func(ctx *fasthttp.RequestCtx, caller wardturn.CallerID)

// withCaller returns a handler that authenticates the caller before it calls h. The
// caller's quota is applied later, on admission.
func (e *Entry) withCaller(h callerHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set(HeaderRequestID, string(e.requestID(ctx)))
		caller, ok := e.authenticate(ctx)
		if !ok {
			writeError(ctx, unauthorized())
			return
		}
		h(ctx, caller)
	}
}

// requestID returns the request ID that the caller sent if it is valid, and a new ID
// otherwise.
func (e *Entry) requestID(ctx *fasthttp.RequestCtx) wardturn.RequestID {
	given := string(ctx.Request.Header.Peek(HeaderRequestID))
	if wardturn.ValidName(given) {
		return wardturn.RequestID(given)
	}
	n := e.requestSeq.Add(1)
	return wardturn.RequestID(string(e.cfg.Process) + "-r" + strconv.FormatUint(n, 10))
}

func assignedRequestID(ctx *fasthttp.RequestCtx) wardturn.RequestID {
	return wardturn.RequestID(ctx.Response.Header.Peek(HeaderRequestID))
}

// handleCompletion handles completion and chat completion requests.
func (e *Entry) handleCompletion(ctx *fasthttp.RequestCtx, caller wardturn.CallerID) {
	x, errResp := e.readCompletion(ctx, caller)
	if errResp.code != "" {
		writeError(ctx, errResp)
		return
	}
	e.admit(ctx, x, x.stream)
}

// readCompletion parses and authorizes a completion request.
func (e *Entry) readCompletion(ctx *fasthttp.RequestCtx, caller wardturn.CallerID) (*exchange, errorResponse) {
	parser := parsers.Get()
	defer parsers.Put(parser)
	c, errResp := parseCompletion(parser, requestBody(ctx), e.cfg.DefaultOutput)
	if errResp.code != "" {
		return nil, errResp
	}
	config := e.replica.AppliedOffset()
	ref, model, ok := e.catalog.Resolve(c.ref)
	if !ok {
		return nil, unknownAdapter(c.ref)
	}
	if !e.mayUse(caller, string(ref.Adapter), adapterPatterns) {
		return nil, forbidden("adapter " + string(ref.Adapter))
	}
	req, errResp := e.newRequest(ctx, caller)
	if errResp.code != "" {
		return nil, errResp
	}
	req.Adapter = ref
	req.Prompt = c.prompt
	req.Output = c.output
	req.Body = c.rewriteBody(ref, req.Class)
	req.Repeatable = true
	return &exchange{
		entry:   e,
		req:     req,
		model:   model,
		newest:  c.ref.Version == 0,
		config:  config,
		stream:  c.stream,
		arrived: e.clock.Now(),
	}, errorResponse{}
}

// callService forwards a request to a plain HTTP service.
func (e *Entry) callService(ctx *fasthttp.RequestCtx, caller wardturn.CallerID) {
	name := wardturn.ServiceName(ctx.UserValue("name").(string))
	config := e.replica.AppliedOffset()
	doc, ok := e.catalog.Service(name)
	if !ok {
		writeError(ctx, unknownService(name))
		return
	}
	if !e.mayUse(caller, string(name), servicePatterns) {
		writeError(ctx, forbidden("service "+string(name)))
		return
	}
	req, errResp := e.newRequest(ctx, caller)
	if errResp.code != "" {
		writeError(ctx, errResp)
		return
	}
	path, _ := ctx.UserValue("path").(string)
	req.Service = name
	if timeout := time.Duration(doc.Deadline); timeout > 0 && len(ctx.Request.Header.Peek(HeaderDeadline)) == 0 {
		req.Deadline = e.clock.Now().Add(timeout)
	}
	req.Path = "/" + path
	if q := ctx.URI().QueryString(); len(q) > 0 {
		req.Path += "?" + string(q)
	}
	req.Header = forwardedHeader(ctx)
	req.Body = requestBody(ctx)
	req.Repeatable = doc.Repeatable(req.Method) && !boolHeader(ctx, HeaderNotRepeatable)
	if errResp := e.setIdempotencyKey(ctx, &req); errResp.code != "" {
		writeError(ctx, errResp)
		return
	}
	x := &exchange{
		entry:   e,
		req:     req,
		config:  config,
		arrived: e.clock.Now(),
	}
	e.admit(ctx, x, false)
}

// newRequest sets the fields that completion and service requests have in common.
func (e *Entry) newRequest(ctx *fasthttp.RequestCtx, caller wardturn.CallerID) (wardturn.Request, errorResponse) {
	class, ok := wardturn.ParseClass(string(ctx.Request.Header.Peek(HeaderClass)))
	if !ok {
		return wardturn.Request{}, badRequest(HeaderClass, "must be interactive or batch")
	}
	timeout := e.cfg.Deadline
	if v := ctx.Request.Header.Peek(HeaderDeadline); len(v) > 0 {
		ms, err := strconv.ParseInt(string(v), 10, 64)
		if err != nil || ms < 1 || ms > e.cfg.MaxDeadline.Milliseconds() {
			return wardturn.Request{}, badRequest(HeaderDeadline, "must be milliseconds from 1 to "+strconv.FormatInt(e.cfg.MaxDeadline.Milliseconds(), 10))
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	return wardturn.Request{
		ID:       assignedRequestID(ctx),
		Caller:   caller,
		Team:     e.callerTeam(caller),
		Class:    class,
		Method:   string(ctx.Method()),
		Path:     string(ctx.Path()),
		Deadline: e.clock.Now().Add(timeout),
	}, errorResponse{}
}

// setIdempotencyKey sets the idempotency key of a request that is not repeatable. If the
// caller sent no key, it generates one, so that the request still runs at most once.
func (e *Entry) setIdempotencyKey(ctx *fasthttp.RequestCtx, req *wardturn.Request) errorResponse {
	key := string(ctx.Request.Header.Peek(HeaderIdempotencyKey))
	if req.Repeatable {
		return errorResponse{}
	}
	now := e.clock.Now()
	req.Digest = requestDigest(req)
	if key == "" {
		req.Key = wardturn.IdempotencyKey(string(e.cfg.Process) + "/" + string(req.ID))
		req.KeyCreated = now
		return errorResponse{}
	}
	if len(key) > maxIdempotencyKeyLen {
		return badRequest(HeaderIdempotencyKey, "must not be longer than 256 bytes")
	}
	created, err := time.Parse(time.RFC3339, string(ctx.Request.Header.Peek(HeaderIdempotencyKeyCreated)))
	if err != nil {
		return badRequest(HeaderIdempotencyKeyCreated, "must be the time the key was made, as in 2026-01-02T15:04:05Z")
	}
	if created.After(now.Add(control.MaxKeySkew)) {
		return badRequest(HeaderIdempotencyKeyCreated, "is in the future")
	}
	if now.Sub(created) > control.MaxKeyAge {
		return errorResponse{
			status:  fasthttp.StatusConflict,
			code:    string(wardturn.ReasonKeyTooOld),
			message: "the idempotency key is older than the remembered window; the request did not run",
			outcome: wardturn.Refused(wardturn.ReasonKeyTooOld, 0),
		}
	}
	req.Key = wardturn.IdempotencyKey(key)
	req.KeyCreated = created
	return errorResponse{}
}

const maxIdempotencyKeyLen = 256

func boolHeader(ctx *fasthttp.RequestCtx, name string) bool {
	return string(ctx.Request.Header.Peek(name)) == "true"
}

// forwardedHeader returns the headers to forward to a plain service: all except
// connection-level headers, the Authorization header and the request ID.
func forwardedHeader(ctx *fasthttp.RequestCtx) []wardturn.HeaderField {
	var list []wardturn.HeaderField
	for k, v := range ctx.Request.Header.All() {
		switch string(k) {
		case "Host", "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Upgrade", "Authorization", HeaderRequestID:
			continue
		}
		list = append(list, wardturn.HeaderField{
			Name:  string(k),
			Value: string(v),
		})
	}
	return list
}

// admit checks the entry's request limit and the caller's quota, then runs the request.
func (e *Entry) admit(ctx *fasthttp.RequestCtx, x *exchange, stream bool) {
	if e.shuttingDown.Load() {
		e.replyError(ctx, x, wardturn.Refused(wardturn.ReasonLeaving, time.Second))
		return
	}
	if e.openRequests.Add(1) > int64(e.cfg.MaxRequests) {
		e.openRequests.Add(-1)
		e.replyError(ctx, x, wardturn.Refused(wardturn.ReasonQueueFull, time.Second))
		return
	}
	if retryAfter, ok := e.acquireQuota(x.req.Caller); !ok {
		e.openRequests.Add(-1)
		e.replyError(ctx, x, wardturn.Refused(wardturn.ReasonQuota, retryAfter))
		return
	}
	x.memory = memoryOf(ctx)
	x.memory.retained = true
	e.routerMu.Lock()
	e.retryBudget.Request(e.clock.Now())
	e.routerMu.Unlock()
	data, ended := x.advance()
	if stream && !ended {
		e.respondStreaming(ctx, x, data)
		return
	}
	e.respondBuffered(ctx, x, data, ended)
	e.endRequest(x)
}

// endRequest releases the resources of an admitted request that has ended, and records it
// in the metrics and the log.
func (e *Entry) endRequest(x *exchange) {
	x.memory.release()
	e.releaseQuota(x.req.Caller)
	e.openRequests.Add(-1)
	e.metrics.observe(x)
	e.recordIndicators(x)
	e.logger.Debug("request ended",
		"request", x.req.ID,
		"caller", x.req.Caller,
		"adapter", x.req.Adapter,
		"service", x.req.Service,
		"upstream", x.upstream,
		"attempts", x.attemptCount,
		"outcome", x.outcome.Kind,
		"reason", x.outcome.Reason,
		"bytes", x.forwarded,
	)
}

// maxBufferedResponse is the maximum size of a buffered response in bytes.
const maxBufferedResponse = 16 << 20

// respondBuffered buffers the response and forwards it only when it is complete.
func (e *Entry) respondBuffered(ctx *fasthttp.RequestCtx, x *exchange, data []byte, ended bool) {
	var body []byte
	for !ended {
		body = append(body, data...)
		if len(body) > maxBufferedResponse {
			x.abort()
			break
		}
		data, ended = x.advance()
	}
	if x.outcome.Kind != wardturn.Done {
		e.replyError(ctx, x, x.outcome)
		return
	}
	e.setOutcomeHeaders(ctx, x, x.outcome)
	status := fasthttp.StatusOK
	if x.head != nil && x.head.Status != 0 {
		status = x.head.Status
		for _, h := range x.head.Header {
			ctx.Response.Header.Add(h.Name, h.Value)
		}
	} else {
		ctx.SetContentType("application/json")
	}
	ctx.SetStatusCode(status)
	ctx.Response.SetBodyRaw(body)
}

// respondStreaming forwards the response as it arrives. A truncated response ends with an
// error event and without the end marker, so that the caller can't mistake it for a
// complete one.
func (e *Entry) respondStreaming(ctx *fasthttp.RequestCtx, x *exchange, first []byte) {
	e.setOutcomeHeaders(ctx, x, wardturn.Outcome{})
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	data := append([]byte(nil), first...)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.endRequest(x)
		ended := false
		for !ended {
			if _, err := w.Write(data); err != nil || w.Flush() != nil {
				x.abort()
				return
			}
			data, ended = x.advance()
		}
		if x.outcome.Kind != wardturn.Done {
			writeErrorEvent(w, x.outcome)
		}
		_ = w.Flush()
	})
}
