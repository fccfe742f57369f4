package gateway

import (
	"hash/fnv"
	"net"
	"slices"
	"strings"

	"wardturn"
)

// routes is the lookup table for routes and API keys of one configuration. It is
// immutable once built.
type routes struct {
	table  *wardturn.RouteTable
	byHost map[string][]*wardturn.Route // sorted by descending prefix length
	byKey  map[wardturn.KeyDigest]*wardturn.Team
	levels int // number of priority levels
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

// find returns the route with the longest prefix of path on host, or nil.
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

// selectService selects a service from the route's targets by weight. The selection is a
// deterministic function of the attempt ID.
func selectService(r *wardturn.Route, attempt string) wardturn.ServiceName {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	bucket := hashBucket(attempt, total)
	for _, t := range r.Targets {
		if bucket < t.Weight {
			return t.Service
		}
		bucket -= t.Weight
	}
	return r.Targets[0].Service
}

// hashBucket hashes text into one of n buckets.
func hashBucket(text string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text)) // never fails
	return int(h.Sum32() % uint32(n))
}
