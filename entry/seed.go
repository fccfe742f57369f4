package entry

import (
	"sync"
	"time"

	"wardturn"
	"wardturn/control"
	"wardturn/peer"
)

const (
	seedEvery = 2 * time.Second
	seedPeers = 3 // asked at once, in different failure domains
	// logSilence is the time without a read of the log after which peers are asked
	// for the configuration. A read without news returns after 2 s.
	logSilence = 5 * time.Second
)

// seeds collects the configuration that peers send while the log is out.
type seeds struct {
	mu    sync.Mutex
	pages map[wardturn.UpstreamID]*seed
}

// seed is one peer's configuration, as far as it has come.
type seed struct {
	config wardturn.Offset
	page   control.Page
	next   int
}

// seedFromPeers asks peers for the configuration for as long as the log cannot
// be read. Each whole answer is offered to the replica, which takes nothing older
// than what it holds.
func (e *Entry) seedFromPeers() {
	for e.tasks.Pause(seedEvery) {
		if e.clock.Now().Sub(e.replica.LastRead()) < logSilence {
			continue
		}
		for _, h := range e.spread(seedPeers) {
			e.seedFrom(h.Upstream)
		}
	}
}

// seedFrom asks a peer for the configuration if it has a newer one, and otherwise
// how new its own is: the next round knows.
func (e *Entry) seedFrom(id wardturn.UpstreamID) {
	l := e.link(id)
	if l == nil {
		return
	}
	conn := l.wait(e.cfg.ConnectLimit)
	switch {
	case conn == nil:
	case conn.Config() > e.replica.Applied():
		_ = conn.Send(&peer.ConfigPull{})
	default:
		_ = conn.Send(&peer.Ping{})
	}
}

// spread returns up to n hosts, of different failure domains first.
func (e *Entry) spread(n int) []wardturn.Host {
	e.mu.Lock()
	defer e.mu.Unlock()
	used := make(map[wardturn.FailureDomain]bool)
	var list, rest []wardturn.Host
	for _, h := range e.hosts {
		if used[h.Domain] {
			rest = append(rest, h)
			continue
		}
		used[h.Domain] = true
		list = append(list, h)
	}
	list = append(list, rest...)
	return list[:min(n, len(list))]
}

func (e *Entry) askConfig(id wardturn.UpstreamID, page int) {
	l := e.link(id)
	if l == nil {
		return
	}
	if conn := l.wait(e.cfg.ConnectLimit); conn != nil {
		_ = conn.Send(&peer.ConfigPull{
			Page: page,
		})
	}
}

// onConfigPage takes a page of a peer's configuration and asks for the next.
func (e *Entry) onConfigPage(from wardturn.UpstreamID, m *peer.ConfigPage) {
	page, err := control.DecodePage(m.Data)
	if err != nil {
		return
	}
	e.seeds.mu.Lock()
	s := e.seeds.pages[from]
	if m.Page == 0 || s == nil || s.config != m.Config {
		s = &seed{
			config: m.Config,
		}
		e.seeds.pages[from] = s
	}
	if m.Page != s.next {
		delete(e.seeds.pages, from)
		e.seeds.mu.Unlock()
		return
	}
	s.page.Docs = append(s.page.Docs, page.Docs...)
	s.page.Results = append(s.page.Results, page.Results...)
	s.next++
	whole := s.next >= m.Pages
	if whole {
		delete(e.seeds.pages, from)
	}
	e.seeds.mu.Unlock()
	if !whole {
		e.tasks.Go(func() {
			e.askConfig(from, m.Page+1)
		})
		return
	}
	e.logger.Info("configuration from a peer", "upstream", from, "config", s.config, "documents", len(s.page.Docs))
	e.replica.Seed(s.page, s.config)
}
