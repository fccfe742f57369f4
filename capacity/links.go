package capacity

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
	"wardturn/standin"
)

// countingListener counts the bytes of the connections it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// hinter answers each heartbeat with a hint, as an agent does.
type hinter struct{}

// Handle implements peer.Handler.
func (hinter) Handle(c *peer.Conn, m peer.Message) {
	if _, ok := m.(*peer.Ping); ok {
		_ = c.Send(&peer.Hint{
			Upstream: "u0001",
			Hint: decide.Hint{
				Running:  3,
				Capacity: 16,
				Spare:    4,
			},
		})
	}
}

// Closed implements peer.Handler.
func (hinter) Closed(*peer.Conn, error) {}

// Connected implements peer.ClientHandler.
func (hinter) Connected(*peer.Conn) {}

// Links measures the bytes a second, in both directions together, that an entry
// spends on connections to agents that rest, by their number. TCP's own headers
// are added at four segments of 66 bytes for each heartbeat: the question, an
// answer in up to two parts, and an acknowledgement.
func Links() (Series, error) {
	s := Series{
		Name: "idle connections of an entry",
		Size: "connections",
		Unit: "bytes/s",
	}
	for _, n := range []int{20, 100, 300} {
		rate, err := linkBytes(n)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, Point{float64(n), rate})
	}
	return s, nil
}

const (
	linkSpeed  = 10 // of the clock
	linkPeriod = 5 * time.Second
	// perHeartbeat is what TCP and IP add to a heartbeat.
	perHeartbeat = 4 * 66
	// heartbeats is their number a second on a connection that rests.
	heartbeats = 1.0 / 10
	// restAfter is the time until a connection that carries nothing rests.
	restAfter = 60 * time.Second
)

func linkBytes(n int) (float64, error) {
	clock := standin.NewFastClock(linkSpeed)
	var bytes atomic.Int64
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, errors.Wrap(err, "capacity")
	}
	id := peer.Identity{
		Process: "p",
		Config:  func() wardturn.Offset { return 1 },
	}
	server := peer.NewServer(countingListener{ln, &bytes}, nil, clock, id, hinter{})
	defer server.Close()
	clients := make([]*peer.Client, 0, n)
	for range n {
		clients = append(clients, peer.NewClient(ln.Addr().String(), nil, clock, id, hinter{}))
	}
	defer func() {
		for _, c := range clients {
			c.Close()
		}
	}()
	time.Sleep(restAfter / linkSpeed)
	before := bytes.Load()
	time.Sleep(linkPeriod)
	payload := float64(bytes.Load()-before) / (linkPeriod.Seconds() * linkSpeed)
	return payload + float64(n)*heartbeats*perHeartbeat, nil
}
