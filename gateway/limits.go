package gateway

import (
	"net/http"
	"slices"
	"sync"

	"wardturn"
)

// limits knows the requests a second that upstreams in need say they take.
type limits struct {
	g *Gateway

	mu     sync.Mutex
	named  map[wardturn.UpstreamID]wardturn.RequestRate
	unread map[string]bool // headers of upstreams that were logged
}

func newLimits(g *Gateway) *limits {
	return &limits{
		g:      g,
		named:  make(map[wardturn.UpstreamID]wardturn.RequestRate),
		unread: make(map[string]bool),
	}
}

// saw takes the head of any answer of an upstream, also of one that no caller gets.
func (l *limits) saw(m wardturn.Member, res *http.Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logUnread(m, res.Header)
	text := res.Header.Get(l.g.names.Limit)
	before, limited := l.named[m.ID]
	if text == "" {
		if limited {
			delete(l.named, m.ID)
			l.g.logger.Info("upstream names no limit any more", "upstream", m.ID, "before", before, "status", res.StatusCode)
		}
		return
	}
	rate, err := wardturn.ParseRequestRate(text)
	if err != nil {
		l.g.logger.Warn("limit of an upstream not understood", "upstream", m.ID, "status", res.StatusCode, "error", err)
		return
	}
	if limited && rate == before {
		return
	}
	l.named[m.ID] = rate
	l.g.logger.Info("upstream names a limit", "upstream", m.ID, "per_second", float64(rate), "before", float64(before), "status", res.StatusCode)
}

// mostUnread bounds the headers that are remembered as logged.
const mostUnread = 32

// plainHeaders are headers of HTTP that answers are expected to have.
var plainHeaders = []string{
	"Cache-Control",
	"Content-Length",
	"Content-Type",
	"Date",
	"Retry-After",
	"Server",
}

// logUnread logs each header of upstreams that the gateway passes on unread, once: what an
// upstream says and nobody reads otherwise shows only by the harm; the lock is held.
func (l *limits) logUnread(m wardturn.Member, h http.Header) {
	n := l.g.names
	for name, values := range h {
		if l.unread[name] || len(l.unread) >= mostUnread || slices.Contains(plainHeaders, name) || slices.Contains(hopHeaders, name) {
			continue
		}
		l.unread[name] = true
		switch name {
		case http.CanonicalHeaderKey(n.Attempt), http.CanonicalHeaderKey(n.Receipt), http.CanonicalHeaderKey(n.NotExecuted), http.CanonicalHeaderKey(n.Instance), http.CanonicalHeaderKey(n.Limit):
			continue
		}
		l.g.logger.Info("header of upstreams is not read", "header", name, "values", values, "upstream", m.ID)
	}
}
