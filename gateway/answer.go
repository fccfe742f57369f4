package gateway

import (
	"io"
	"net/http"
	"slices"
	"strconv"

	"wardturn"
)

// take handles a response by its status and headers: it forwards the response to the
// caller, or discards it and returns what that means for the request.
func (x *exchange) take(a assignment, ans *answer) result {
	res := ans.res
	switch {
	case res.StatusCode == http.StatusMisdirectedRequest:
		x.misdirected(a, ans.head)
		x.drain(ans)
		return notRun
	case ans.head.NotExecuted && res.StatusCode != http.StatusBadRequest:
		x.drain(ans)
		return notRun
	case res.StatusCode < http.StatusMultipleChoices && !ans.head.Receipt:
		x.g.logger.Warn("success response without the upstream's receipt header", "id", x.attempt, "upstream", a.Member.ID)
		ans.discard()
		return unknown
	case res.StatusCode == http.StatusServiceUnavailable, res.StatusCode == http.StatusTooManyRequests, res.StatusCode == http.StatusRequestTimeout:
		// The caller would take these statuses to mean that the request did not run,
		// which the upstream has not confirmed.
		ans.discard()
		return unknown
	case x.begun && res.StatusCode != http.StatusOK:
		x.drain(ans)
		return cut
	case res.StatusCode >= http.StatusInternalServerError && x.tryAgain():
		x.drain(ans)
		return failed
	case x.route.Streaming && res.StatusCode < http.StatusMultipleChoices:
		return x.stream(a, ans)
	}
	return x.whole(a, ans)
}

// tryAgain reports whether a request that ran and failed may run once more, and charges
// the retry budget for it.
func (x *exchange) tryAgain() bool {
	return x.repeatable() && x.ran+1 < x.route.MaxUpstreams && x.g.clock.Now().Before(x.end) && x.g.mayResend(x.service)
}

// misdirected handles a 421 response: either another instance now listens at the address,
// or the upstream does not hold the adapter.
func (x *exchange) misdirected(a assignment, head wardturn.AnswerHead) {
	if got := head.Instance; got != "" && got != a.Member.ID.Instance() {
		x.g.logger.Info("another upstream at the address", "upstream", a.Member.ID, "found", got, "addr", a.Member.Addr)
		x.g.misplaced(a.Member.ID)
		x.g.crashes.ended(a.Member.ID)
		return
	}
	x.g.notHeld(a.Member.ID, x.key)
}

// drain reads the rest of a response that is not forwarded, so that its connection can be
// reused.
func (x *exchange) drain(ans *answer) {
	if _, err := io.Copy(io.Discard, io.LimitReader(ans.res.Body, plainAnswerLimit)); err != nil {
		ans.discard()
		return
	}
	ans.release()
}

// whole reads a response completely before it forwards any of it to the caller.
func (x *exchange) whole(a assignment, ans *answer) result {
	x.unwatch() // the upstream responds, so the request has started
	res := ans.res
	if res.ContentLength > plainAnswerLimit {
		return x.stream(a, ans)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, plainAnswerLimit+1))
	if err != nil || len(body) > plainAnswerLimit {
		ans.discard()
		if x.r.Context().Err() != nil {
			return left
		}
		return unknown
	}
	ans.release()
	x.arrivedBytes()
	x.copyHead(res)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(res.StatusCode)
	_, _ = x.w.Write(body) // fails only if the caller is gone
	if res.StatusCode >= http.StatusInternalServerError {
		return erred
	}
	return passed
}

// copyHead copies the headers of a response for the caller, without the hop-by-hop ones.
func (x *exchange) copyHead(res *http.Response) {
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
