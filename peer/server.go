package peer

import (
	"crypto/tls"
	"net"
	"sync"

	"wardturn"
	"wardturn/process"
)

// Server accepts connections from other processes.
type Server struct {
	clock   wardturn.Clock
	id      Identity
	handler Handler
	limits  Limits
	ln      net.Listener

	mu          sync.Mutex
	conns       map[*Conn]bool
	handshaking map[net.Conn]bool // accepted, Hello not exchanged yet
	closed      bool
	wg          sync.WaitGroup
}

// NewServer starts a server that serves connections on ln until Close. With a TLS
// configuration that requires client certificates, the connections are mutually
// authenticated. If ln has a limit on its connections, those that have sent nothing after
// Hello make room for others.
func NewServer(ln net.Listener, tlsConfig *tls.Config, clock wardturn.Clock, id Identity, limits Limits, h Handler) *Server {
	failed := func(error) {}
	if h, ok := h.(AcceptErrorHandler); ok {
		failed = h.AcceptFailed
	}
	ln = process.RetryAccept(ln, clock, failed)
	if tlsConfig != nil {
		ln = tls.NewListener(ln, tlsConfig)
	}
	s := &Server{
		clock:       clock,
		id:          id,
		handler:     h,
		limits:      limits,
		ln:          ln,
		conns:       make(map[*Conn]bool),
		handshaking: make(map[net.Conn]bool),
	}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		s.accept()
	}()
	return s
}

// Addr returns the address of the listener.
func (s *Server) Addr() net.Addr {
	return s.ln.Addr()
}

func (s *Server) accept() {
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.serve(nc)
		}()
	}
}

func (s *Server) serve(nc net.Conn) {
	if !s.track(nc) {
		nc.Close()
		return
	}
	if err := process.SetUserTimeout(nc, ackTimeout); err != nil {
		nc.Close() // the connection was already closed
		s.untrack(nc)
		return
	}
	c, err := establish(nc, s.clock, s.id, s.limits)
	if !s.finishHandshake(nc, c, err) {
		nc.Close()
		return
	}
	c.run(s.handler)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// track adds an accepted connection. It returns false after Close.
func (s *Server) track(nc net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.handshaking[nc] = true
	return true
}

// untrack removes a connection that was closed before Hello was exchanged.
func (s *Server) untrack(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.handshaking, nc)
}

// finishHandshake ends the handshake of a connection, whose result is err, and reports
// whether to serve it.
func (s *Server) finishHandshake(nc net.Conn, c *Conn, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.handshaking, nc)
	if err != nil || s.closed {
		return false
	}
	s.conns[c] = true
	return true
}

// Broadcast queues a message on every connection.
func (s *Server) Broadcast(m Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Send(m)
	}
}

// Close closes the listener and all connections, and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for nc := range s.handshaking {
		nc.Close()
	}
	conns := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	s.ln.Close()
	for _, c := range conns {
		c.Close()
	}
	s.wg.Wait()
}
