package decide

import (
	"time"

	"wardturn"
)

// SoftwareHistory records which software versions the list of upstreams has had for each
// service.
type SoftwareHistory struct {
	services map[wardturn.ServiceName]*serviceSoftware
}

type serviceSoftware struct {
	since  time.Time // when the list first had the service
	listed map[wardturn.SoftwareVersion]bool
	gone   map[wardturn.SoftwareVersion]time.Time // when versions left the list
	stated bool                                   // an upstream has stated its version
}

// Observe records the current list of upstreams by service.
func (h *SoftwareHistory) Observe(now time.Time, services map[wardturn.ServiceName][]*Member) {
	if h.services == nil {
		h.services = make(map[wardturn.ServiceName]*serviceSoftware)
	}
	for name := range services {
		if h.services[name] == nil {
			h.services[name] = &serviceSoftware{
				since: now,
				gone:  make(map[wardturn.SoftwareVersion]time.Time),
			}
		}
	}
	for name, s := range h.services {
		s.observe(now, services[name])
	}
}

func (s *serviceSoftware) observe(now time.Time, members []*Member) {
	listed := make(map[wardturn.SoftwareVersion]bool)
	for _, m := range members {
		listed[m.Software] = true
		s.stated = s.stated || m.Software != ""
		delete(s.gone, m.Software)
	}
	for v := range s.listed {
		if !listed[v] {
			s.gone[v] = now
		}
	}
	s.listed = listed
}

// Listed reports whether the list has had an upstream of a service.
func (h *SoftwareHistory) Listed(s wardturn.ServiceName) bool {
	return h.services[s] != nil
}

// Stated reports whether an upstream of a service has stated its version.
func (h *SoftwareHistory) Stated(s wardturn.ServiceName) bool {
	e := h.services[s]
	return e != nil && e.stated
}

// Only returns the version of a service if it is the only one that the list has had within a
// time before now, as far as it was read then. whole reports that it was read throughout.
func (h *SoftwareHistory) Only(now time.Time, s wardturn.ServiceName, within time.Duration) (v wardturn.SoftwareVersion, whole, ok bool) {
	e := h.services[s]
	if e == nil {
		return "", false, false
	}
	versions := make([]wardturn.SoftwareVersion, 0, len(e.listed))
	for v := range e.listed {
		versions = append(versions, v)
	}
	for v, at := range e.gone {
		if now.Sub(at) < within {
			versions = append(versions, v)
		}
	}
	if len(versions) != 1 {
		return "", false, false
	}
	return versions[0], now.Sub(e.since) >= within, true
}
