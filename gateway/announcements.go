package gateway

import (
	"maps"
	"slices"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

// keepersPerDomain is the number of keepers per failure domain that forward an
// announcement, so that the loss of one loses no announcement.
const keepersPerDomain = 2

// announcementConns returns the connections for an announcement: to two keepers in each
// failure domain, which forward it within the domain. An announcement thus crosses to each
// other domain twice, instead of once per gateway there. The keepers are selected by key.
// Announcements of one kind from one gateway use the same keepers, which keeps them in
// order. Other keys select other keepers, so that the load is spread over all keepers.
func (ls *links) announcementConns(key string) []*peer.Conn {
	byDomain := ls.keepersByDomain()
	conns := make([]*peer.Conn, 0, keepersPerDomain*len(byDomain))
	for _, keepers := range byDomain {
		for _, k := range decide.FirstTwo(key, keepers, connectedKeeper.name) {
			conns = append(conns, k.conn)
		}
	}
	return conns
}

// alternatingConns returns the connections for a message that is sent periodically: in each
// failure domain to one of the two keepers selected by key, alternating with turn.
func (ls *links) alternatingConns(key string, turn int) []*peer.Conn {
	byDomain := ls.keepersByDomain()
	conns := make([]*peer.Conn, 0, len(byDomain))
	for _, keepers := range byDomain {
		two := decide.FirstTwo(key, keepers, connectedKeeper.name)
		conns = append(conns, two[turn%len(two)].conn)
	}
	return conns
}

// keepersByDomain returns the connected keepers by failure domain.
func (ls *links) keepersByDomain() map[wardturn.FailureDomain][]connectedKeeper {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	byDomain := make(map[wardturn.FailureDomain][]connectedKeeper)
	for _, l := range ls.byAddr {
		if conn, domain := l.current(); conn != nil {
			byDomain[domain] = append(byDomain[domain], connectedKeeper{
				addr: l.addr(),
				conn: conn,
			})
		}
	}
	return byDomain
}

// connectedKeeper is the address and connection of a keeper that is currently connected.
type connectedKeeper struct {
	addr string
	conn *peer.Conn
}

func (k connectedKeeper) name() string {
	return k.addr
}

// findAnnouncementDomains returns the failure domains whose keepers forward announcements
// to this gateway: its own domain, and further ones until there are two keepers. If a
// domain has no keeper, each announcement crosses to each gateway in it twice. The caller
// must hold ls.mu, and ls.relayCandidates must be up to date.
func (ls *links) findAnnouncementDomains(now time.Time) []wardturn.FailureDomain {
	domains := []wardturn.FailureDomain{ls.g.cfg.Domain}
	count := len(ls.relayCandidates)
	if count >= keepersPerDomain {
		return domains
	}
	keepers := ls.countRemoteKeepers(now)
	for count < keepersPerDomain && len(keepers) > 0 {
		domain, _ := decide.First(string(ls.g.cfg.Domain), slices.Collect(maps.Keys(keepers)), domainName)
		domains = append(domains, domain)
		count += keepers[domain]
		delete(keepers, domain)
	}
	return domains
}

func domainName(d wardturn.FailureDomain) string {
	return string(d)
}

// countRemoteKeepers counts the reachable keepers in other failure domains. The caller must
// hold ls.mu.
func (ls *links) countRemoteKeepers(now time.Time) map[wardturn.FailureDomain]int {
	keepers := make(map[wardturn.FailureDomain]int)
	for _, l := range ls.byAddr {
		if domain, ok := l.reachable(now); ok && domain != ls.g.cfg.Domain {
			keepers[domain]++
		}
	}
	return keepers
}

// setAnnouncements subscribes to announcements at the keeper if its failure domain is in
// domains, and unsubscribes otherwise.
func (l *link) setAnnouncements(domains []wardturn.FailureDomain) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if announcements := slices.Contains(domains, l.member.Domain); l.engineConfig.Announcements != announcements {
		l.engineConfig.Announcements = announcements
		l.engineConfigSent = false
		l.sendEngineConfig()
	}
}
