package gateway

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

// limitEvery is how often it is looked whether the other gateways have to be told of limits
// that upstreams name.
const limitEvery = 200 * time.Millisecond

// limits are the requests a second that upstreams in need say they take, and the words on
// them that go to and come from the other gateways through keepers.
type limits struct {
	g     *Gateway
	book  *decide.Limits // guarded by the gateway's lock
	any   atomic.Bool    // some upstream has named one
	words atomic.Int64   // told so far

	mu     sync.Mutex
	unread map[string]bool // headers of upstreams that were logged
}

func newLimits(g *Gateway) *limits {
	return &limits{
		g:      g,
		book:   decide.NewLimits(g.clock.Now(), g.cfg.Process),
		unread: make(map[string]bool),
	}
}

// sawLimit takes the head of any answer of an upstream, also of one that no caller gets. One
// that is not the request's own may be old: it ends no limit.
func (x *exchange) sawLimit(m wardturn.Member, res *http.Response, own bool) {
	l := x.g.limits
	l.logUnread(m, res)
	if from := res.Header.Get(x.g.names.Instance); from != "" && from != m.ID.Instance() {
		return
	}
	if text := res.Header.Get(x.g.names.ColdMS); own && text != "" {
		x.g.sawCold(m.ID, text)
	}
	texts, named := res.Header[http.CanonicalHeaderKey(x.g.names.Limit)]
	switch {
	case named:
		l.named(m.ID, texts, res.StatusCode)
	case own && l.any.Load():
		l.unnamed(m.ID, x.send.sent, res.StatusCode)
	}
}

// named takes an answer that names a limit. Of several figures the least counts.
func (l *limits) named(id wardturn.UpstreamID, texts []string, status int) {
	rate, err := leastRate(texts)
	l.any.Store(true)
	now := l.g.clock.Now()
	l.g.mu.Lock()
	changed := false
	if err != nil {
		l.book.Unclear(now, id)
	} else {
		changed = l.book.Named(now, id, rate)
	}
	l.g.mu.Unlock()
	if err != nil {
		l.g.logger.Warn("limit of an upstream not understood", "upstream", id, "status", status, "error", err)
	}
	if changed {
		l.g.logger.Info("upstream names a limit", "upstream", id, "per_second", float64(rate), "status", status)
		l.tell()
	}
}

// leastRate returns the least of some figures of one answer that can be read, or an error
// if none can.
func leastRate(texts []string) (least wardturn.RequestRate, err error) {
	read := false
	for _, text := range texts {
		rate, bad := wardturn.ParseRequestRate(text)
		if bad != nil {
			err = bad
			continue
		}
		if !read || rate < least {
			least = rate
		}
		read = true
	}
	if read {
		return least, nil
	}
	return 0, err
}

// unnamed takes an answer that names no limit, to a request sent at a time.
func (l *limits) unnamed(id wardturn.UpstreamID, sent time.Time, status int) {
	l.g.mu.Lock()
	ended := l.book.Unnamed(l.g.clock.Now(), id, sent)
	l.g.mu.Unlock()
	if ended {
		l.g.logger.Info("upstream names no limit any more", "upstream", id, "status", status)
		l.tell()
	}
}

// tell tells the other gateways what is known here, if that is due. What is new goes to two
// keepers in each failure domain, the rest to one of them, by turns.
func (l *limits) tell() {
	l.g.mu.Lock()
	now := l.g.clock.Now()
	counted := l.g.fleet.CountedGateways()
	l.book.SetGateways(now, counted)
	w, fresh, due := l.book.Word(now)
	l.g.mu.Unlock()
	if !due {
		return
	}
	turn := int(l.words.Add(1))
	key := l.g.caps.relayKey(counted)
	conns := l.g.links.capConns(key, turn)
	if fresh {
		conns = l.g.links.newsConns(key)
	}
	m := &peer.LimitNews{
		Words: []decide.LimitGossip{w},
	}
	for _, conn := range conns {
		// A word that is lost is told again by another gateway.
		_ = conn.Send(m)
	}
}

// heard takes the words of other gateways.
func (l *limits) heard(m *peer.LimitNews) {
	l.any.Store(true)
	var changes []decide.LimitUpdate
	l.g.mu.Lock()
	now := l.g.clock.Now()
	for _, w := range m.Words {
		changes = append(changes, l.book.Heard(now, w)...)
	}
	l.g.mu.Unlock()
	for _, c := range changes {
		l.g.logger.Info("limit of an upstream heard", "upstream", c.Instance, "per_second", c.Rate, "ago", c.Ago)
	}
}

// mostUnread bounds the headers that are remembered as logged.
const mostUnread = 32

// plainHeaders are headers of HTTP that answers are expected to have.
var plainHeaders = []string{
	"Cache-Control",
	"Content-Length",
	"Content-Type",
	"Date",
	"Server",
}

// logUnread logs each header of upstreams that the gateway passes on unread, once: what an
// upstream says and nobody reads otherwise shows only by the harm.
func (l *limits) logUnread(m wardturn.Member, res *http.Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.g.names
	for name, values := range res.Header {
		if l.unread[name] || len(l.unread) >= mostUnread || slices.Contains(plainHeaders, name) || slices.Contains(hopHeaders, name) {
			continue
		}
		if name == "Retry-After" && res.StatusCode != http.StatusServiceUnavailable {
			continue
		}
		l.unread[name] = true
		switch name {
		case http.CanonicalHeaderKey(n.Attempt), http.CanonicalHeaderKey(n.Receipt), http.CanonicalHeaderKey(n.NotExecuted), http.CanonicalHeaderKey(n.Instance), http.CanonicalHeaderKey(n.Limit), http.CanonicalHeaderKey(n.ColdMS):
			continue
		}
		l.g.logger.Info("header of upstreams is not read", "header", name, "values", values, "status", res.StatusCode, "upstream", m.ID)
	}
}
