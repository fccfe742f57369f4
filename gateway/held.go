package gateway

import (
	"io"
	"sync/atomic"
)

// heldBytes bounds the bytes of callers' requests that the process holds. Callers that send
// long bodies slowly, all at once, would else take it beyond the memory of its host.
type heldBytes struct {
	most int64 // zero: there is no bound
	held atomic.Int64
}

// take counts bytes as held and reports whether they fit.
func (h *heldBytes) take(n int64) bool {
	if held := h.held.Add(n); h.most == 0 || held <= h.most {
		return true
	}
	h.held.Add(-n)
	return false
}

// give counts bytes as no longer held.
func (h *heldBytes) give(n int64) {
	h.held.Add(-n)
}

// bodyStep is how many bytes of a body without a length are counted at a time.
const bodyStep = 64 << 10

// heldReader reads a body of unknown length and counts what comes as held.
type heldReader struct {
	r     io.Reader
	held  *heldBytes
	taken int64 // counted for this body
	read  int64
	full  bool // no more fits
}

// Read implements io.Reader. It ends with io.ErrShortBuffer if no more fits.
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
