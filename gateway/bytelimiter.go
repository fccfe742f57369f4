package gateway

import (
	"io"
	"sync/atomic"
)

// byteLimiter limits the bytes of request bodies that the process buffers. Without the
// limit, many callers that send long bodies slowly could exhaust the memory of the host.
type byteLimiter struct {
	limit    int64 // zero: no limit
	reserved atomic.Int64
}

// reserve reserves bytes and reports whether they fit in the limit.
func (l *byteLimiter) reserve(n int64) bool {
	if reserved := l.reserved.Add(n); l.limit == 0 || reserved <= l.limit {
		return true
	}
	l.reserved.Add(-n)
	return false
}

// release releases reserved bytes.
func (l *byteLimiter) release(n int64) {
	l.reserved.Add(-n)
}

// reserveStep is how many bytes are reserved at a time for a body of unknown length.
const reserveStep = 64 << 10

// reservingReader reads a body of unknown length and reserves bytes for it as it grows.
type reservingReader struct {
	r         io.Reader
	limiter   *byteLimiter
	reserved  int64 // bytes reserved for this body
	read      int64
	exhausted bool // the limit was reached
}

// Read implements io.Reader. It fails with io.ErrShortBuffer when the limit is reached.
func (r *reservingReader) Read(p []byte) (int, error) {
	for r.reserved-r.read < int64(len(p)) {
		if !r.limiter.reserve(reserveStep) {
			r.exhausted = true
			return 0, io.ErrShortBuffer
		}
		r.reserved += reserveStep
	}
	n, err := r.r.Read(p)
	r.read += int64(n)
	return n, err
}
