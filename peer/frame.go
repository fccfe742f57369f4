package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MaxFrame is the maximum size of a frame in bytes, including its kind.
	MaxFrame = 4 << 20
	// frameHeaderSize is the size of the length and the kind.
	frameHeaderSize = 5
)

var (
	// ErrFrameTooLarge is returned for a frame larger than MaxFrame.
	ErrFrameTooLarge = errors.New("peer: frame too large")
	// ErrBadFrame is returned for a frame that can't be decoded into a known message.
	ErrBadFrame = errors.New("peer: malformed frame")
)

// encoder is a reusable msgpack encoder with its buffer.
type encoder struct {
	buf bytes.Buffer
	enc *msgpack.Encoder
}

var encoders = sync.Pool{
	New: func() any {
		e := &encoder{}
		e.enc = msgpack.NewEncoder(&e.buf)
		return e
	},
}

// AppendFrame appends the frame of a message to buf.
func AppendFrame(buf []byte, m Message) ([]byte, error) {
	e := encoders.Get().(*encoder)
	defer func() {
		if e.buf.Cap() <= maxReusedBuffer {
			encoders.Put(e)
		}
	}()
	e.buf.Reset()
	e.enc.Reset(&e.buf)
	e.enc.UseCompactInts(true)
	e.enc.UseArrayEncodedStructs(true)
	if err := e.enc.Encode(m); err != nil {
		return buf, errors.Wrap(err, "peer: encode")
	}
	size := e.buf.Len() + 1
	if size > MaxFrame {
		return buf, ErrFrameTooLarge
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(size))
	buf = append(buf, byte(m.Kind()))
	return append(buf, e.buf.Bytes()...), nil
}

// decoder is a reusable msgpack decoder.
type decoder struct {
	r   bytes.Reader
	dec *msgpack.Decoder
}

var decoders = sync.Pool{
	New: func() any {
		d := &decoder{}
		d.dec = msgpack.NewDecoder(&d.r)
		return d
	},
}

// ReadFrame reads one frame from r and returns its message and the buffer that it was
// read into. The buffer is scratch if that is large enough; messages don't refer to it.
// Memory is allocated only as the bytes arrive, so a forged length allocates little.
func ReadFrame(r io.Reader, scratch []byte) (Message, []byte, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, scratch, err
	}
	size := binary.BigEndian.Uint32(header[:4])
	if size == 0 {
		return nil, scratch, errors.Wrap(ErrBadFrame, "empty")
	}
	if size > MaxFrame {
		return nil, scratch, ErrFrameTooLarge
	}
	body, err := readBody(r, scratch[:0], int(size)-1, unlimited)
	if err != nil {
		return nil, body, err
	}
	m, err := decode(Kind(header[4]), body)
	return m, body, err
}

// unlimited is a reservation without a limit.
func unlimited(int) error {
	return nil
}

// readBody reads n bytes into buf, which it grows only as they arrive, after reserve has agreed to its
// size.
func readBody(r io.Reader, buf []byte, n int, reserve func(size int) error) ([]byte, error) {
	const step = 64 << 10
	for len(buf) < n {
		start := len(buf)
		if start == cap(buf) {
			size := min(n, max(step, 2*cap(buf)))
			if err := reserve(cap(buf) + size); err != nil { // during the copy both are held
				return buf, err
			}
			larger := make([]byte, start, size)
			copy(larger, buf)
			buf = larger
		}
		grow := min(n, cap(buf)) - start
		buf = buf[:start+grow]
		if _, err := io.ReadFull(r, buf[start:]); err != nil {
			return buf, errors.Wrap(io.ErrUnexpectedEOF, "peer: truncated frame")
		}
	}
	return buf, nil
}

// decode decodes the body of a frame. It recovers from panics, because the msgpack
// library panics on some malformed inputs and a frame must not stop the process.
func decode(k Kind, body []byte) (m Message, err error) {
	m = newMessage(k)
	if m == nil {
		return nil, errors.Wrapf(ErrBadFrame, "kind %d", k)
	}
	defer func() {
		if p := recover(); p != nil {
			m = nil
			err = errors.Wrapf(ErrBadFrame, "kind %d: %v", k, p)
		}
	}()
	d := decoders.Get().(*decoder)
	defer decoders.Put(d)
	d.r.Reset(body)
	d.dec.Reset(&d.r)
	if err := d.dec.Decode(m); err != nil {
		return nil, errors.Wrapf(ErrBadFrame, "kind %d: %v", k, err)
	}
	if d.r.Len() > 0 {
		return nil, errors.Wrapf(ErrBadFrame, "kind %d: %d bytes left over", k, d.r.Len())
	}
	return m, nil
}
