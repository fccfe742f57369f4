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

// idle is a ClientHandler that ignores messages.
type idle struct{}

func (idle) Handle(*peer.Conn, peer.Message) {}
func (idle) Closed(*peer.Conn, error)        {}
func (idle) Connected(*peer.Conn)            {}

// heapOf returns the bytes of heap and stack in use.
func heapOf() uint64 {
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
		budget   = 128 << 20 // memory of a process in bytes
		part     = 4         // connections may use 1/part of it
		most     = 2100      // expected connections of a gateway in two years
		mostEach = 2 * budget / part / most
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
	server := peer.NewServer(ln, nil, process.Clock{}, identity("server"), idle{})
	defer server.Close()
	var clients []*peer.Client
	defer func() {
		for _, c := range clients {
			c.Close()
		}
	}()
	connect := func(n int) {
		for range n {
			clients = append(clients, peer.NewClient(ln.Addr().String(), nil, process.Clock{}, identity("client"), idle{}))
		}
		for _, c := range clients {
			for c.Conn() == nil {
				time.Sleep(time.Millisecond)
			}
		}
	}
	connect(50) // exclude one-time allocations from the measurement
	for _, n := range []int{100, 1000} {
		before := heapOf()
		connect(n)
		each := (int64(heapOf()) - int64(before)) / int64(n)
		t.Logf("%d connections: %d bytes each", n, each)
		if each > mostEach {
			t.Errorf("%d connections: %d bytes each, at most %d", n, each, mostEach)
		}
	}
}
