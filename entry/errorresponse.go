package entry

import (
	"bufio"
	"encoding/json"
	"math"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"wardturn"
	"wardturn/driver"
)

// errorResponse describes an error response. The zero value means no error.
type errorResponse struct {
	status  int
	code    string
	message string
	param   string
	outcome wardturn.Outcome
}

// errorBody is the body of an error response: an error object as in the OpenAI API,
// extended by whether the request ran.
type errorBody struct {
	Error driver.ErrorDetail `json:"error"`
	Ran   string             `json:"ran"` // no, yes or unknown
}

func (r errorResponse) body() errorBody {
	errType := "server_error"
	if r.status < fasthttp.StatusInternalServerError {
		errType = "invalid_request_error"
	}
	ran := "no"
	if r.outcome.Kind == wardturn.Unknown {
		ran = "unknown"
	}
	return errorBody{
		Error: driver.ErrorDetail{
			Message: r.message,
			Type:    errType,
			Code:    r.code,
			Param:   r.param,
		},
		Ran: ran,
	}
}

func writeError(ctx *fasthttp.RequestCtx, errResp errorResponse) {
	ctx.SetStatusCode(errResp.status)
	ctx.SetContentType("application/json")
	if errResp.outcome.Kind == 0 {
		errResp.outcome = wardturn.Refused(wardturn.Reason(errResp.code), 0)
	}
	ctx.Response.Header.Set(HeaderOutcome, errResp.outcome.Kind.String())
	ctx.Response.Header.Set(HeaderReason, string(errResp.outcome.Reason))
	if retryAfter := errResp.outcome.RetryAfter; retryAfter > 0 {
		seconds := int(math.Ceil(retryAfter.Seconds()))
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	body, _ := json.Marshal(errResp.body())
	ctx.SetBody(append(body, '\n'))
}

// writeErrorEvent writes the error event that ends a truncated stream.
func writeErrorEvent(w *bufio.Writer, outcome wardturn.Outcome) {
	body, _ := json.Marshal(outcomeError(outcome).body())
	_, _ = w.WriteString("event: error\ndata: ")
	_, _ = w.Write(body)
	_, _ = w.WriteString("\n\n")
}

// outcomeError returns the error response for an outcome. It includes the outcome's retry
// delay, if any.
func outcomeError(o wardturn.Outcome) errorResponse {
	errResp := errorResponse{
		status:  statusCode(o),
		code:    string(o.Reason),
		outcome: o,
	}
	if o.Kind == wardturn.Unknown {
		errResp.message = "the request may have run: " + reasonText(o.Reason)
		return errResp
	}
	errResp.message = "the request did not run: " + reasonText(o.Reason)
	return errResp
}

func statusCode(o wardturn.Outcome) int {
	if o.Kind == wardturn.Unknown {
		if o.Reason == wardturn.ReasonDeadline {
			return fasthttp.StatusGatewayTimeout
		}
		return fasthttp.StatusBadGateway
	}
	switch o.Reason {
	case wardturn.ReasonQuota, wardturn.ReasonQueueFull:
		return fasthttp.StatusTooManyRequests
	case wardturn.ReasonKeyReused:
		return fasthttp.StatusUnprocessableEntity
	case wardturn.ReasonKeyTooOld, wardturn.ReasonKeyInProgress, wardturn.ReasonDuplicate:
		return fasthttp.StatusConflict
	}
	return fasthttp.StatusServiceUnavailable
}

// reasonText returns a description of a reason for error messages.
func reasonText(r wardturn.Reason) string {
	switch r {
	case wardturn.ReasonQueueFull:
		return "too many requests are waiting"
	case wardturn.ReasonDeadline:
		return "it could not be answered before its deadline"
	case wardturn.ReasonLeaving:
		return "this host is leaving"
	case wardturn.ReasonQuota:
		return "the caller's quota is used up"
	case wardturn.ReasonNoUpstream:
		return "no upstream can take it now"
	case wardturn.ReasonUnreachable:
		return "the upstream's agent cannot be reached"
	case wardturn.ReasonLogUnavailable:
		return "the log is out, and without it the request cannot be kept from running twice"
	case wardturn.ReasonKeyReused:
		return "the idempotency key was used for another request"
	case wardturn.ReasonKeyTooOld:
		return "the idempotency key is older than the remembered window"
	case wardturn.ReasonKeyInProgress:
		return "an earlier request with the same idempotency key is still running"
	case wardturn.ReasonDuplicate:
		return "an earlier request with the same idempotency key ran, and its answer is not known"
	case wardturn.ReasonUpstreamLost:
		return "the upstream was lost"
	case wardturn.ReasonAgentRestarted:
		return "the upstream's agent restarted"
	}
	return strings.ReplaceAll(string(r), "_", " ")
}

func badRequest(param, message string) errorResponse {
	return errorResponse{
		status:  fasthttp.StatusBadRequest,
		code:    string(wardturn.ReasonBadRequest),
		message: strings.TrimSpace(param + " " + message),
		param:   param,
	}
}

func unauthorized() errorResponse {
	return errorResponse{
		status:  fasthttp.StatusUnauthorized,
		code:    "unauthorized",
		message: "a known key is needed, as Authorization: Bearer KEY",
	}
}

func forbidden(what string) errorResponse {
	return errorResponse{
		status:  fasthttp.StatusForbidden,
		code:    string(wardturn.ReasonForbidden),
		message: "the key does not allow " + what,
	}
}

func unknownAdapter(ref wardturn.AdapterRef) errorResponse {
	return errorResponse{
		status:  fasthttp.StatusNotFound,
		code:    string(wardturn.ReasonUnknownAdapter),
		message: "no adapter " + ref.String(),
		param:   "model",
	}
}

func unknownService(name wardturn.ServiceName) errorResponse {
	return errorResponse{
		status:  fasthttp.StatusNotFound,
		code:    string(wardturn.ReasonUnknownService),
		message: "no service " + string(name),
	}
}

// onProtocolError responds to input that is not a valid HTTP request or exceeds the size
// limits.
func (e *Entry) onProtocolError(ctx *fasthttp.RequestCtx, err error) {
	errResp := badRequest("", "the request cannot be read")
	var small *fasthttp.ErrSmallBuffer
	tooLarge := e.wasTooLarge(&ctx.Request.Header)
	switch {
	case tooLarge, errors.Is(err, fasthttp.ErrBodyTooLarge):
		errResp = e.bodyTooLarge()
	case errors.As(err, &small):
		errResp.status = fasthttp.StatusRequestHeaderFieldsTooLarge
		errResp.code = string(wardturn.ReasonTooLarge)
		errResp.message = "the headers are larger than 16 KiB"
	}
	enableLinger(ctx.Conn())
	writeError(ctx, errResp)
}
