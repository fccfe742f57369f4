package standin

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wardturn"
)

// Service is a fake of a plain service. It counts the calls that it runs: lookups, which
// may be repeated, and actions, which may not.
type Service struct {
	clock wardturn.Clock
	work  time.Duration

	mu   sync.Mutex
	runs map[string]int // by body
	hold chan struct{}  // if set, calls block until it is closed
}

// NewService returns a service whose calls take the duration work.
func NewService(clock wardturn.Clock, work time.Duration) *Service {
	return &Service{
		clock: clock,
		work:  work,
		runs:  make(map[string]int),
	}
}

// Runs returns how often calls with this body ran.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// Hold blocks calls after they have taken effect, before their response, until release
// is called.
func (s *Service) Hold() (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hold := make(chan struct{})
	s.hold = hold
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.hold = nil
		close(hold)
	}
}

// callResponse is the response to a call.
type callResponse struct {
	Path  string `json:"path"`
	Body  string `json:"body"`
	Count int    `json:"count"`
}

// Handler serves the service over HTTP.
func (s *Service) Handler() fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		body := string(ctx.PostBody())
		s.mu.Lock()
		s.runs[body]++
		n := s.runs[body]
		hold := s.hold
		s.mu.Unlock()
		s.wait(hold)
		writeJSON(ctx, fasthttp.StatusOK, callResponse{
			Path:  string(ctx.Path()),
			Body:  body,
			Count: n,
		})
	}
}

func (s *Service) wait(hold <-chan struct{}) {
	if hold != nil {
		<-hold
	}
	if s.work <= 0 {
		return
	}
	done := make(chan struct{})
	s.clock.AfterFunc(s.work, func() {
		close(done)
	})
	<-done
}
