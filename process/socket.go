package process

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// tcpUserTimeout is the socket option of that name, which package syscall lacks.
const tcpUserTimeout = 18

// UserTimeout returns the control function of a dialer whose connections end when
// bytes that were sent have no acknowledgement for d. A connection may go silent
// for good without a reset, when a host loses power or something between forgets
// it, and a host that is merely frozen still acknowledges.
func UserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return setUserTimeout(c, d)
	}
}

// SetUserTimeout does that for a connection that was accepted. One that is not of
// TCP stays as it is.
func SetUserTimeout(nc net.Conn, d time.Duration) error {
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "user timeout")
	}
	return setUserTimeout(raw, d)
}

func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var err error
	ctlErr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	return errors.Wrap(errors.CombineErrors(ctlErr, err), "user timeout")
}
