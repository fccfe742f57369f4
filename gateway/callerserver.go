package gateway

import (
	"cmp"
	"context"
	"log"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"wardturn"
	"wardturn/process"
)

// minHeaderCeiling is the smallest size of a header, in bytes, that a server reads before it refuses the
// request. Limits up to it can change on open connections.
const minHeaderCeiling = 128 << 10

// callerServer serves callers under the limits of the configuration. An http.Server reads its limits
// while it serves, so that they can't be changed: with new ones, another server takes over the listener,
// and the connections of the former end with their next response. They are not closed while they are idle,
// since a request that crosses the close would have no answer.
type callerServer struct {
	handler  http.Handler
	listener net.Listener
	logger   hclog.Logger
	tasks    *process.Tasks
	errorLog *log.Logger

	mu      sync.Mutex
	limits  wardturn.CallerLimits
	current *handover            // listener of the server that serves new connections; nil before the start
	servers map[*http.Server]int // connections of the current server and of former ones that have some
	closed  bool
}

func newCallerServer(h http.Handler, ln net.Listener, clock wardturn.Clock, logger hclog.Logger, tasks *process.Tasks) *callerServer {
	return &callerServer{
		handler: h,
		listener: process.RetryAccept(ln, clock, func(err error) {
			logger.Error("accepting callers failed", "error", err)
		}),
		logger:   logger,
		tasks:    tasks,
		errorLog: logger.StandardLogger(&hclog.StandardLoggerOptions{}),
		limits:   withDefaults(wardturn.CallerLimits{}),
		servers:  make(map[*http.Server]int),
	}
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
	s.mu.Lock()
	maxHeader := s.limits.MaxHeader
	former := r.Context().Value(http.ServerContextKey) != s.current.server
	s.mu.Unlock()
	tooLarge := headerSize(r) > maxHeader
	if former || tooLarge {
		w.Header().Set("Connection", "close")
	}
	if tooLarge {
		w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	s.handler.ServeHTTP(w, r)
}

// headerSize returns the size of a request's head in bytes.
func headerSize(r *http.Request) int {
	const (
		lineEnd   = len("\r\n")
		separator = len(": ")
		version   = len(" HTTP/1.1")
	)
	n := len(r.Method) + len(" ") + len(r.RequestURI) + version + lineEnd
	n += len("Host") + separator + len(r.Host) + lineEnd
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + separator + len(v) + lineEnd
		}
	}
	return n + lineEnd
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
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.dispatch(c)
	}
}

// setLimits sets the limits for requests from now on.
func (s *callerServer) setLimits(l wardturn.CallerLimits) {
	l = withDefaults(l)
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := serverLimits(l) != serverLimits(s.limits)
	s.limits = l
	if s.current == nil || s.closed || !changed {
		return
	}
	s.logger.Info("limits of callers' connections changed", "max_header", l.MaxHeader, "header_timeout", l.HeaderTimeout, "idle_timeout", l.IdleTimeout)
	former := s.current
	s.serve()
	_ = former.Close() // never fails
	s.dropUnused()
}

// serverLimits returns the limits that a server is started with.
func serverLimits(l wardturn.CallerLimits) wardturn.CallerLimits {
	l.MaxHeader = max(l.MaxHeader, minHeaderCeiling)
	l.MaxBody = 0
	return l
}

// serve has a new server take over the connections that are accepted from now on. The lock must be
// held.
func (s *callerServer) serve() {
	l := serverLimits(s.limits)
	server := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.MaxHeader,
		ErrorLog:          s.errorLog,
	}
	server.ConnState = func(_ net.Conn, state http.ConnState) {
		s.count(server, state)
	}
	h := &handover{
		addr:   s.listener.Addr(),
		conns:  make(chan net.Conn),
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

// count counts the connections of a server.
func (s *callerServer) count(server *http.Server, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.servers[server]++
	case http.StateClosed, http.StateHijacked:
		s.servers[server]--
		s.dropUnused()
	}
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
func (s *callerServer) dispatch(c net.Conn) {
	for {
		s.mu.Lock()
		h, closed := s.current, s.closed
		s.mu.Unlock()
		if closed {
			c.Close()
			return
		}
		select {
		case h.conns <- c:
			return
		case <-h.done: // replaced meanwhile
		}
	}
}

// shutdown closes the listener and waits until all requests have ended or ctx is done.
func (s *callerServer) shutdown(ctx context.Context) error {
	var first error
	for _, server := range s.close() {
		first = cmp.Or(first, server.Shutdown(ctx))
	}
	return first
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
	conns  chan net.Conn
	once   sync.Once
	done   chan struct{} // closed with the listener
}

// Accept implements net.Listener.
func (h *handover) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
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
