package peer_test

import (
	"net"
	"runtime"
	"testing"
	"time"

	"wardturn"
	"wardturn/peer"
	"wardturn/process"
)

// nopHandler is a ClientHandler that ignores messages.
type nopHandler struct{}

func (nopHandler) Handle(*peer.Conn, peer.Message) {}
func (nopHandler) Closed(*peer.Conn, error)        {}
func (nopHandler) Connected(*peer.Conn)            {}

// memoryInUse returns the bytes of heap and stack in use.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// TestMemoryOfConnections guards against too much memory per connection. A gateway has a
// connection to the keeper of each engine, and a keeper has one from each gateway. With
// buffers of 64 KiB per connection, the buffers alone took 36 MB of a gateway with 576
// engines.
func TestMemoryOfConnections(t *testing.T) {
	const (
		budget     = 128 << 20 // memory of a process in bytes
		share      = 4         // connections may use 1/share of it
		maxConns   = 2100      // expected connections of a gateway in two years
		maxPerConn = 2 * budget / share / maxConns
	)
	identity := func(process wardturn.Incarnation) peer.Identity {
		return peer.Identity{
			Role:    peer.RoleEntry,
			Process: process,
			Config:  func() wardturn.Offset { return 0 },
		}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(ln, nil, process.Clock{}, identity("server"), peer.Limits{}, nopHandler{})
	defer server.Close()
	var clients []*peer.Client
	defer func() {
		for _, c := range clients {
			c.Close()
		}
	}()
	connect := func(n int) {
		for range n {
			clients = append(clients, peer.NewClient(ln.Addr().String(), nil, process.Clock{}, identity("client"), nopHandler{}))
		}
		for _, c := range clients {
			for c.Conn() == nil {
				time.Sleep(time.Millisecond)
			}
		}
	}
	connect(50) // exclude one-time allocations from the measurement
	for _, n := range []int{100, 1000} {
		before := memoryInUse()
		connect(n)
		perConn := (int64(memoryInUse()) - int64(before)) / int64(n)
		t.Logf("%d connections: %d bytes each", n, perConn)
		if perConn > maxPerConn {
			t.Errorf("%d connections: %d bytes each, at most %d", n, perConn, maxPerConn)
		}
	}
}
