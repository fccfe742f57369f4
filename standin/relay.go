package standin

import (
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// Relay is a stretch of network between two processes: it passes connections on
// to a target and can cut, refuse or freeze them.
type Relay struct {
	ln     net.Listener
	target string

	mu      sync.Mutex
	thawed  *sync.Cond
	frozen  bool
	blocked bool
	closed  bool
	conns   map[net.Conn]bool
	wg      sync.WaitGroup
}

// NewRelay starts a relay on a loopback port that the kernel chooses.
func NewRelay(target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
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
	r.frozen = on
	r.thawed.Broadcast()
}

// Close ends the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.frozen = false
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
	for _, way := range [][2]net.Conn{{c, t}, {t, c}} {
		go func() {
			defer both.Done()
			r.copy(way[1], way[0])
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

func (r *Relay) copy(dst io.Writer, src io.Reader) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		r.waitThawed()
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

func (r *Relay) waitThawed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.frozen {
		r.thawed.Wait()
	}
}
