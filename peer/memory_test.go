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

// idle is a side of a connection that does nothing.
type idle struct{}

func (idle) Handle(*peer.Conn, peer.Message) {}
func (idle) Closed(*peer.Conn, error)        {}
func (idle) Connected(*peer.Conn)            {}

// heapOf returns the bytes of heap and stacks that are in use.
func heapOf() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// A gateway has a connection to each engine's keeper and a keeper one of each gateway: with
// 64 KiB of buffer for each the buffers alone took 36 MB of a gateway before 576 engines.
func TestMemoryOfConnections(t *testing.T) {
	const (
		budget   = 128 << 20 // bytes of a daemon
		part     = 4         // of which its connections may take one in so many
		most     = 2100      // connections of a gateway in two years
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
	connect(50) // what a process has once does not count
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
