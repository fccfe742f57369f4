package gateway

import (
	"mime"
	"net/http"
)

// bodyFraming is how a response marks the end of its body.
type bodyFraming string

const (
	framingLength  bodyFraming = "length"
	framingChunked bodyFraming = "chunked"
	// framingClose: the body ends with its connection, so the framing does not tell a
	// complete body from a truncated one.
	framingClose bodyFraming = "close"
)

// framingOf returns the framing of a response's body.
func framingOf(res *http.Response) bodyFraming {
	switch {
	case chunked(res):
		return framingChunked
	case res.ContentLength >= 0:
		return framingLength
	}
	return framingClose
}

// streamEnd is where a stream of events ended.
type streamEnd string

const (
	endEmpty         streamEnd = "empty" // before the first byte of the body
	endBetweenEvents streamEnd = "between_events"
	endInsideEvent   streamEnd = "inside_event"
	// endError: the connection failed, or the framing shows that the body is not complete.
	endError streamEnd = "error"
)

const eventStreamType = "text/event-stream"

// isEventStream reports whether the body of a response is a stream of server-sent events.
func (x *exchange) isEventStream(res *http.Response) bool {
	if !x.route.Streaming {
		return false
	}
	contentType := res.Header.Get("Content-Type")
	if contentType == "" {
		return true
	}
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == eventStreamType
}

// eventBoundary tracks whether a stream of server-sent events has so far ended between two
// events. An event ends with an empty line; lines end with LF, CRLF or CR (WHATWG HTML,
// section 9.2.6).
type eventBoundary struct {
	any     bool // a byte was written
	inLine  bool // the current line is not empty
	comment bool // the current line is a comment
	inEvent bool // a field was written after the latest empty line
	afterCR bool // the latest byte is CR, so LF belongs to the same line end

	completed bool // a whole event was written
}

func (b *eventBoundary) write(data []byte) {
	for _, c := range data {
		b.writeByte(c)
	}
}

func (b *eventBoundary) writeByte(c byte) {
	b.any = true
	crlf := b.afterCR && c == '\n'
	b.afterCR = c == '\r'
	switch {
	case crlf:
	case c != '\n' && c != '\r':
		b.comment = b.comment || !b.inLine && c == ':'
		b.inLine = true
	default:
		b.completed = b.completed || b.inEvent && !b.inLine
		b.inEvent = b.inLine && (b.inEvent || !b.comment)
		b.inLine, b.comment = false, false
	}
}

// end returns where the stream ends if no more data follows.
func (b *eventBoundary) end() streamEnd {
	switch {
	case !b.any:
		return endEmpty
	case b.inLine || b.inEvent:
		return endInsideEvent
	}
	return endBetweenEvents
}
