package standin

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"wardturn"
	"wardturn/driver"
)

// Serve serves a handler on a listener until the listener is closed or stop is called.
// stop waits until the server has stopped.
func Serve(ln net.Listener, h fasthttp.RequestHandler) (stop func()) {
	s := &fasthttp.Server{
		Handler:               h,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ln)
	}()
	return func() {
		ln.Close()
		_ = s.Shutdown()
		<-done
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	_ = json.NewEncoder(ctx).Encode(v)
}

func writeError(ctx *fasthttp.RequestCtx, status int, code, message string) {
	writeJSON(ctx, status, driver.ErrorBody{
		Error: driver.ErrorDetail{
			Message: message,
			Type:    "engine_error",
			Code:    code,
		},
	})
}

// LogHandler returns a handler that serves a log over HTTP.
func LogHandler(l *Log) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch {
		case string(ctx.Path()) != driver.PathRecords:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		case ctx.IsPost():
			appendRecord(ctx, l)
		default:
			readRecords(ctx, l)
		}
	}
}

func appendRecord(ctx *fasthttp.RequestCtx, l *Log) {
	offset, err := l.Append(ctx, ctx.PostBody())
	switch {
	case errors.Is(err, wardturn.ErrUnavailable):
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case err != nil:
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	default:
		writeJSON(ctx, fasthttp.StatusOK, driver.AppendResponse{
			Offset: offset,
		})
	}
}

func readRecords(ctx *fasthttp.RequestCtx, l *Log) {
	args := ctx.QueryArgs()
	from, err := strconv.ParseInt(string(args.Peek("from")), 10, 64)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	wait := time.Duration(args.GetUintOrZero("wait_ms")) * time.Millisecond
	page, err := l.Read(ctx, wardturn.Offset(from), args.GetUintOrZero("limit"), wait)
	status := fasthttp.StatusOK
	switch {
	case errors.Is(err, wardturn.ErrOutOfRetention):
		status = fasthttp.StatusGone
	case err != nil:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	body := driver.LogPage{
		First: page.First,
		Next:  page.Next,
	}
	for _, r := range page.Records {
		body.Records = append(body.Records, driver.LogRecord{
			Offset: r.Offset,
			Time:   r.Time,
			Data:   r.Data,
		})
	}
	writeJSON(ctx, status, body)
}

// HostsHandler returns a handler that serves a host list over HTTP.
func HostsHandler(l *HostList) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		hosts, err := l.Hosts(ctx)
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		if hosts == nil {
			hosts = []wardturn.Host{}
		}
		body, err := json.Marshal(hosts)
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
			return
		}
		sum := sha256.Sum256(body)
		etag := `"` + hex.EncodeToString(sum[:8]) + `"`
		ctx.Response.Header.Set(fasthttp.HeaderETag, etag)
		if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == etag {
			ctx.SetStatusCode(fasthttp.StatusNotModified)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(body)
	}
}

// EngineHandler returns a handler that serves an engine over HTTP.
func EngineHandler(e *Engine) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case driver.PathCompletions, driver.PathChatCompletions:
			serveCompletion(ctx, e)
		case driver.PathLoadAdapter:
			serveSlotOrder(ctx, e.Load)
		case driver.PathUnloadAdapter:
			serveSlotOrder(ctx, e.Unload)
		case driver.PathReport:
			writeJSON(ctx, fasthttp.StatusOK, e.Report())
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}

// serveSlotOrder executes an order to load or unload an adapter and waits for its result.
func serveSlotOrder(ctx *fasthttp.RequestCtx, do func(wardturn.SlotOrder, func(error))) {
	var body driver.AdapterRequest
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return
	}
	ref, err := wardturn.ParseAdapterRef(body.Name)
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return
	}
	fence, _ := strconv.ParseInt(string(ctx.Request.Header.Peek(driver.HeaderFence)), 10, 64)
	id, _ := strconv.ParseUint(string(ctx.Request.Header.Peek(driver.HeaderOrderID)), 10, 64)
	result := make(chan error, 1)
	do(wardturn.SlotOrder{
		ID:      wardturn.OrderID(id),
		Fence:   wardturn.Fence(fence),
		Adapter: ref,
	}, func(err error) {
		result <- err
	})
	if err := <-result; err != nil {
		writeError(ctx, fasthttp.StatusConflict, errorCode(err), err.Error())
		return
	}
	ctx.SetStatusCode(fasthttp.StatusOK)
}

func errorCode(err error) string {
	switch {
	case errors.Is(err, wardturn.ErrFenced):
		return driver.CodeFenced
	case errors.Is(err, wardturn.ErrAdapterBusy):
		return driver.CodeAdapterBusy
	case errors.Is(err, wardturn.ErrNoSlot):
		return driver.CodeNoSlot
	case errors.Is(err, wardturn.ErrStoreBusy):
		return driver.CodeStoreBusy
	case errors.Is(err, wardturn.ErrNotLoaded):
		return driver.CodeNotLoaded
	}
	return driver.CodeUnavailable
}

// completionRequest contains the fields of a completion request that the engine uses.
type completionRequest struct {
	Model     string `json:"model"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority"`
}

const (
	defaultMaxTokens = 16
	bytesPerToken    = 4
)

// streamEvent is an event that the engine's callbacks send to the HTTP response.
type streamEvent struct {
	token int
	end   bool
	err   error
}

// serveCompletion serves a completion request.
func serveCompletion(ctx *fasthttp.RequestCtx, e *Engine) {
	var body completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return
	}
	ref, err := wardturn.ParseAdapterRef(body.Model)
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if body.MaxTokens <= 0 {
		body.MaxTokens = defaultMaxTokens
	}
	a := responseFormatter{
		model: body.Model,
		id:    string(ctx.Request.Header.Peek(driver.HeaderRequestID)),
		chat:  string(ctx.Path()) == driver.PathChatCompletions,
	}
	attempt := wardturn.AttemptID{
		Entry: wardturn.Incarnation(a.id),
	}
	events := make(chan streamEvent, body.MaxTokens+1)
	err = e.Submit(Generation{
		Request: wardturn.EngineRequest{
			Attempt:  attempt,
			Adapter:  ref,
			Priority: body.Priority,
			Prompt:   wardturn.Tokens(max(1, len(ctx.PostBody())/bytesPerToken)),
			Output:   wardturn.Tokens(body.MaxTokens),
		},
		OnToken: func(i int) {
			events <- streamEvent{
				token: i,
			}
		},
		OnEnd: func(_ wardturn.EngineResult, err error) {
			events <- streamEvent{
				end: true,
				err: err,
			}
		},
	})
	if err != nil {
		writeError(ctx, fasthttp.StatusNotFound, errorCode(err), err.Error())
		return
	}
	if body.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			if !a.writeStream(w, events) {
				e.Cancel(attempt)
			}
		})
		return
	}
	a.writeComplete(ctx, events)
}
