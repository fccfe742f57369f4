package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEvent bounds what is kept of an event that is not whole yet, in bytes;
// longer ones are passed on in parts, and their stream cannot be resumed.
const maxEvent = 64 << 10

// events passes a resumable stream on event by event, so that it can go on at
// another upstream after the last whole one.
type events struct {
	part []byte // of an event that is not whole
	last string // id of the last whole event
	lost bool   // a part was passed on
}

var (
	eventEnd = []byte("\n\n")
	eventID  = []byte("id:")
)

// take returns the whole events of what arrived so far.
func (e *events) take(data []byte) []byte {
	e.part = append(e.part, data...)
	end := bytes.LastIndex(e.part, eventEnd)
	if end < 0 {
		return e.overflow()
	}
	end += len(eventEnd)
	whole := bytes.Clone(e.part[:end])
	e.part = append(e.part[:0], e.part[end:]...)
	e.note(whole)
	return whole
}

func (e *events) overflow() []byte {
	if len(e.part) < maxEvent {
		return nil
	}
	e.lost = true
	data := e.part
	e.part = nil
	return data
}

// note remembers the id of the last event that has one.
func (e *events) note(whole []byte) {
	for line := range bytes.Lines(whole) {
		if rest, ok := bytes.CutPrefix(line, eventID); ok {
			e.last = string(bytes.TrimSpace(rest))
		}
	}
}

// rest returns what came after the last whole event, at the stream's end.
func (e *events) rest() []byte {
	data := e.part
	e.part = nil
	return data
}

// resume reports whether a stream that was cut may go on at another upstream,
// and takes that from the budget.
func (x *exchange) resume() bool {
	if !x.begun || !x.route.Resumable || x.events.lost || x.r.Context().Err() != nil {
		return false
	}
	if x.ran >= x.route.MaxUpstreams || !x.g.clock.Now().Before(x.end) || !x.g.mayResend(x.service) {
		return false
	}
	x.events.part = nil
	x.g.logger.Info("stream goes on elsewhere", "id", x.attempt, "after", x.events.last, "tried", len(x.tried))
	return true
}

// stream passes an answer on as it comes. The answer that resumes a stream adds
// to the head that the caller has.
func (x *exchange) stream(a assignment, ans *answer) result {
	x.startStream(ans.res)
	flusher, _ := x.w.(http.Flusher)
	buf := make([]byte, bodyChunk)
	for {
		n, err := ans.res.Body.Read(buf)
		if n > 0 {
			x.began(a)
			x.arrivedBytes()
			if werr := x.pass(buf[:n]); werr != nil {
				ans.discard()
				return left
			}
			flusher.Flush()
		}
		if errors.Is(err, io.EOF) {
			return x.endStream(ans)
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

// pass writes bytes of an answer to the caller; of a resumable stream, whole
// events only.
func (x *exchange) pass(data []byte) error {
	if x.route.Resumable {
		data = x.events.take(data)
	}
	_, err := x.w.Write(data)
	return err
}

func (x *exchange) endStream(ans *answer) result {
	ans.release()
	if rest := x.events.rest(); len(rest) > 0 {
		if _, err := x.w.Write(rest); err != nil {
			return left
		}
	}
	return passed
}
