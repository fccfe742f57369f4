package peer_test

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"go.uber.org/goleak"

	"wardturn/peer"
	"wardturn/process"
	"wardturn/standin"
)

// exhaustedListener fails to accept some times, as if there were too many open files.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{
			Op:  "accept",
			Err: syscall.EMFILE,
		}
	}
	return l.Listener.Accept()
}

// failureRecorder is a recorder that counts the failures to accept connections.
type failureRecorder struct {
	*recorder
	failures atomic.Int32
}

func (r *failureRecorder) AcceptFailed(error) {
	r.failures.Add(1)
}

// Guards against a server that accepts nothing any more after too many files were open once.
func TestServerAcceptsAfterTooManyOpenFiles(t *testing.T) {
	defer goleak.VerifyNone(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	exhausted := &exhaustedListener{
		Listener: ln,
	}
	exhausted.failures.Store(3)
	srv := &failureRecorder{
		recorder: newRecorder(),
	}
	server := peer.NewServer(exhausted, nil, process.Clock{}, identity(peer.RoleAgent, "a1"), peer.Limits{}, srv)
	defer server.Close()
	cli := newRecorder()
	client := peer.NewClient(ln.Addr().String(), nil, standin.NewFastClock(10), identity(peer.RoleEntry, "e1"), cli)
	defer client.Close()
	cli.waitFor(t, "connection", func() bool { return cli.conns == 1 })
	if got := srv.failures.Load(); got != 1 {
		t.Errorf("%d reports of three failures in a row, want 1", got)
	}
}
