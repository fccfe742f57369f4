package gateway

import (
	"hash/fnv"
	"net"
	"slices"
	"strings"

	"wardturn"
)

// routes finds the route of a request. It is built once for each configuration
// and then only read.
type routes struct {
	table  *wardturn.RouteTable
	byHost map[string][]*wardturn.Route // the longest prefix first
	byKey  map[wardturn.KeyDigest]*wardturn.Team
	levels int // of the routes' priorities
}

func newRoutes(t *wardturn.RouteTable) *routes {
	rs := &routes{
		table:  t,
		byHost: make(map[string][]*wardturn.Route),
		byKey:  make(map[wardturn.KeyDigest]*wardturn.Team),
	}
	for i := range t.Teams {
		for _, key := range t.Teams[i].Keys {
			rs.byKey[key] = &t.Teams[i]
		}
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		rs.levels = max(rs.levels, r.Priority+1)
		host := strings.ToLower(r.Host)
		rs.byHost[host] = append(rs.byHost[host], r)
	}
	for _, list := range rs.byHost {
		slices.SortStableFunc(list, func(x, y *wardturn.Route) int {
			return len(y.Prefix) - len(x.Prefix)
		})
	}
	return rs
}

// find returns the route of a host and path, or nil.
func (rs *routes) find(host, path string) *wardturn.Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range rs.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// target chooses the service of a request by the weights of the route's targets.
// The same attempt always gets the same service.
func target(r *wardturn.Route, attempt string) wardturn.ServiceName {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	at := bucketOf(attempt, total)
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[0].Service
}

// bucketOf returns which of n a text falls to, always the same.
func bucketOf(text string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text)) // never fails
	return int(h.Sum32() % uint32(n))
}
