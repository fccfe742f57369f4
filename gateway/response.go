package gateway

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"

	"wardturn"
)

// handleResponse handles a response by its status and headers: it forwards the response
// to the caller, or discards it and returns what that means for the request.
func (x *exchange) handleResponse(a assignment, resp *response) result {
	res := resp.res
	switch {
	case res.StatusCode == http.StatusMisdirectedRequest:
		x.handleMisdirected(a, resp.head)
		x.drain(resp)
		return resultNotRun
	case resp.head.NotExecuted && res.StatusCode != http.StatusBadRequest:
		x.drain(resp)
		return resultNotRun
	case res.StatusCode < http.StatusMultipleChoices && !resp.head.Receipt:
		x.g.logger.Warn("success response without the upstream's receipt header", "id", x.attempt, "upstream", a.Member.ID)
		resp.discard()
		return x.truncated()
	case res.StatusCode == http.StatusServiceUnavailable, res.StatusCode == http.StatusTooManyRequests, res.StatusCode == http.StatusRequestTimeout:
		// The caller would take these statuses to mean that the request did not run,
		// which the upstream has not confirmed.
		resp.discard()
		return x.truncated()
	case x.headerWritten && (res.StatusCode != http.StatusOK || !x.isEventStream(res)):
		x.drain(resp) // it does not continue the stream that the caller has a part of
		return resultTruncated
	case res.StatusCode >= http.StatusInternalServerError && x.mayRetryFailed():
		x.drain(resp)
		return resultFailed
	case x.route.Streaming && res.StatusCode < http.StatusMultipleChoices:
		return x.forwardStream(a, resp)
	}
	return x.forwardBuffered(a, resp)
}

// mayRetryFailed reports whether a request that ran and failed may run once more, and
// charges the retry budget for it.
func (x *exchange) mayRetryFailed() bool {
	return x.repeatable() && x.possibleRuns+1 < x.route.MaxUpstreams && x.g.clock.Now().Before(x.deadline) && x.g.allowRetry(x.service)
}

// handleMisdirected handles a 421 response: either another instance now listens at the
// address, or the upstream does not hold the adapter.
func (x *exchange) handleMisdirected(a assignment, head wardturn.ResponseHead) {
	if got := head.Instance; got != "" && got != a.Member.ID.Instance() {
		x.g.logger.Info("another upstream at the address", "upstream", a.Member.ID, "found", got, "addr", a.Member.Addr)
		x.g.recordMisdirected(a.Member.ID)
		x.g.crashes.disappeared(a.Member.ID)
		return
	}
	x.g.recordNotHeld(a.Member.ID, x.key)
}

// drain reads the rest of a response that is not forwarded, so that its connection can be
// reused.
func (x *exchange) drain(resp *response) {
	if resp.conn.skipBody(resp.res, maxBufferedResponse, drainTimeout) != nil {
		resp.discard()
		return
	}
	resp.release()
}

// forwardBuffered reads a response completely before it forwards any of it to the caller,
// unless it is too long for that.
func (x *exchange) forwardBuffered(a assignment, resp *response) result {
	x.unwatch() // the upstream responds, so the request has started
	res := resp.res
	if res.ContentLength > maxBufferedResponse {
		return x.forwardStream(a, resp)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBufferedResponse+1))
	if len(body) > maxBufferedResponse {
		res.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body), res.Body))
		return x.forwardStream(a, resp)
	}
	if err != nil {
		resp.discard()
		if x.r.Context().Err() != nil {
			return resultCallerGone
		}
		return resultUnknown
	}
	resp.release()
	defer x.setWriteDeadline()()
	x.recordBytes()
	if res.StatusCode < http.StatusMultipleChoices {
		x.answerBegan()
	}
	x.copyHeader(res)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(res.StatusCode)
	_, _ = x.w.Write(body) // fails only if the caller is gone
	if res.StatusCode >= http.StatusInternalServerError {
		return resultErrorForwarded
	}
	return resultForwarded
}

// copyHeader copies the headers of a response for the caller, without the hop-by-hop ones.
func (x *exchange) copyHeader(res *http.Response) {
	h := x.w.Header()
	for name, values := range res.Header {
		if !slices.Contains(hopHeaders, name) {
			h[name] = values
		}
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // disables content sniffing in net/http
	}
	h["Date"] = nil
}
