package gateway

import (
	"io"
	"math"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn/process"
)

const (
	// maxResponseHead bounds the head of a response in bytes, with what is buffered of its body.
	maxResponseHead = 256 << 10
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

// awaitHead waits for the head of a response and checks its bytes as they arrive. It returns early if
// the head is longer than the read buffer.
func (c *upstreamConn) awaitHead() error {
	var s process.ResponseScanner
	scanned := 0
	for {
		if _, err := c.br.Peek(scanned + 1); err != nil {
			return err
		}
		data, _ := c.br.Peek(c.br.Buffered()) // never fails
		if !s.Write(data[scanned:]) {
			return errors.Wrapf(process.ErrNotHTTP, "%.40q", data)
		}
		if s.Done() {
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
