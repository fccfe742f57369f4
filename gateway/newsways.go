package gateway

import (
	"maps"
	"slices"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

// newsKeepers is how many keepers pass a reading on in each failure domain, so that
// the loss of one hides nothing.
const newsKeepers = 2

// newsConns returns the connections on which a reading is told: to two keepers in
// each failure domain, which pass it on inside. So it crosses to each other domain
// twice, and not to each gateway there. Key chooses them; the readings of one kind of
// one gateway go the same ways, and so stay in order, and those of others by others:
// with two keepers for all, these two would carry everything.
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

// capConns returns the connections on which a word on caps is told: in each failure
// domain to one of two keepers, by turns. Key chooses them.
func (ls *links) capConns(key string, turn int) []*peer.Conn {
	byDomain := ls.waysByDomain()
	conns := make([]*peer.Conn, 0, len(byDomain))
	for _, ways := range byDomain {
		two := decide.FirstTwo(key, ways, newsWay.name)
		conns = append(conns, two[turn%len(two)].conn)
	}
	return conns
}

// waysByDomain returns the keepers that are connected, by failure domain.
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

// newsWay is a keeper that is connected.
type newsWay struct {
	addr string
	conn *peer.Conn
}

func (w newsWay) name() string {
	return w.addr
}

// hearsAt returns the failure domains at whose keepers this gateway hears news: its
// own, and more while those have fewer than two keepers; the lock is held, and near
// is up to date. Where there is no keeper at all, one gateway's readings cross to each
// gateway twice.
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

// otherKeepers counts the keepers that can be reached in other failure domains; the
// lock is held.
func (ls *links) otherKeepers(now time.Time) map[wardturn.FailureDomain]int {
	keepers := make(map[wardturn.FailureDomain]int)
	for _, l := range ls.byAddr {
		if domain, ok := l.reached(now); ok && domain != ls.g.cfg.Domain {
			keepers[domain]++
		}
	}
	return keepers
}

// hear has the gateway hear news at the keeper, or no longer.
func (l *link) hear(at []wardturn.FailureDomain) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if news := slices.Contains(at, l.member.Domain); l.notice.News != news {
		l.notice.News = news
		l.told = false
		l.sendNotice()
	}
}
