package gateway

import (
	"cmp"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// errMisplaced is returned when an answer does not go on where it should.
var errMisplaced = errors.New("gateway: resumed stream begins elsewhere")

// resume reports whether a stream that was cut may go on at another upstream,
// and takes that from the budget.
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

// lastEvent returns the id of the last event that the caller has.
func (x *exchange) lastEvent() string {
	return cmp.Or(x.events.last, x.r.Header.Get(x.g.names.LastEvent))
}

// stream passes an answer on as it comes. The answer that resumes a stream adds
// to the head that the caller has.
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

// unreadTime is how long an upstream's answer may be left unread before its end tells nothing
// of the upstream: it cuts off what nobody takes.
const unreadTime = time.Second

// slowCaller reports whether the caller left the answer unread for so long that the
// upstream may have cut it off.
func (x *exchange) slowCaller() bool {
	return x.timing.write >= unreadTime
}

// callerPatience is how long after the end of a request its caller may still take the rest
// of the answer.
const callerPatience = 5 * time.Second

// boundWrites has the connection of a caller that takes no bytes of a stream end some time
// after the request's own end; undo ends that.
func (x *exchange) boundWrites() (undo func()) {
	rc := http.NewResponseController(x.w)
	if err := rc.SetWriteDeadline(x.end.Add(callerPatience)); err != nil {
		x.g.logger.Warn("time of a caller's connection not bounded", "id", x.attempt, "error", err)
		return func() {}
	}
	return func() {
		_ = rc.SetWriteDeadline(time.Time{}) // the connection may have ended
	}
}

// stopped returns what became of a stream whose bytes were not passed on.
func stopped(err error) result {
	if errors.Is(err, errMisplaced) {
		return cut
	}
	return left
}

// pass writes bytes of an answer to the caller; of a resumable stream, whole
// events only.
func (x *exchange) pass(a assignment, data []byte) error {
	if !x.route.Resumable {
		_, err := x.w.Write(data)
		return err
	}
	whole, why := x.events.take(data)
	return x.writeEvents(a, whole, why)
}

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

// writeEvents passes events on and returns an error if what follows does not belong to
// the caller's stream.
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

// noteRepeated tells of events that were left out since the caller has them.
func (x *exchange) noteRepeated(a assignment) {
	if x.events.skipped == 0 {
		return
	}
	x.g.metrics.misplaced(repeated)
	x.g.logger.Warn("resumed stream begins elsewhere", "id", x.attempt, "route", x.route.Name, "upstream", a.Member.ID, "left_out", x.events.skipped, "reason", repeated)
}
