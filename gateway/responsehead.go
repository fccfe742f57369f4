package gateway

import (
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxResponseHead bounds the head of a response in bytes, with what is buffered of its body.
	maxResponseHead = 256 << 10
	// maxHeaderName bounds the name of a header in a response in bytes.
	maxHeaderName = 256
	// headTimeout is the time from the first byte of a response's head to its last one, which
	// usually come in one packet. It leaves time for retransmissions.
	headTimeout = time.Second
	// skippedBodyTimeout and maxSkippedBody bound the body of a response to another request,
	// behind which the own response is expected.
	skippedBodyTimeout = time.Second
	maxSkippedBody     = 1 << 20
	// drainTimeout bounds the rest of a body that is read only so that the connection can be reused.
	drainTimeout = 100 * time.Millisecond
)

// errNotHTTP is returned if the bytes of an upstream are not the head of an HTTP/1 response.
var errNotHTTP = errors.New("gateway: not an HTTP response")

// headPart is a part of the head of a response.
type headPart uint8

const (
	inVersion headPart = iota
	inStatus
	inReason
	atLineStart
	inName
	inValue
	atLineEnd // after CR
	headDone
)

// versionPrefix begins each response, up to the minor version.
const versionPrefix = "HTTP/1."

// headScanner checks the bytes of a head as they arrive, so that bytes that are no response are
// recognized before they end.
type headScanner struct {
	part headPart
	n    int // bytes of the part
	last bool
}

// write scans bytes until the head is complete. It reports false if they are not those of a head.
func (s *headScanner) write(data []byte) bool {
	for _, c := range data {
		if s.part == headDone {
			return true
		}
		if !s.writeByte(c) {
			return false
		}
	}
	return true
}

func (s *headScanner) enter(p headPart) {
	s.part = p
	s.n = 0
}

func (s *headScanner) writeByte(c byte) bool {
	n := s.n
	s.n++
	switch s.part {
	case inVersion:
		return s.writeVersion(n, c)
	case inStatus:
		return s.writeStatus(n, c)
	case inReason, inValue:
		return s.writeText(c)
	case atLineStart:
		return s.startLine(c)
	case inName:
		if c == ':' {
			s.enter(inValue)
			return true
		}
		return n < maxHeaderName && isToken(c)
	case atLineEnd:
		s.endLine()
		return c == '\n'
	}
	return false
}

// writeVersion scans byte n of the version and the blank behind it.
func (s *headScanner) writeVersion(n int, c byte) bool {
	switch {
	case n < len(versionPrefix):
		return c == versionPrefix[n]
	case n == len(versionPrefix):
		return isDigit(c)
	}
	s.enter(inStatus)
	return c == ' '
}

const statusDigits = 3

// writeStatus scans byte n of the status and the byte behind it.
func (s *headScanner) writeStatus(n int, c byte) bool {
	if n < statusDigits {
		return isDigit(c)
	}
	s.enter(inReason)
	return c == ' ' || (c == '\r' || c == '\n') && s.writeText(c)
}

// writeText scans a byte of the reason phrase or of the value of a header.
func (s *headScanner) writeText(c byte) bool {
	switch c {
	case '\r':
		s.enter(atLineEnd)
		return true
	case '\n':
		s.endLine()
		return true
	case '\t':
		return true
	}
	return c >= ' ' && c != 0x7f
}

// startLine scans the first byte of a line of headers.
func (s *headScanner) startLine(c byte) bool {
	switch c {
	case '\r':
		s.last = true
		s.enter(atLineEnd)
		return true
	case '\n':
		s.last = true
		s.endLine()
		return true
	case ' ', '\t': // the value of the line before goes on
		s.enter(inValue)
		return true
	}
	s.enter(inName)
	return isToken(c)
}

func (s *headScanner) endLine() {
	if s.last {
		s.enter(headDone)
		return
	}
	s.enter(atLineStart)
}

func isDigit(c byte) bool {
	return c >= '0' && c <= '9'
}

// isToken reports whether a byte may be part of the name of a header (RFC 9110, section 5.6.2).
func isToken(c byte) bool {
	return isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// awaitHead waits for the head of a response and checks its bytes as they arrive. It returns early if
// the head is longer than the read buffer.
func (c *upstreamConn) awaitHead() error {
	var s headScanner
	scanned := 0
	for {
		if _, err := c.br.Peek(scanned + 1); err != nil {
			return err
		}
		data, _ := c.br.Peek(c.br.Buffered()) // never fails
		if !s.write(data[scanned:]) {
			return errors.Wrapf(errNotHTTP, "%.40q", data)
		}
		if s.part == headDone {
			return nil
		}
		if scanned == 0 {
			c.limitRead(headTimeout)
		}
		if len(data) == readBufferSize {
			return nil
		}
		scanned = len(data)
	}
}

// readHead reads the head of the response to a request. An upstream that sends a head without end
// would fill the gateway's memory, or hold the request until its deadline.
func (c *upstreamConn) readHead(r *http.Request) (*http.Response, error) {
	defer c.unlimitRead()
	c.limit.N = maxResponseHead
	if err := c.awaitHead(); err != nil {
		return nil, err
	}
	res, err := http.ReadResponse(c.br, r)
	if err != nil && c.limit.N == 0 {
		return nil, errHeadTooLarge
	}
	c.limit.N = math.MaxInt64
	return res, err
}

// errBodyTooLong is returned for the body of a response that is skipped, if it has more bytes than are
// read of it.
var errBodyTooLong = errors.New("gateway: body of a response is too long to be skipped")

// skipBody reads the rest of a body that nobody needs, up to a number of bytes and for a time.
func (c *upstreamConn) skipBody(res *http.Response, maxBytes int64, timeout time.Duration) error {
	c.limitRead(timeout)
	defer c.unlimitRead()
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxBytes+1))
	if err == nil && n > maxBytes {
		err = errBodyTooLong
	}
	return err
}

// limitRead sets the time in which the following reads must end.
func (c *upstreamConn) limitRead(d time.Duration) {
	_ = c.SetReadDeadline(time.Now().Add(d)) // fails only on a closed connection, as does the read
	c.readLimited = true
}

// unlimitRead undoes limitRead.
func (c *upstreamConn) unlimitRead() {
	if c.readLimited {
		_ = c.SetReadDeadline(time.Time{})
		c.readLimited = false
	}
}
