package entry

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"wardturn"
	"wardturn/process"
)

// memoryRetryAfter is the Retry-After of requests for whose body there is no memory.
const memoryRetryAfter = time.Second

// requestMemory is what the entry holds of a request of a caller, with its room in the budget for bodies.
type requestMemory struct {
	entry    *Entry
	body     []byte
	reserved int64
	retained bool // until the request has ended, which is after the return of its handler
}

func (m *requestMemory) release() {
	m.entry.bodies.Release(m.reserved)
	m.reserved = 0
}

// memoryOf returns the memory of a request.
func memoryOf(ctx *fasthttp.RequestCtx) *requestMemory {
	return ctx.UserValue(memoryKey{}).(*requestMemory)
}

type memoryKey struct{}

// requestBody returns the body of a request.
func requestBody(ctx *fasthttp.RequestCtx) []byte {
	return memoryOf(ctx).body
}

// withMemory returns a handler that reads the body of a request before it calls h, and refuses requests
// for which there is no memory.
func (e *Entry) withMemory(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		m := &requestMemory{
			entry: e,
		}
		defer func() {
			if !m.retained {
				m.release()
			}
		}()
		ctx.SetUserValue(memoryKey{}, m)
		c := ctx.Conn().(*process.HeadConn)
		c.BeginBody(int64(ctx.Request.Header.ContentLength()))
		if c.Large() {
			ctx.SetConnectionClose() // the server would keep the memory for the next request
		}
		if errResp := m.readBody(ctx); errResp.code != "" {
			ctx.SetConnectionClose() // the rest of the body stays unread
			enableLinger(ctx.Conn())
			writeError(ctx, errResp)
			return
		}
		if !process.KeepOpen(ctx.Conn()) {
			ctx.SetConnectionClose() // it was closed in favor of another one
			return
		}
		h(ctx)
	}
}

// readBody reads the body.
func (m *requestMemory) readBody(ctx *fasthttp.RequestCtx) errorResponse {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		m.body = ctx.PostBody()
		return errorResponse{}
	}
	limit := int64(m.entry.cfg.MaxBody)
	size := int64(ctx.Request.Header.ContentLength())
	if size > limit {
		m.entry.wasTooLarge(&ctx.Request.Header)
		return m.entry.bodyTooLarge()
	}
	var err error
	m.body, m.reserved, err = m.entry.bodies.ReadBody(stream, max(size, -1), limit)
	switch {
	case errors.Is(err, process.ErrBudgetExhausted):
		return m.entry.noMemory()
	case err != nil:
		errResp := badRequest("", "the body cannot be read")
		if isTimeout(err) {
			errResp.status = fasthttp.StatusRequestTimeout
		}
		return errResp
	case int64(len(m.body)) > limit:
		return m.entry.bodyTooLarge()
	}
	return errorResponse{}
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// noMemory is the response to a request for whose body there is no room.
func (e *Entry) noMemory() errorResponse {
	e.metrics.bodiesRefused.Inc(1)
	e.logger.Warn("no memory for a body", "held", e.bodies.Held())
	return errorResponse{
		status:  fasthttp.StatusServiceUnavailable,
		code:    string(wardturn.ReasonQueueFull),
		message: "there is no memory for more requests; the request did not run",
		outcome: wardturn.Refused(wardturn.ReasonQueueFull, memoryRetryAfter),
	}
}

// onHead is called when the head of a request was read. The server reads the first bytes of a body before
// it refuses one that is too large; it does not wait for them.
func (e *Entry) onHead(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	var c fasthttp.RequestConfig
	if h.ContentLength() > e.cfg.MaxBody {
		e.tooLarge.Store(h, true) // the server clears the head before it reports the error
		c.ReadTimeout = time.Millisecond
	}
	return c
}

// wasTooLarge reports whether the body of a request that can't be read is longer than the limit.
func (e *Entry) wasTooLarge(h *fasthttp.RequestHeader) bool {
	_, ok := e.tooLarge.LoadAndDelete(h)
	return ok
}

func (e *Entry) bodyTooLarge() errorResponse {
	errResp := badRequest("", "the body is larger than "+strconv.Itoa(e.cfg.MaxBody)+" bytes")
	errResp.status = fasthttp.StatusRequestEntityTooLarge
	errResp.code = string(wardturn.ReasonTooLarge)
	return errResp
}
