package gateway

import (
	"io"
	"net/http"
	"slices"
	"strconv"

	"wardturn"
)

// take looks at the head of an answer and passes it on, or says what it means.
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
		x.g.logger.Warn("success without proof of the upstream", "id", x.attempt, "upstream", a.Member.ID)
		ans.discard()
		return unknown
	case res.StatusCode == http.StatusServiceUnavailable, res.StatusCode == http.StatusTooManyRequests, res.StatusCode == http.StatusRequestTimeout:
		// These would tell the caller that it did not run, which the upstream
		// has not said.
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

// tryAgain reports whether a request that ran and failed may run once more, and
// takes that from the budget.
func (x *exchange) tryAgain() bool {
	return x.repeatable() && x.ran+1 < x.route.MaxUpstreams && x.g.clock.Now().Before(x.end) && x.g.mayResend(x.service)
}

func (x *exchange) misdirected(a assignment, head wardturn.AnswerHead) {
	if got := head.Instance; got != "" && got != a.Member.ID.Instance() {
		x.g.logger.Info("another upstream at the address", "upstream", a.Member.ID, "found", got, "addr", a.Member.Addr)
		x.g.misplaced(a.Member.ID)
		x.g.crashes.ended(a.Member.ID)
		return
	}
	x.g.notHeld(a.Member.ID, x.key)
}

// drain reads the rest of an answer that is not passed on.
func (x *exchange) drain(ans *answer) {
	if _, err := io.Copy(io.Discard, io.LimitReader(ans.res.Body, plainAnswerLimit)); err != nil {
		ans.discard()
		return
	}
	ans.release()
}

// whole reads an answer to its end before the caller sees any of it.
func (x *exchange) whole(a assignment, ans *answer) result {
	x.unwatch() // it has begun, or the upstream would not answer
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
	_, _ = x.w.Write(body) // a caller that left needs no answer
	if res.StatusCode >= http.StatusInternalServerError {
		return erred
	}
	return passed
}

func (x *exchange) copyHead(res *http.Response) {
	h := x.w.Header()
	for name, values := range res.Header {
		if !slices.Contains(hopHeaders, name) {
			h[name] = values
		}
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // keeps the library from guessing one
	}
	h["Date"] = nil
}
