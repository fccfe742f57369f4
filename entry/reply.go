package entry

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"wardturn"
)

// replyError sends the error response for an outcome that is not Done.
func (e *Entry) replyError(ctx *fasthttp.RequestCtx, x *exchange, outcome wardturn.Outcome) {
	e.setOutcomeHeaders(ctx, x, outcome)
	writeError(ctx, outcomeError(outcome))
}

// setOutcomeHeaders sets the response headers that report the adapter version, the load
// stall and the outcome. The outcome is zero for a stream, because it isn't known before
// the stream has ended.
func (e *Entry) setOutcomeHeaders(ctx *fasthttp.RequestCtx, x *exchange, outcome wardturn.Outcome) {
	h := &ctx.Response.Header
	if !x.req.Adapter.IsZero() {
		h.Set(HeaderAdapter, string(x.req.Adapter.Adapter))
		h.Set(HeaderVersion, strconv.FormatInt(int64(x.req.Adapter.Version), 10))
	}
	if x.head != nil {
		h.Set(HeaderLoadStall, strconv.FormatInt(x.head.AdapterWait.Milliseconds(), 10))
	}
	if outcome.Kind != 0 {
		h.Set(HeaderOutcome, outcome.Kind.String())
		if outcome.Reason != wardturn.ReasonNone {
			h.Set(HeaderReason, string(outcome.Reason))
		}
	}
}
