package gateway

import (
	"io"
	"sync/atomic"
)

// heldBytes limits the bytes of request bodies that the process buffers. Without the limit,
// many callers that send long bodies slowly could exhaust the memory of the host.
type heldBytes struct {
	most int64 // zero: no limit
	held atomic.Int64
}

// take reserves bytes and reports whether they fit in the limit.
func (h *heldBytes) take(n int64) bool {
	if held := h.held.Add(n); h.most == 0 || held <= h.most {
		return true
	}
	h.held.Add(-n)
	return false
}

// give releases reserved bytes.
func (h *heldBytes) give(n int64) {
	h.held.Add(-n)
}

// bodyStep is how many bytes are reserved at a time for a body of unknown length.
const bodyStep = 64 << 10

// heldReader reads a body of unknown length and reserves bytes for it as it grows.
type heldReader struct {
	r     io.Reader
	held  *heldBytes
	taken int64 // bytes reserved for this body
	read  int64
	full  bool // the limit was reached
}

// Read implements io.Reader. It fails with io.ErrShortBuffer when the limit is reached.
func (r *heldReader) Read(p []byte) (int, error) {
	for r.taken-r.read < int64(len(p)) {
		if !r.held.take(bodyStep) {
			r.full = true
			return 0, io.ErrShortBuffer
		}
		r.taken += bodyStep
	}
	n, err := r.r.Read(p)
	r.read += int64(n)
	return n, err
}
