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
	seedPeers = 3 // agents asked per round, if possible in different failure domains
	// logSilence is the time without a successful read of the log after which agents are
	// asked for the configuration. A read that finds no new records returns after 2 s, so
	// this must be longer.
	logSilence = 5 * time.Second
)

// seeds collects the configurations that agents send while the log is unavailable.
type seeds struct {
	mu    sync.Mutex
	pages map[wardturn.UpstreamID]*seed
}

// seed is the part of an agent's configuration that has been received so far.
type seed struct {
	config wardturn.Offset
	page   control.Page
	next   int
}

// seedFromPeers asks agents for the configuration as long as the log can't be read. Each
// complete configuration is passed to the replica, which ignores it if it is older than
// its own.
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

// seedFrom requests an agent's configuration if it is known to be newer than the
// entry's. Otherwise it sends a ping to learn the agent's current offset for the next
// round.
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

// spread returns up to n hosts, preferring different failure domains.
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

// onConfigPage adds a page to an agent's configuration. It then requests the next page,
// or passes the complete configuration to the replica.
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
	e.logger.Info("configuration received from an agent", "upstream", from, "config", s.config, "documents", len(s.page.Docs))
	e.replica.Seed(s.page, s.config)
}
