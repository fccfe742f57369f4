package gateway

import (
	"cmp"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// errMisplaced is returned if a resumed stream does not continue after the last event that
// was forwarded.
var errMisplaced = errors.New("gateway: resumed stream does not continue after the last event")

// resume reports whether a stream that ended early may continue at another upstream, and
// charges the retry budget for it.
func (x *exchange) resume() bool {
	if !x.begun || !x.route.Resumable || x.r.Context().Err() != nil {
		return false
	}
	if x.ran >= x.route.MaxUpstreams || !x.g.clock.Now().Before(x.end) || !x.events.resume() || !x.g.mayResend(x.service) {
		return false
	}
	x.g.logger.Info("stream goes on elsewhere", "id", x.attempt, "after", x.lastEvent(), "tried", len(x.tried))
	return true
}

// lastEvent returns the id of the last event that the caller received.
func (x *exchange) lastEvent() string {
	return cmp.Or(x.events.last, x.r.Header.Get(x.g.names.LastEvent))
}

// stream forwards a response as it comes. A response that resumes a stream is appended to
// what the caller has, without headers of its own.
func (x *exchange) stream(a assignment, ans *answer) result {
	x.startStream(ans.res)
	defer x.noteRepeated(a)
	defer x.boundWrites()()
	flusher, _ := x.w.(http.Flusher)
	buf := make([]byte, bodyChunk)
	for {
		n, err := ans.res.Body.Read(buf)
		if n > 0 {
			x.noteRead(a)
			x.began(a)
			x.arrivedBytes()
			werr := x.pass(a, buf[:n])
			flusher.Flush()
			x.timing.write = max(x.timing.write, x.g.clock.Now().Sub(x.timing.last))
			if werr != nil {
				ans.discard()
				return stopped(werr)
			}
		}
		if errors.Is(err, io.EOF) {
			return x.endStream(a, ans)
		}
		if err != nil {
			ans.discard()
			if x.r.Context().Err() != nil {
				return left
			}
			return cut
		}
	}
}

// startStream writes the response header, unless an earlier send has done so.
func (x *exchange) startStream(res *http.Response) {
	if x.begun {
		return
	}
	x.copyHead(res)
	if res.ContentLength >= 0 && !x.route.Resumable {
		x.w.Header().Set("Content-Length", strconv.FormatInt(res.ContentLength, 10))
	} else {
		x.w.Header().Del("Content-Length")
	}
	x.w.WriteHeader(res.StatusCode)
	x.begun = true
}

// unreadTime is how long a write to the caller must take for an early end of the response
// to say nothing about the upstream, which closes connections that are not read.
const unreadTime = time.Second

// slowCaller reports whether the caller was so slow to read the response that the upstream
// may have closed the connection for it.
func (x *exchange) slowCaller() bool {
	return x.timing.write >= unreadTime
}

// callerPatience is how long after the deadline of a request its caller may still read the
// rest of the response.
const callerPatience = 5 * time.Second

// boundWrites sets a write deadline, some time after the deadline of the request, for
// callers that stop reading a stream. undo removes the deadline.
func (x *exchange) boundWrites() (undo func()) {
	rc := http.NewResponseController(x.w)
	if err := rc.SetWriteDeadline(x.end.Add(callerPatience)); err != nil {
		x.g.logger.Warn("failed to set the write deadline of a caller's connection", "id", x.attempt, "error", err)
		return func() {}
	}
	return func() {
		_ = rc.SetWriteDeadline(time.Time{}) // fails only if the connection has ended
	}
}

// stopped returns the result of a stream whose events could not be forwarded.
func stopped(err error) result {
	if errors.Is(err, errMisplaced) {
		return cut
	}
	return left
}

// pass forwards bytes of a response to the caller; of a resumable stream, only complete
// events.
func (x *exchange) pass(a assignment, data []byte) error {
	if !x.route.Resumable {
		_, err := x.w.Write(data)
		return err
	}
	whole, why := x.events.take(data)
	return x.writeEvents(a, whole, why)
}

// endStream releases the connection and forwards what is left of a resumable stream.
func (x *exchange) endStream(a assignment, ans *answer) result {
	ans.release()
	if !x.route.Resumable {
		return passed
	}
	data, why := x.events.rest()
	if err := x.writeEvents(a, data, why); err != nil {
		return stopped(err)
	}
	return passed
}

// writeEvents forwards events. It returns errMisplaced if why says that what follows does
// not continue the caller's stream.
func (x *exchange) writeEvents(a assignment, data []byte, why misplacement) error {
	if _, err := x.w.Write(data); err != nil {
		return err
	}
	if why == "" {
		return nil
	}
	x.g.metrics.misplaced(why)
	x.g.logger.Warn("resumed stream begins elsewhere", "id", x.attempt, "route", x.route.Name, "upstream", a.Member.ID, "after", x.lastEvent(), "reason", why)
	return errMisplaced
}

// noteRepeated logs and counts events that were not forwarded because the caller has them
// already.
func (x *exchange) noteRepeated(a assignment) {
	if x.events.skipped == 0 {
		return
	}
	x.g.metrics.misplaced(repeated)
	x.g.logger.Warn("resumed stream begins elsewhere", "id", x.attempt, "route", x.route.Name, "upstream", a.Member.ID, "left_out", x.events.skipped, "reason", repeated)
}
