package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn/process"
)

// Limits bounds what all connections of a server together make the process hold.
type Limits struct {
	// Messages is the budget for the messages that are read and those that wait to be sent, beyond
	// a few KB for each connection; nil means no limit.
	Messages *process.ByteBudget
}

const (
	// maxHello is the maximum size of the first frame in bytes, which is read before it is known
	// who sends it.
	maxHello = 4 << 10
	// messageAllowance is how much of the messages in each direction of a connection is not taken
	// from the budget.
	messageAllowance = 8 << 10
	// valueCost is the estimated memory of a decoded value of a message in bytes: an element of a list
	// may be a structure, even if it takes one byte of the frame.
	valueCost = 128
	// frameTimeout is the time in which a frame larger than messageAllowance must arrive.
	frameTimeout = 10 * time.Second
)

// frameReader reads the frames of a connection.
type frameReader struct {
	r       *bufio.Reader
	nc      net.Conn
	budget  *process.ByteBudget
	held    int64 // from the budget, for the frame that is read or handled
	scratch []byte
}

// next reads a frame of at most limit bytes. The previous message must have been handled.
func (f *frameReader) next(limit int) (Message, error) {
	f.release()
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(f.r, header[:]); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(header[:4]))
	switch {
	case size == 0:
		return nil, errors.Wrap(ErrBadFrame, "empty")
	case size > limit:
		return nil, ErrFrameTooLarge
	}
	if size > messageAllowance {
		// Deadlines use the system clock, not wardturn.Clock.
		if err := f.nc.SetReadDeadline(time.Now().Add(frameTimeout)); err != nil {
			return nil, errors.Wrap(err, "peer: frame")
		}
		defer func() {
			_ = f.nc.SetReadDeadline(time.Time{}) // fails only if the connection has ended
		}()
	}
	body, err := readBody(f.r, f.scratch[:0], size-1, f.reserve)
	if err != nil {
		return nil, err
	}
	f.scratch = reusable(body)
	if size > messageAllowance {
		if err := f.reserve(len(body) + countValues(body)*valueCost); err != nil {
			return nil, err
		}
	}
	return decode(Kind(header[4]), body)
}

// reserve reserves room for n bytes in all.
func (f *frameReader) reserve(n int) error {
	need := int64(n) - messageAllowance - f.held
	if need <= 0 || f.budget == nil {
		return nil
	}
	if !f.budget.Reserve(need) {
		return process.ErrBudgetExhausted
	}
	f.held += need
	return nil
}

// release returns the room of the latest frame.
func (f *frameReader) release() {
	if f.budget != nil {
		f.budget.Release(f.held)
	}
	f.held = 0
}

// reserveSend reserves room for a send buffer of n bytes. The lock must be held.
func (c *Conn) reserveSend(n int) bool {
	need := int64(n) - messageAllowance - c.sendHeld
	if need <= 0 || c.frames.budget == nil {
		return true
	}
	if !c.frames.budget.Reserve(need) {
		return false
	}
	c.sendHeld += need
	return true
}

// releaseSend returns room of the send buffer.
func (c *Conn) releaseSend(n int64) {
	if c.frames.budget != nil {
		c.frames.budget.Release(n)
	}
}

// countValues returns the number of values in msgpack data. It follows no references and allocates
// nothing, so that data can be judged before it is decoded. What is not well-formed counts up to its
// fault.
func countValues(b []byte) int {
	n := 0
	for len(b) > 0 {
		n++
		size := valueSize(b)
		if size > len(b) {
			return n
		}
		b = b[size:]
	}
	return n
}

// valueSize returns the size in bytes of the first value in b, without the elements of an array or a
// map, which count as values of their own. It is more than len(b) if the value is incomplete.
func valueSize(b []byte) int {
	code := b[0]
	switch {
	case code >= 0xa0 && code < 0xc0: // short string
		return 1 + int(code&0x1f)
	case code >= 0xd4 && code <= 0xd8: // extension of 1, 2, 4, 8 or 16 bytes
		return 2 + 1<<(code-0xd4)
	}
	switch code {
	case 0xc4, 0xd9: // binary and string with a length of one byte
		return lengthAt(b, 1, 0)
	case 0xc5, 0xda:
		return lengthAt(b, 2, 0)
	case 0xc6, 0xdb:
		return lengthAt(b, 4, 0)
	case 0xc7: // extension
		return lengthAt(b, 1, 1)
	case 0xc8:
		return lengthAt(b, 2, 1)
	case 0xc9:
		return lengthAt(b, 4, 1)
	case 0xcc, 0xd0:
		return 2
	case 0xcd, 0xd1, 0xdc, 0xde: // numbers of two bytes; arrays and maps
		return 3
	case 0xca, 0xce, 0xd2, 0xdd, 0xdf:
		return 5
	case 0xcb, 0xcf, 0xd3:
		return 9
	}
	return 1
}

// lengthAt returns the size of a value whose length stands in the n bytes after its code and is
// followed by more bytes beside the data.
func lengthAt(b []byte, n, more int) int {
	if len(b) < 1+n {
		return len(b) + 1
	}
	length := 0
	for _, c := range b[1 : 1+n] {
		length = length<<8 | int(c)
	}
	return 1 + n + more + length
}
