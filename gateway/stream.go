package gateway

import (
	"cmp"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// errResumeMismatch is returned if a resumed stream does not continue after the last
// event that was forwarded.
var errResumeMismatch = errors.New("gateway: resumed stream does not continue after the last event")

// mayResume reports whether a stream that ended early may continue at another upstream,
// and charges the retry budget for it.
func (x *exchange) mayResume() bool {
	if !x.eventsBegun || !x.route.Resumable || x.r.Context().Err() != nil || x.g.ending.ctx.Err() != nil {
		return false
	}
	if x.possibleRuns >= x.route.MaxUpstreams || !x.g.clock.Now().Before(x.deadline) || !x.events.resume() {
		return false
	}
	if x.begun != nil && !x.begun.known(x.r.Context(), x.g, listedTimeout) {
		x.g.logger.Info("stream may have begun at another lifetime", "id", x.attempt, "upstream", x.begun.upstream, "software", x.software)
		return false
	}
	if !x.g.allowRetry(x.service) {
		return false
	}
	x.g.logger.Info("stream goes on elsewhere", "id", x.attempt, "after", x.lastEvent(), "tried", len(x.tried), "software", x.software)
	return true
}

// lastEvent returns the id of the last event that the caller received.
func (x *exchange) lastEvent() string {
	return cmp.Or(x.events.last, x.r.Header.Get(x.g.names.LastEventID))
}

// forwardStream forwards a response as it arrives. A response that resumes a stream is
// appended to what the caller has, without headers of its own.
func (x *exchange) forwardStream(a assignment, resp *response) result {
	x.boundary = eventBoundary{}
	defer x.recordRepeated(a)
	defer x.setWriteDeadline()()
	flusher, _ := x.w.(http.Flusher)
	buf := make([]byte, readChunk)
	for {
		n, err := resp.res.Body.Read(buf)
		if n > 0 {
			x.recordPrefill(a)
			x.endPrefill(a)
			x.recordBytes()
			x.boundary.write(buf[:n])
			if x.boundary.completed && !x.send.answered && x.isEventStream(resp.res) {
				x.answerBegan()
			}
			x.writeStreamHeader(resp.res)
			writeErr := x.forwardBytes(a, buf[:n])
			flusher.Flush()
			x.timing.maxWrite = max(x.timing.maxWrite, x.g.clock.Now().Sub(x.timing.lastByte))
			if writeErr != nil {
				resp.discard()
				return streamResult(writeErr)
			}
		}
		if errors.Is(err, io.EOF) {
			return x.finishStream(a, resp)
		}
		if err != nil {
			resp.discard()
			if x.r.Context().Err() != nil {
				return resultCallerGone
			}
			x.recordStreamEnd(a, resp.res, endError)
			return x.truncated()
		}
	}
}

// truncated returns the result of a response that ended early.
func (x *exchange) truncated() result {
	if !x.headerWritten {
		return resultUnknown
	}
	return resultTruncated
}

// writeStreamHeader writes the response header, unless an earlier send has done so. Streams
// of events get no length, because a caller would take one that is truncated after all of
// its bytes for complete.
func (x *exchange) writeStreamHeader(res *http.Response) {
	if x.headerWritten {
		return
	}
	x.copyHeader(res)
	if res.ContentLength >= 0 && !x.route.Resumable && !x.isEventStream(res) {
		x.w.Header().Set("Content-Length", strconv.FormatInt(res.ContentLength, 10))
	} else {
		x.w.Header().Del("Content-Length")
	}
	x.w.WriteHeader(res.StatusCode)
	x.headerWritten = true
	x.eventsBegun = x.isEventStream(res)
}

// slowWriteTime is the duration of a write to the caller from which on a truncated response
// does not count against the upstream, since upstreams close connections that are not read.
const slowWriteTime = time.Second

// slowCaller reports whether the caller was so slow to read the response that the upstream
// may have closed the connection for it.
func (x *exchange) slowCaller() bool {
	return x.timing.maxWrite >= slowWriteTime
}

// writeGrace is how long after the deadline of a request its caller may still read the
// rest of the response.
const writeGrace = 5 * time.Second

// setWriteDeadline sets a write deadline, some time after the deadline of the request, for
// callers that stop reading a stream. undo removes the deadline.
func (x *exchange) setWriteDeadline() (undo func()) {
	rc := http.NewResponseController(x.w)
	if err := rc.SetWriteDeadline(x.deadline.Add(writeGrace)); err != nil {
		x.g.logger.Warn("failed to set the write deadline of a caller's connection", "id", x.attempt, "error", err)
		return func() {}
	}
	return func() {
		_ = rc.SetWriteDeadline(time.Time{}) // fails only if the connection has ended
	}
}

// streamResult returns the result of a stream whose events could not be forwarded.
func streamResult(err error) result {
	if errors.Is(err, errResumeMismatch) {
		return resultTruncated
	}
	return resultCallerGone
}

// forwardBytes forwards bytes of a response to the caller; of a resumable stream, only
// complete events.
func (x *exchange) forwardBytes(a assignment, data []byte) error {
	if !x.route.Resumable {
		_, err := x.w.Write(data)
		return err
	}
	events, mismatch := x.events.feed(data)
	if len(events) > 0 {
		x.recordOrigin(a)
	}
	return x.writeEvents(a, events, mismatch)
}

// complete reports whether a stream of events that was read to its end is complete. A
// resumed stream may be empty, if the caller already has its last event. After a run that broke off
// here its end must be explicit: an empty body that ends with its connection may have been broken off
// too, before its first event.
func (x *exchange) complete(res *http.Response, end streamEnd) bool {
	if end == endEmpty {
		return framingOf(res) != framingClose || x.lastEvent() != "" && !x.headerWritten
	}
	return end == endBetweenEvents
}

// finishStream releases the connection and forwards what is left of a resumable stream.
func (x *exchange) finishStream(a assignment, resp *response) result {
	end := x.boundary.end()
	x.recordStreamEnd(a, resp.res, end)
	resp.release()
	if x.isEventStream(resp.res) && !x.complete(resp.res, end) {
		return x.truncated()
	}
	if end != endEmpty && resp.res.StatusCode < http.StatusMultipleChoices {
		x.answerBegan()
	}
	x.writeStreamHeader(resp.res)
	if !x.route.Resumable {
		return resultForwarded
	}
	events, mismatch := x.events.finish()
	if err := x.writeEvents(a, events, mismatch); err != nil {
		return streamResult(err)
	}
	return resultForwarded
}

// recordStreamEnd counts where a stream of events ended, and logs an end that does not
// complete it.
func (x *exchange) recordStreamEnd(a assignment, res *http.Response, end streamEnd) {
	if !x.isEventStream(res) {
		return
	}
	framing := framingOf(res)
	x.g.metrics.streamEnded(framing, end)
	if end != endBetweenEvents {
		x.g.logger.Info("stream ended early", "id", x.attempt, "route", x.route.Name, "upstream", a.Member.ID, "framing", framing, "end", end, "after", x.lastEvent())
	}
}

// writeEvents forwards events. If mismatch is not empty, it is the reason why the rest of
// the response does not continue the caller's stream, and writeEvents returns
// errResumeMismatch.
func (x *exchange) writeEvents(a assignment, events []byte, mismatch resumeMismatch) error {
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	if mismatch == "" {
		return nil
	}
	x.g.metrics.resumeMismatch(mismatch)
	x.g.logger.Warn("resumed stream begins elsewhere", "id", x.attempt, "route", x.route.Name, "upstream", a.Member.ID, "after", x.lastEvent(), "reason", mismatch)
	return errResumeMismatch
}

// recordRepeated logs and counts events that were not forwarded because the caller has
// them already.
func (x *exchange) recordRepeated(a assignment) {
	if x.events.skipped == 0 {
		return
	}
	x.g.metrics.resumeMismatch(mismatchRepeated)
	x.g.logger.Warn("resumed stream begins elsewhere", "id", x.attempt, "route", x.route.Name, "upstream", a.Member.ID, "repeated", x.events.skipped, "reason", mismatchRepeated)
}
