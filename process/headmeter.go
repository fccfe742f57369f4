package process

import "bytes"

// The memory that a head takes once it is parsed, in bytes. A line of a few bytes has a map entry, a
// slice and two strings of its own; the text is held as read, as parsed, and as sent to an upstream.
const (
	headByteCost = 4
	headLineCost = 256
)

// headMeter finds the end of the head of a request in the bytes that arrive, and measures the head.
// The zero value expects the first byte of a request.
type headMeter struct {
	bytes int
	lines int
	done  bool // the end was found

	begun bool // a byte of the request line was seen
	line  int  // bytes of the current line
	cr    bool // the current line is a carriage return so far
}

// blank returns how many bytes at the beginning of p are empty lines before the request, which
// servers should ignore (RFC 9112, 2.2), and counts them.
func (m *headMeter) blank(p []byte) int {
	if m.begun {
		return 0
	}
	n := leadingBlank(p)
	m.bytes += n
	m.begun = n < len(p)
	return n
}

// leadingBlank returns how many bytes at the beginning of p are ends of lines.
func leadingBlank(p []byte) int {
	n := 0
	for n < len(p) && (p[n] == '\r' || p[n] == '\n') {
		n++
	}
	return n
}

// scan measures the next bytes, up to the end of the head, and returns how many belong to it.
func (m *headMeter) scan(p []byte) int {
	n := 0
	for n < len(p) && !m.done {
		i := bytes.IndexByte(p[n:], '\n')
		if i < 0 {
			m.line += len(p) - n
			m.cr = m.line == 1 && p[len(p)-1] == '\r'
			n = len(p)
			break
		}
		m.done = m.line+i == 0 || m.line == 0 && i == 1 && p[n] == '\r' || m.cr && i == 0
		m.lines++
		m.line, m.cr = 0, false
		n += i + 1
	}
	m.bytes += n
	return n
}

// cost returns the estimated memory of the head in bytes.
func (m *headMeter) cost() int64 {
	return int64(m.bytes)*headByteCost + int64(m.lines)*headLineCost
}
