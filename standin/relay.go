package standin

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Direction is a direction through a relay.
type Direction int

// The directions.
const (
	ToTarget Direction = iota
	FromTarget
)

// Relay is a stretch of network between two processes: it passes connections on
// to a target and can cut, reset, refuse, delay, silence or freeze them.
type Relay struct {
	ln     net.Listener
	target string

	mu      sync.Mutex
	thawed  *sync.Cond
	frozen  [2]bool // by way
	delay   time.Duration
	blocked bool
	closed  bool
	conns   map[net.Conn]bool
	wg      sync.WaitGroup
}

// NewRelay starts a relay on a loopback port that the kernel chooses.
func NewRelay(target string) (*Relay, error) {
	return NewRelayAt("127.0.0.1:0", target)
}

// NewRelayAt starts a relay at an address.
func NewRelayAt(addr, target string) (*Relay, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r := &Relay{
		ln:     ln,
		target: target,
		conns:  make(map[net.Conn]bool),
	}
	r.thawed = sync.NewCond(&r.mu)
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		r.accept()
	}()
	return r, nil
}

// Addr returns the address to connect to.
func (r *Relay) Addr() string {
	return r.ln.Addr().String()
}

// Target returns the address that connections are passed on to.
func (r *Relay) Target() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

// SetTarget directs new connections to another address.
func (r *Relay) SetTarget(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = addr
}

// Cut ends the present connections. New ones are passed on.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut()
}

func (r *Relay) cut() {
	for c := range r.conns {
		c.Close()
	}
	clear(r.conns)
}

// Block ends the present connections and refuses new ones, or allows them
// again.
func (r *Relay) Block(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = on
	if on {
		r.cut()
	}
}

// Freeze holds every byte back, as a paused host does, or lets them go.
func (r *Relay) Freeze(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frozen = [2]bool{on, on}
	r.thawed.Broadcast()
}

// Silence holds the bytes of one way back, or lets them go.
func (r *Relay) Silence(w Direction, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frozen[w] = on
	r.thawed.Broadcast()
}

// Delay holds every piece back for a time.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Reset resets the present connections: what was not yet read is lost.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
	}
	r.cut()
}

// Close ends the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.frozen = [2]bool{}
	r.thawed.Broadcast()
	r.cut()
	r.mu.Unlock()
	r.ln.Close()
	r.wg.Wait()
}

func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.pass(c)
		}()
	}
}

// pass joins a connection with one to the target until either ends.
func (r *Relay) pass(c net.Conn) {
	r.mu.Lock()
	target := r.target
	refused := r.blocked || r.closed
	r.mu.Unlock()
	if refused {
		c.Close()
		return
	}
	t, err := net.Dial("tcp", target)
	if err != nil {
		c.Close()
		return
	}
	if !r.add(c, t) {
		c.Close()
		t.Close()
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	for way, ends := range [][2]net.Conn{{c, t}, {t, c}} {
		go func() {
			defer both.Done()
			r.copy(Direction(way), ends[1], ends[0])
			c.Close()
			t.Close()
		}()
	}
	both.Wait()
	r.mu.Lock()
	delete(r.conns, c)
	delete(r.conns, t)
	r.mu.Unlock()
}

func (r *Relay) add(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.blocked || r.closed {
		return false
	}
	for _, c := range conns {
		r.conns[c] = true
	}
	return true
}

func (r *Relay) copy(w Direction, dst io.Writer, src io.Reader) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		r.waitThawed(w)
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *Relay) waitThawed(w Direction) {
	r.mu.Lock()
	for r.frozen[w] {
		r.thawed.Wait()
	}
	d := r.delay
	r.mu.Unlock()
	time.Sleep(d)
}
