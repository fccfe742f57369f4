package standin

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Direction is a direction of the traffic through a FaultProxy.
type Direction int

// The directions.
const (
	ToTarget Direction = iota
	FromTarget
)

// FaultProxy is a TCP proxy that injects network faults between two processes. It forwards
// connections to a target and can close, reset, refuse, delay or stall them.
type FaultProxy struct {
	ln     net.Listener
	target string

	mu      sync.Mutex
	resumed *sync.Cond
	stalled [2]bool // by direction
	delay   time.Duration
	blocked bool
	closed  bool
	conns   map[net.Conn]*proxiedConn
	wg      sync.WaitGroup
}

// proxiedConn is a connection through a FaultProxy. Both of its sides share it.
type proxiedConn struct {
	silent bool // bytes are read and dropped; guarded by FaultProxy.mu
}

// NewFaultProxy starts a proxy on a free loopback port.
func NewFaultProxy(target string) (*FaultProxy, error) {
	return NewFaultProxyAt("127.0.0.1:0", target)
}

// NewFaultProxyAt starts a proxy that listens on addr.
func NewFaultProxyAt(addr, target string) (*FaultProxy, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r := &FaultProxy{
		ln:     ln,
		target: target,
		conns:  make(map[net.Conn]*proxiedConn),
	}
	r.resumed = sync.NewCond(&r.mu)
	r.startAccepting(ln)
	return r, nil
}

func (r *FaultProxy) startAccepting(ln net.Listener) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		r.accept(ln)
	}()
}

// Addr returns the address to connect to.
func (r *FaultProxy) Addr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ln.Addr().String()
}

// Target returns the address to which connections are forwarded.
func (r *FaultProxy) Target() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

// SetTarget changes the target of new connections.
func (r *FaultProxy) SetTarget(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = addr
}

// CloseConns closes the open connections. New ones are forwarded.
func (r *FaultProxy) CloseConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeConns()
}

func (r *FaultProxy) closeConns() {
	for c := range r.conns {
		c.Close()
	}
	clear(r.conns)
}

// Block with on set closes the open connections and makes the proxy close new ones at
// once; otherwise new connections are forwarded again.
func (r *FaultProxy) Block(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = on
	if on {
		r.closeConns()
	}
}

// Refuse resets the open connections and has the port refuse new ones, as that of a process that has
// crashed.
func (r *FaultProxy) Refuse() {
	r.ResetConns()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ln.Close()
}

// Listen ends the effect of Refuse.
func (r *FaultProxy) Listen() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	ln, err := net.Listen("tcp", r.ln.Addr().String())
	if err != nil {
		return errors.Wrap(err, "relay")
	}
	r.ln = ln
	r.startAccepting(ln)
	return nil
}

// Freeze stalls or resumes the traffic in both directions, as a paused host does.
func (r *FaultProxy) Freeze(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stalled = [2]bool{on, on}
	r.resumed.Broadcast()
}

// FreezeDirection stalls or resumes the traffic in one direction.
func (r *FaultProxy) FreezeDirection(dir Direction, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stalled[dir] = on
	r.resumed.Broadcast()
}

// SilenceConns drops everything that is sent on the open connections from now on, without
// closing them. New connections are forwarded.
func (r *FaultProxy) SilenceConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.conns {
		p.silent = true
	}
}

// Delay sets the time by which each chunk of data is delayed.
func (r *FaultProxy) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// ResetConns resets the open connections with a TCP RST. Data that was not yet read is
// lost.
func (r *FaultProxy) ResetConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		reset(c)
	}
	r.closeConns()
}

// Close closes the listener and all connections, and waits for the goroutines.
func (r *FaultProxy) Close() {
	r.mu.Lock()
	r.closed = true
	r.stalled = [2]bool{}
	r.resumed.Broadcast()
	r.closeConns()
	r.ln.Close()
	r.mu.Unlock()
	r.wg.Wait()
}

func (r *FaultProxy) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.forward(c)
		}()
	}
}

// forward forwards a connection to the target until either side is closed.
func (r *FaultProxy) forward(c net.Conn) {
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
	p := &proxiedConn{}
	if !r.addConns(p, c, t) {
		c.Close()
		t.Close()
		return
	}
	var wg sync.WaitGroup
	wg.Add(2)
	for dir, pair := range [][2]net.Conn{{c, t}, {t, c}} {
		go func() {
			defer wg.Done()
			err := r.copy(p, Direction(dir), pair[1], pair[0])
			if r.isSilent(p) {
				return // neither end of a silent connection learns of the other's end
			}
			if err != nil {
				reset(pair[1])
			}
			c.Close()
			t.Close()
		}()
	}
	wg.Wait()
	if r.isSilent(p) {
		return // closed with the proxy
	}
	r.mu.Lock()
	delete(r.conns, c)
	delete(r.conns, t)
	r.mu.Unlock()
}

// addConns registers connections. It returns false if the proxy is blocked or closed.
func (r *FaultProxy) addConns(p *proxiedConn, conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.blocked || r.closed {
		return false
	}
	for _, c := range conns {
		r.conns[c] = p
	}
	return true
}

// reset makes the next Close of a connection reset it.
func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // on failure the connection is closed regularly
	}
}

func (r *FaultProxy) isSilent(p *proxiedConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.silent
}

// copy copies data until the source ends, for which it returns nil, or a side fails.
func (r *FaultProxy) copy(p *proxiedConn, dir Direction, dst io.Writer, src io.Reader) error {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		dropped := r.waitResumed(p, dir)
		if n > 0 && !dropped {
			if _, err := dst.Write(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// waitResumed waits while the direction is stalled, and then for the delay. It reports whether
// the connection is silent.
func (r *FaultProxy) waitResumed(p *proxiedConn, dir Direction) (silent bool) {
	r.mu.Lock()
	for r.stalled[dir] {
		r.resumed.Wait()
	}
	d := r.delay
	silent = p.silent
	r.mu.Unlock()
	time.Sleep(d)
	return silent
}
