package process

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall doesn't
// define.
const tcpUserTimeout = 18

// UserTimeout returns a function for net.Dialer.Control that sets TCP_USER_TIMEOUT:
// connections fail if sent data is not acknowledged within d. Without it, a connection may
// stay silent forever without a reset, if a host loses power or a device on the path drops
// the connection's state. A host on which only the processes are frozen still acknowledges.
func UserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return setUserTimeout(c, d)
	}
}

// SetUserTimeout sets TCP_USER_TIMEOUT on an existing connection, such as one that was
// accepted. It does nothing if nc is neither a TCP connection nor a layer over one.
func SetUserTimeout(nc net.Conn, d time.Duration) error {
	for {
		layer, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		nc = layer.NetConn()
	}
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "set TCP_USER_TIMEOUT")
	}
	return setUserTimeout(raw, d)
}

func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var err error
	ctlErr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	return errors.Wrap(errors.CombineErrors(ctlErr, err), "set TCP_USER_TIMEOUT")
}
