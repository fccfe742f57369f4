package entry

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"wardturn"
)

// reply answers with an outcome that is not Done.
func (e *Entry) reply(ctx *fasthttp.RequestCtx, x *exchange, outcome wardturn.Outcome) {
	e.setHeaders(ctx, x, outcome)
	writeProblem(ctx, problemOf(outcome))
}

// setHeaders tells the caller what ran. Before the end of a stream the outcome
// is not known.
func (e *Entry) setHeaders(ctx *fasthttp.RequestCtx, x *exchange, outcome wardturn.Outcome) {
	h := &ctx.Response.Header
	if !x.req.Adapter.IsZero() {
		h.Set(HeaderAdapter, string(x.req.Adapter.Adapter))
		h.Set(HeaderVersion, strconv.FormatInt(int64(x.req.Adapter.Version), 10))
	}
	if x.head != nil {
		h.Set(HeaderStall, strconv.FormatInt(x.head.AdapterWait.Milliseconds(), 10))
	}
	if outcome.Kind != 0 {
		h.Set(HeaderOutcome, outcome.Kind.String())
		if outcome.Reason != wardturn.ReasonNone {
			h.Set(HeaderReason, string(outcome.Reason))
		}
	}
}
