package process

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrBudgetExhausted is returned if a ByteBudget has no room left.
var ErrBudgetExhausted = errors.New("process: byte budget exhausted")

// ByteBudget bounds the bytes that a process holds for one purpose on behalf of all its
// connections, so that a crowd of them can't exhaust the memory of the host. The zero value has no
// limit.
type ByteBudget struct {
	limit int64 // zero: no limit
	held  atomic.Int64
}

// NewByteBudget returns a budget of a number of bytes; zero means no limit.
func NewByteBudget(limit int64) *ByteBudget {
	return &ByteBudget{
		limit: limit,
	}
}

// Grow adds n bytes for a holder that holds own bytes, and reports whether they fit. They always
// fit if there is no other holder.
func (b *ByteBudget) Grow(own, n int64) bool {
	if held := b.held.Add(n); b.limit == 0 || held <= b.limit || held == own+n {
		return true
	}
	b.held.Add(-n)
	return false
}

// Reserve adds n bytes and reports whether they fit.
func (b *ByteBudget) Reserve(n int64) bool {
	if held := b.held.Add(n); b.limit == 0 || held <= b.limit {
		return true
	}
	b.held.Add(-n)
	return false
}

// Release returns n bytes.
func (b *ByteBudget) Release(n int64) {
	if n != 0 {
		b.held.Add(-n)
	}
}

// Held returns the number of bytes held.
func (b *ByteBudget) Held() int64 {
	return b.held.Load()
}

const (
	// firstBodyBuffer is the size of the first buffer for a body. It grows as bytes arrive: a
	// body that was announced and is never sent takes no more.
	firstBodyBuffer = 16 << 10
	// bodyAllowance is how much of each body is not counted. The number of connections bounds
	// it, and ordinary requests are served while large bodies use up the budget.
	bodyAllowance = 4 << 10
)

// ReadBody reads a body into memory, with room from the budget for what exceeds a few KB. Size is
// its length in bytes, or -1 if it is not known; the result holds more than limit bytes if the
// body is longer than that. The bytes reserved must be released by the caller, also after an error,
// which is ErrBudgetExhausted if there is no room.
func (b *ByteBudget) ReadBody(r io.Reader, size, limit int64) (body []byte, reserved int64, err error) {
	most := limit + 1
	if size >= 0 {
		most = min(size, most)
	}
	for int64(len(body)) < most {
		if len(body) == cap(body) {
			body, reserved, err = b.enlarge(body, reserved, most)
			if err != nil {
				return nil, reserved, err
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch whole := int64(len(body)) == size; {
		case errors.Is(err, io.EOF) && (whole || size < 0):
			return body, reserved, nil
		case err != nil:
			return nil, reserved, err
		case whole:
			return body, reserved, readEnd(r)
		}
	}
	return body, reserved, nil
}

// readEnd reads the end of a body whose bytes were all read: only then does a server begin to watch
// whether the caller leaves.
func readEnd(r io.Reader) error {
	var b [1]byte
	if _, err := r.Read(b[:]); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// enlarge returns a larger buffer with the same bytes. During the copy both are held.
func (b *ByteBudget) enlarge(body []byte, reserved, most int64) (larger []byte, held int64, err error) {
	size := min(most, max(firstBodyBuffer, 2*int64(cap(body))))
	need := max(0, size-bodyAllowance)
	if !b.Grow(reserved, need) {
		return nil, reserved, ErrBudgetExhausted
	}
	larger = append(make([]byte, 0, size), body...)
	b.Release(reserved)
	return larger[:len(body):size], need, nil
}
