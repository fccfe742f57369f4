package gateway

import (
	"fmt"
	"net"
	"testing"
	"time"

	"wardturn"
	"wardturn/peer"
	"wardturn/process"
)

// newTestLinks returns the links of a gateway in failure domain d0, connected to the given
// number of keepers in each of the domains d0, d1 and so on.
func newTestLinks(t *testing.T, keepers ...int) *links {
	t.Helper()
	ls := newLinks(&Gateway{
		clock: process.Clock{},
		cfg: Config{
			Domain: "d0",
		},
	})
	for d, n := range keepers {
		for range n {
			addTestKeeper(t, ls, wardturn.FailureDomain(fmt.Sprint("d", d)))
		}
	}
	return ls
}

func addTestKeeper(t *testing.T, ls *links, domain wardturn.FailureDomain) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := make(connected, 1)
	server := peer.NewServer(ln, nil, process.Clock{}, conns.identity("k"), peer.Limits{}, connected(nil))
	t.Cleanup(server.Close)
	client := peer.NewClient(ln.Addr().String(), nil, process.Clock{}, conns.identity("g"), conns)
	t.Cleanup(client.Close)
	select {
	case conn := <-conns:
		ls.byAddr[client.Addr()] = &link{
			links:  ls,
			client: client,
			conn:   conn,
			member: wardturn.Member{
				Domain: domain,
			},
		}
	case <-time.After(5 * time.Second):
		t.Fatal("not connected")
	}
}

// An announcement goes to two keepers in each failure domain. Different gateways use
// different keepers.
func TestAnnouncementsUseTwoKeepersPerDomain(t *testing.T) {
	const each = 6
	ls := newTestLinks(t, each, each, each, 1)
	domains := make(map[*peer.Conn]wardturn.FailureDomain)
	for _, l := range ls.byAddr {
		domains[l.conn] = l.member.Domain
	}
	used := make(map[*peer.Conn]bool)
	for i := range 40 {
		keepers := make(map[wardturn.FailureDomain]int)
		for _, c := range ls.announcementConns(fmt.Sprint("reader", i)) {
			keepers[domains[c]]++
			used[c] = true
		}
		for domain, want := range map[wardturn.FailureDomain]int{"d0": 2, "d1": 2, "d2": 2, "d3": 1} {
			if keepers[domain] != want {
				t.Errorf("reader %d: %d keepers in %s, want %d", i, keepers[domain], domain, want)
			}
		}
	}
	if len(used) != len(domains) {
		t.Errorf("%d of %d keepers carry announcements", len(used), len(domains))
	}
}

// A gateway receives announcements from keepers in its own failure domain, and in others as
// long as that gives fewer than two keepers.
func TestAnnouncementDomains(t *testing.T) {
	for _, c := range []struct {
		keepers []int
		want    int // failure domains
	}{
		{keepers: []int{2, 3}, want: 1},
		{keepers: []int{1, 3}, want: 2},
		{keepers: []int{0, 2, 2}, want: 2},
		{keepers: []int{0, 1, 1}, want: 3},
		{keepers: []int{1}, want: 1},
		{keepers: nil, want: 1},
	} {
		ls := newTestLinks(t, c.keepers...)
		ls.updateRelays()
		if len(ls.announcementDomains) != c.want || ls.announcementDomains[0] != "d0" {
			t.Errorf("with %v keepers, announcements come from %v, want %d domains", c.keepers, ls.announcementDomains, c.want)
		}
		for _, l := range ls.byAddr {
			if domain := l.domain(); domain == "d0" && !l.engineConfig.Announcements {
				t.Errorf("with %v keepers, no announcements come from the gateway's own failure domain", c.keepers)
			}
		}
	}
}
