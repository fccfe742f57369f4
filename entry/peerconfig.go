package entry

import (
	"sync"
	"time"

	"wardturn"
	"wardturn/control"
	"wardturn/peer"
)

const (
	peerPollInterval = 2 * time.Second
	peersPerPoll     = 3 // agents asked per round, if possible in different failure domains
	// maxLogReadAge is the time without a successful read of the log after which agents are
	// asked for the configuration. A read that finds no new records returns after 2 s, so
	// this must be longer.
	maxLogReadAge = 5 * time.Second
)

// peerConfigs collects the configurations that agents send while the log is unavailable.
type peerConfigs struct {
	mu      sync.Mutex
	partial map[wardturn.UpstreamID]*partialConfig
}

// partialConfig is the part of an agent's configuration that has been received so far.
type partialConfig struct {
	config   wardturn.Offset
	received control.ConfigPage
	nextPage int
}

// pollPeersForConfig asks agents for the configuration as long as the log can't be read.
// Each complete configuration is passed to the replica, which ignores it if it is older
// than its own.
func (e *Entry) pollPeersForConfig() {
	for e.tasks.Sleep(peerPollInterval) {
		if e.clock.Now().Sub(e.replica.LastReadTime()) < maxLogReadAge {
			continue
		}
		for _, h := range e.pickDiverseHosts(peersPerPoll) {
			e.pollPeerForConfig(h.Upstream)
		}
	}
}

// pollPeerForConfig requests an agent's configuration if it is known to be newer than the
// entry's. Otherwise it sends a ping to learn the agent's current offset for the next
// round.
func (e *Entry) pollPeerForConfig(id wardturn.UpstreamID) {
	l := e.link(id)
	if l == nil {
		return
	}
	conn := l.waitConn(e.cfg.ConnectTimeout)
	switch {
	case conn == nil:
	case conn.Config() > e.replica.AppliedOffset():
		_ = conn.Send(&peer.ConfigPull{})
	default:
		_ = conn.Send(&peer.Ping{})
	}
}

// pickDiverseHosts returns up to n hosts, preferring different failure domains.
func (e *Entry) pickDiverseHosts(n int) []wardturn.Host {
	e.mu.Lock()
	defer e.mu.Unlock()
	used := make(map[wardturn.FailureDomain]bool)
	var distinct, others []wardturn.Host
	for _, h := range e.hosts {
		if used[h.Domain] {
			others = append(others, h)
			continue
		}
		used[h.Domain] = true
		distinct = append(distinct, h)
	}
	distinct = append(distinct, others...)
	return distinct[:min(n, len(distinct))]
}

func (e *Entry) requestConfigPage(id wardturn.UpstreamID, page int) {
	l := e.link(id)
	if l == nil {
		return
	}
	if conn := l.waitConn(e.cfg.ConnectTimeout); conn != nil {
		_ = conn.Send(&peer.ConfigPull{
			Page: page,
		})
	}
}

// onConfigPage adds a page to an agent's configuration. It then requests the next page,
// or passes the complete configuration to the replica.
func (e *Entry) onConfigPage(from wardturn.UpstreamID, m *peer.ConfigPage) {
	page, err := control.DecodeConfigPage(m.Data)
	if err != nil {
		return
	}
	e.peerConfigs.mu.Lock()
	cfg := e.peerConfigs.partial[from]
	if m.Page == 0 || cfg == nil || cfg.config != m.Config {
		cfg = &partialConfig{
			config: m.Config,
		}
		e.peerConfigs.partial[from] = cfg
	}
	if m.Page != cfg.nextPage {
		delete(e.peerConfigs.partial, from)
		e.peerConfigs.mu.Unlock()
		return
	}
	cfg.received.Docs = append(cfg.received.Docs, page.Docs...)
	cfg.received.Results = append(cfg.received.Results, page.Results...)
	cfg.nextPage++
	complete := cfg.nextPage >= m.Pages
	if complete {
		delete(e.peerConfigs.partial, from)
	}
	e.peerConfigs.mu.Unlock()
	if !complete {
		e.tasks.Go(func() {
			e.requestConfigPage(from, m.Page+1)
		})
		return
	}
	e.logger.Info("configuration received from an agent", "upstream", from, "config", cfg.config, "documents", len(cfg.received.Docs))
	e.replica.InstallPeerConfig(cfg.received, cfg.config)
}
