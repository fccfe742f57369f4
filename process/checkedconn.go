package process

import (
	"net"

	"github.com/cockroachdb/errors"
)

// CheckedConn is a client's connection on which requests follow each other. Reading fails with
// ErrNotHTTP if what follows a request is no head of a response: fasthttp takes some of it for one, and the
// status 000 for 200. It reports such an error as a closed connection.
type CheckedConn struct {
	net.Conn
	scanner ResponseScanner
}

// CheckResponses returns a dial function whose connections are checked.
func CheckResponses(dial func(addr string) (net.Conn, error)) func(addr string) (net.Conn, error) {
	return func(addr string) (net.Conn, error) {
		c, err := dial(addr)
		if err != nil {
			return nil, err
		}
		return NewCheckedConn(c), nil
	}
}

// NewCheckedConn returns a checked connection on which no request has been sent.
func NewCheckedConn(c net.Conn) *CheckedConn {
	return &CheckedConn{
		Conn: c,
	}
}

// Write implements net.Conn. The head of a response is expected after it.
func (c *CheckedConn) Write(p []byte) (int, error) {
	c.scanner = ResponseScanner{}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *CheckedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.check(p[:n]) {
		return 0, errors.Wrapf(ErrNotHTTP, "%.40q", p[:n])
	}
	return n, err
}

// check checks bytes up to the end of the head of a final response.
func (c *CheckedConn) check(data []byte) bool {
	for i := range data {
		switch {
		case !c.scanner.Done():
		case c.scanner.Interim():
			c.scanner = ResponseScanner{}
		default:
			return true
		}
		if !c.scanner.Write(data[i : i+1]) {
			return false
		}
	}
	return true
}
