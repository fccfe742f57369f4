package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"wardturn"
)

// HostList is a fake of the platform's host list. Readers see the list as it was one lag
// ago.
type HostList struct {
	clock wardturn.Clock
	lag   time.Duration

	mu       sync.Mutex
	down     bool
	versions []hostVersion // ascending by time
}

type hostVersion struct {
	at    time.Time
	hosts []wardturn.Host
}

// NewHostList returns an empty list with the given lag.
func NewHostList(clock wardturn.Clock, lag time.Duration) *HostList {
	return &HostList{
		clock: clock,
		lag:   lag,
	}
}

// SetDown sets whether reads of the list fail.
func (l *HostList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Set adds a host or replaces it.
func (l *HostList) Set(h wardturn.Host) {
	l.change(func(hosts []wardturn.Host) []wardturn.Host {
		for i := range hosts {
			if hosts[i].Upstream == h.Upstream {
				hosts[i] = h
				return hosts
			}
		}
		return append(hosts, h)
	})
}

// Leave marks a host as leaving.
func (l *HostList) Leave(id wardturn.UpstreamID) {
	l.change(func(hosts []wardturn.Host) []wardturn.Host {
		for i := range hosts {
			if hosts[i].Upstream == id {
				hosts[i].State = wardturn.HostLeaving
			}
		}
		return hosts
	})
}

// Remove removes a host.
func (l *HostList) Remove(id wardturn.UpstreamID) {
	l.change(func(hosts []wardturn.Host) []wardturn.Host {
		return slices.DeleteFunc(hosts, func(h wardturn.Host) bool {
			return h.Upstream == id
		})
	})
}

// change appends a new version of the list.
func (l *HostList) change(f func([]wardturn.Host) []wardturn.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var hosts []wardturn.Host
	if n := len(l.versions); n > 0 {
		hosts = slices.Clone(l.versions[n-1].hosts)
	}
	l.versions = append(l.versions, hostVersion{
		at:    l.clock.Now(),
		hosts: f(hosts),
	})
}

// Hosts implements wardturn.HostList.
func (l *HostList) Hosts(context.Context) ([]wardturn.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, wardturn.ErrUnavailable
	}
	limit := l.clock.Now().Add(-l.lag)
	for len(l.versions) > 1 && !l.versions[1].at.After(limit) {
		l.versions = l.versions[1:]
	}
	if len(l.versions) == 0 || l.versions[0].at.After(limit) {
		return nil, nil
	}
	return slices.Clone(l.versions[0].hosts), nil
}
