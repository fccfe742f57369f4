package gateway

import (
	"maps"
	"slices"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

// newsKeepers is the number of keepers per failure domain that forward an announcement, so
// that the loss of one loses no announcement.
const newsKeepers = 2

// newsConns returns the connections for an announcement: to two keepers in each failure
// domain, which forward it within the domain. An announcement thus crosses to each other
// domain twice, instead of once per gateway there. The keepers are selected by key.
// Announcements of one kind from one gateway use the same keepers, which keeps them in
// order. Other keys select other keepers, so that no two keepers carry the whole load.
func (ls *links) newsConns(key string) []*peer.Conn {
	byDomain := ls.waysByDomain()
	conns := make([]*peer.Conn, 0, newsKeepers*len(byDomain))
	for _, ways := range byDomain {
		for _, w := range decide.FirstTwo(key, ways, newsWay.name) {
			conns = append(conns, w.conn)
		}
	}
	return conns
}

// capConns returns the connections for a cap usage message: in each failure domain to one of
// the two keepers selected by key, alternating with turn.
func (ls *links) capConns(key string, turn int) []*peer.Conn {
	byDomain := ls.waysByDomain()
	conns := make([]*peer.Conn, 0, len(byDomain))
	for _, ways := range byDomain {
		two := decide.FirstTwo(key, ways, newsWay.name)
		conns = append(conns, two[turn%len(two)].conn)
	}
	return conns
}

// waysByDomain returns the connected keepers by failure domain.
func (ls *links) waysByDomain() map[wardturn.FailureDomain][]newsWay {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	byDomain := make(map[wardturn.FailureDomain][]newsWay)
	for _, l := range ls.byAddr {
		if conn, domain := l.present(); conn != nil {
			byDomain[domain] = append(byDomain[domain], newsWay{
				addr: l.addr(),
				conn: conn,
			})
		}
	}
	return byDomain
}

// newsWay is a connected keeper.
type newsWay struct {
	addr string
	conn *peer.Conn
}

func (w newsWay) name() string {
	return w.addr
}

// hearsAt returns the failure domains whose keepers forward announcements to this gateway:
// its own domain, and further ones until there are two keepers. If a domain has no keeper,
// each announcement crosses to each gateway in it twice. The caller must hold ls.mu, and
// ls.near must be up to date.
func (ls *links) hearsAt(now time.Time) []wardturn.FailureDomain {
	at := []wardturn.FailureDomain{ls.g.cfg.Domain}
	have := len(ls.near)
	if have >= newsKeepers {
		return at
	}
	keepers := ls.otherKeepers(now)
	for have < newsKeepers && len(keepers) > 0 {
		domain, _ := decide.First(string(ls.g.cfg.Domain), slices.Collect(maps.Keys(keepers)), domainName)
		at = append(at, domain)
		have += keepers[domain]
		delete(keepers, domain)
	}
	return at
}

func domainName(d wardturn.FailureDomain) string {
	return string(d)
}

// otherKeepers counts the reachable keepers in other failure domains. The caller must hold
// ls.mu.
func (ls *links) otherKeepers(now time.Time) map[wardturn.FailureDomain]int {
	keepers := make(map[wardturn.FailureDomain]int)
	for _, l := range ls.byAddr {
		if domain, ok := l.reached(now); ok && domain != ls.g.cfg.Domain {
			keepers[domain]++
		}
	}
	return keepers
}

// hear subscribes to announcements at the keeper if its failure domain is in at, and
// unsubscribes otherwise.
func (l *link) hear(at []wardturn.FailureDomain) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if news := slices.Contains(at, l.member.Domain); l.notice.News != news {
		l.notice.News = news
		l.told = false
		l.sendNotice()
	}
}
