package process

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrNotHTTP is returned if bytes are not the head of an HTTP/1 response.
var ErrNotHTTP = errors.New("process: not an HTTP response")

// maxHeaderName bounds the name of a header in a response in bytes.
const maxHeaderName = 256

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

// ResponseScanner checks the bytes of the head of an HTTP/1 response as they arrive, so that bytes that
// are no response are recognized before they end. The zero value expects the first byte.
type ResponseScanner struct {
	part    headPart
	n       int // bytes of the part
	last    bool
	interim bool // the status is below 200: another head follows
}

// Done reports whether the head is complete.
func (s *ResponseScanner) Done() bool {
	return s.part == headDone
}

// Interim reports whether a complete head is that of an interim response.
func (s *ResponseScanner) Interim() bool {
	return s.interim
}

// Write scans bytes until the head is complete. It reports false if they are not those of a head.
func (s *ResponseScanner) Write(data []byte) bool {
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

func (s *ResponseScanner) enter(p headPart) {
	s.part = p
	s.n = 0
}

func (s *ResponseScanner) writeByte(c byte) bool {
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
func (s *ResponseScanner) writeVersion(n int, c byte) bool {
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

// writeStatus scans byte n of the status and the byte behind it. A first digit other than 1 to 5 is
// that of no status (RFC 9110, section 15).
func (s *ResponseScanner) writeStatus(n int, c byte) bool {
	switch {
	case n == 0:
		s.interim = c == '1'
		return c >= '1' && c <= '5'
	case n < statusDigits:
		return isDigit(c)
	}
	s.enter(inReason)
	return c == ' ' || (c == '\r' || c == '\n') && s.writeText(c)
}

// writeText scans a byte of the reason phrase or of the value of a header.
func (s *ResponseScanner) writeText(c byte) bool {
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
func (s *ResponseScanner) startLine(c byte) bool {
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

func (s *ResponseScanner) endLine() {
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
