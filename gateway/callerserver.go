package gateway

import (
	"cmp"
	"context"
	"log"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"wardturn"
	"wardturn/process"
)

// callerServer serves callers under the limits of the configuration. The limit on heads is that of
// their connections. An http.Server reads its timeouts while it serves, so that they can't be changed: with
// new ones, another server takes over the listener, and the connections of the former end with their
// next response. They are not closed while they are idle, since a request that crosses the close would
// have no answer.
type callerServer struct {
	handler     http.Handler
	listener    net.Listener
	logger      hclog.Logger
	tasks       *process.Tasks
	errorLog    *log.Logger
	connections *process.ConnLimit
	heads       *process.HeadLimit

	mu      sync.Mutex
	limits  wardturn.CallerLimits
	current *handover            // listener of the server that serves new connections; nil before the start
	servers map[*http.Server]int // number of connections of the current server and of former ones that have some
	closed  bool
}

func newCallerServer(h http.Handler, d Deps, tasks *process.Tasks) *callerServer {
	limits := withDefaults(wardturn.CallerLimits{})
	return &callerServer{
		handler: h,
		listener: process.RetryAccept(d.Listener, d.Clock, func(err error) {
			d.Logger.Error("accepting callers failed", "error", err)
		}),
		logger:      d.Logger,
		tasks:       tasks,
		errorLog:    log.New(serverLog{logger: d.Logger}, "", 0),
		connections: process.NewConnLimit("callers", d.Config.MaxConnections, d.Clock, d.Logger, d.Metrics.scope),
		limits:      limits,
		heads:       process.NewHeadLimit(limits.MaxHeader, d.Config.MaxHeadBytes, cmp.Or(d.Config.StallTimeout, defaultStallTimeout), d.Logger, d.Metrics.scope),
		servers:     make(map[*http.Server]int),
	}
}

// serverLog writes the lines of a server under one message, so that callers that cause some can't
// exceed its rate.
type serverLog struct {
	logger hclog.Logger
}

// Write implements io.Writer.
func (l serverLog) Write(p []byte) (int, error) {
	l.logger.Warn("request server", "line", strings.TrimSpace(string(p)))
	return len(p), nil
}

// withDefaults returns the limits with defaults for those that are not set.
func withDefaults(l wardturn.CallerLimits) wardturn.CallerLimits {
	l.MaxHeader = cmp.Or(l.MaxHeader, defaultMaxHeaderBytes)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, defaultReadTimeout)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, defaultIdleTimeout)
	return l
}

// ServeHTTP implements http.Handler.
func (s *callerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := callerConnOf(r)
	c.BeginBody(r.ContentLength)
	if r.ContentLength == 0 && !c.slot.Busy() {
		panic(http.ErrAbortHandler) // closed in favor of another connection
	}
	s.mu.Lock()
	former := c.server != s.current.server
	s.mu.Unlock()
	if former {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}

// start begins to accept connections. Only the first call has an effect.
func (s *callerServer) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil || s.closed {
		return
	}
	s.serve()
	s.tasks.Go(s.accept)
}

// accept accepts connections until the listener is closed.
func (s *callerServer) accept() {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			return
		}
		slot := s.connections.Admit(nc)
		if slot == nil {
			nc.Close()
			continue
		}
		s.dispatch(&callerConn{
			HeadConn: s.heads.Conn(nc),
			slot:     slot,
		})
	}
}

// setLimits sets the limits for requests from now on.
func (s *callerServer) setLimits(l wardturn.CallerLimits) {
	l = withDefaults(l)
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := l.HeaderTimeout != s.limits.HeaderTimeout || l.IdleTimeout != s.limits.IdleTimeout
	s.limits = l
	s.heads.SetSize(l.MaxHeader)
	if s.current == nil || s.closed || !changed {
		return
	}
	s.logger.Info("limits of callers' connections changed", "max_header", l.MaxHeader, "header_timeout", l.HeaderTimeout, "idle_timeout", l.IdleTimeout)
	former := s.current
	s.serve()
	_ = former.Close() // never fails
	s.dropUnused()
}

// serve has a new server take over the connections that are accepted from now on. The lock must be
// held.
func (s *callerServer) serve() {
	server := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: s.limits.HeaderTimeout,
		IdleTimeout:       s.limits.IdleTimeout,
		MaxHeaderBytes:    math.MaxInt32, // HeadConn limits heads
		ErrorLog:          s.errorLog,
		ConnContext:       withCallerConn,
	}
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		s.count(server, nc.(*callerConn), state)
	}
	h := &handover{
		addr:   s.listener.Addr(),
		conns:  make(chan *callerConn),
		done:   make(chan struct{}),
		server: server,
	}
	s.current = h
	s.servers[server] = 0
	s.tasks.Go(func() {
		if err := server.Serve(h); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.logger.Error("request server failed", "error", err)
		}
	})
}

// count counts the connections of a server and follows their states.
func (s *callerServer) count(server *http.Server, c *callerConn, state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.ExpectHead()
		c.slot.Idle() // if it was closed meanwhile, the next read fails
	case http.StateClosed, http.StateHijacked:
		c.slot.Free()
	}
	if state == http.StateClosed || state == http.StateHijacked {
		s.removeConn(server)
	}
}

// removeConn counts a connection that a server does not have any more.
func (s *callerServer) removeConn(server *http.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers[server]--
	s.dropUnused()
}

// dropUnused forgets former servers without connections. The lock must be held.
func (s *callerServer) dropUnused() {
	for server, n := range s.servers {
		if n <= 0 && server != s.current.server {
			delete(s.servers, server)
		}
	}
}

// dispatch passes a connection to the current server.
func (s *callerServer) dispatch(c *callerConn) {
	for {
		s.mu.Lock()
		h, closed := s.current, s.closed
		if !closed {
			// Counted before the server has it, so that a server that is replaced meanwhile
			// is not forgotten.
			s.servers[h.server]++
		}
		s.mu.Unlock()
		if closed {
			c.slot.Free()
			c.Close()
			return
		}
		select {
		case h.conns <- c:
			return
		case <-h.done: // replaced meanwhile
			s.removeConn(h.server)
		}
	}
}

// shutdown closes the listener and waits until all requests have ended or ctx is done. All servers
// close their idle connections at once: a server that waited for the requests of another one would
// go on taking requests meanwhile.
func (s *callerServer) shutdown(ctx context.Context) error {
	servers := s.close()
	errs := make([]error, len(servers))
	var wg sync.WaitGroup
	for i, server := range servers {
		wg.Go(func() {
			errs[i] = server.Shutdown(ctx)
		})
	}
	wg.Wait()
	return cmp.Or(errs...)
}

// stop closes the listener and all connections.
func (s *callerServer) stop() {
	for _, server := range s.close() {
		_ = server.Close()
	}
}

// close closes the listener and returns the servers that may have connections.
func (s *callerServer) close() []*http.Server {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	list := make([]*http.Server, 0, len(s.servers))
	for server := range s.servers {
		list = append(list, server)
	}
	return list
}

// handover is the listener of one server. It gets its connections from the caller server.
type handover struct {
	server *http.Server
	addr   net.Addr
	conns  chan *callerConn
	once   sync.Once
	done   chan struct{} // closed with the listener
}

// Accept implements net.Listener.
func (h *handover) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		c.server = h.server
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handover) Close() error {
	h.once.Do(func() {
		close(h.done)
	})
	return nil
}

// Addr implements net.Listener.
func (h *handover) Addr() net.Addr {
	return h.addr
}
