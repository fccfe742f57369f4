package peer_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wardturn"
	"wardturn/peer"
	"wardturn/process"
	"wardturn/standin"
)

// recorder is a ClientHandler that records messages and connections.
type recorder struct {
	mu       sync.Mutex
	messages []peer.Message
	conns    int
	closed   int
	changed  chan struct{}
}

func newRecorder() *recorder {
	return &recorder{
		changed: make(chan struct{}, 1024),
	}
}

func (r *recorder) Connected(*peer.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns++
	r.changed <- struct{}{}
}

func (r *recorder) Handle(_ *peer.Conn, m peer.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, m)
	r.changed <- struct{}{}
}

func (r *recorder) Closed(*peer.Conn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed++
	r.changed <- struct{}{}
}

// waitFor waits until a condition holds and fails the test after a timeout.
func (r *recorder) waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		r.mu.Lock()
		ok := condition()
		r.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-r.changed:
		case <-timeout:
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func identity(role peer.Role, process wardturn.Incarnation) peer.Identity {
	return peer.Identity{
		Role:    role,
		Process: process,
		Config:  func() wardturn.Offset { return 0 },
	}
}

func TestClientReconnects(t *testing.T) {
	defer goleak.VerifyNone(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := newRecorder()
	server := peer.NewServer(ln, nil, process.Clock{}, identity(peer.RoleAgent, "a1"), peer.Limits{}, srv)
	defer server.Close()
	proxy, err := standin.NewFaultProxy(ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	cli := newRecorder()
	client := peer.NewClient(proxy.Addr(), nil, standin.NewFastClock(10), identity(peer.RoleEntry, "e1"), cli)
	defer client.Close()

	cli.waitFor(t, "connection", func() bool { return cli.conns == 1 })
	if got := client.Conn().Peer().Process; got != "a1" {
		t.Fatalf("connected to %q", got)
	}
	if err := client.Conn().Send(&peer.Cancel{}); err != nil {
		t.Fatal(err)
	}
	srv.waitFor(t, "message", func() bool { return len(srv.messages) > 0 })
	proxy.CloseConns()
	cli.waitFor(t, "second connection", func() bool { return cli.closed == 1 && cli.conns == 2 })
	proxy.Freeze(true)
	cli.waitFor(t, "end of a silent connection", func() bool { return cli.closed == 2 })
	proxy.Freeze(false)
	cli.waitFor(t, "third connection", func() bool { return cli.conns >= 3 })
}

func TestServerRejectsInvalidHello(t *testing.T) {
	defer goleak.VerifyNone(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := newRecorder()
	server := peer.NewServer(ln, nil, standin.NewFastClock(10), identity(peer.RoleAgent, "a1"), peer.Limits{}, srv)
	defer server.Close()
	for _, hello := range []string{"GET / HTTP/1.1\r\n\r\n", ""} {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte(hello)); err != nil {
			t.Fatal(err)
		}
		buf := make([]byte, 1024)
		for err == nil { // reads the server's Hello, then an error
			_, err = c.Read(buf)
		}
		c.Close()
	}
	if len(srv.messages) > 0 {
		t.Fatal("the handler received a message without a valid Hello")
	}
}

// busyRecorder is a recorder that implements peer.ActivityReporter.
type busyRecorder struct {
	*recorder
	busy atomic.Bool
}

func (b *busyRecorder) Busy() bool { return b.busy.Load() }

// TestRestingConnectionIsNotLost uses a connection after it was idle and then waits
// without other messages, as for a request in a long queue. The peer replies to the
// heartbeats, so the connection must stay open.
func TestRestingConnectionIsNotLost(t *testing.T) {
	defer goleak.VerifyNone(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clock := standin.NewFastClock(100)
	srv := newRecorder()
	server := peer.NewServer(ln, nil, clock, identity(peer.RoleAgent, "a1"), peer.Limits{}, srv)
	defer server.Close()
	cli := &busyRecorder{
		recorder: newRecorder(),
	}
	client := peer.NewClient(ln.Addr().String(), nil, clock, identity(peer.RoleEntry, "e1"), cli)
	defer client.Close()
	cli.waitFor(t, "connection", func() bool { return cli.conns == 1 })
	pings := func() int {
		n := 0
		for _, m := range srv.messages {
			if m.Kind() == peer.KindPing {
				n++
			}
		}
		return n
	}
	srv.waitFor(t, "heartbeats of an idle connection", func() bool { return pings() >= 12 })
	cli.busy.Store(true)
	if err := client.Conn().Send(&peer.Cancel{}); err != nil {
		t.Fatal(err)
	}
	before := 0
	srv.waitFor(t, "the message", func() bool {
		before = pings()
		return len(srv.messages) > before
	})
	srv.waitFor(t, "heartbeats of a busy connection", func() bool { return pings() >= before+20 })
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if cli.closed != 0 {
		t.Fatal("a connection whose peer replies to heartbeats was closed")
	}
}

// TestRestCostsLittle checks that an idle connection has few heartbeats.
func TestRestCostsLittle(t *testing.T) {
	defer goleak.VerifyNone(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clock := standin.NewFastClock(100)
	srv := newRecorder()
	server := peer.NewServer(ln, nil, clock, identity(peer.RoleAgent, "a1"), peer.Limits{}, srv)
	defer server.Close()
	cli := newRecorder()
	client := peer.NewClient(ln.Addr().String(), nil, clock, identity(peer.RoleEntry, "e1"), cli)
	defer client.Close()
	start := clock.Now()
	const heartbeats = 6
	srv.waitFor(t, "heartbeats", func() bool { return len(srv.messages) >= heartbeats })
	if took := clock.Now().Sub(start); took < (heartbeats-1)*9*time.Second {
		t.Fatalf("%d heartbeats in %v", heartbeats, took)
	}
}
