package decide

import (
	"fmt"
	"slices"

	"wardturn"
)

// restriction limits the upstreams of a service that may run a request.
type restriction struct {
	regions   wardturn.Regions
	software  wardturn.SoftwareVersions
	resumable bool // the response is a stream that may be resumed
}

func (r *PendingRequest) restriction() restriction {
	return restriction{
		regions:   r.Regions,
		software:  r.Software,
		resumable: r.Resumable,
	}
}

// key returns a text that is the same for equal restrictions, empty for none.
func (r restriction) key() string {
	if r.regions == nil && r.software == nil {
		return ""
	}
	return fmt.Sprintf("%#v %#v", r.regions, r.software)
}

// allows reports whether a restriction allows an upstream. The software version of one that
// restarted is not known until it is listed again.
func (f *Fleet) allows(m *Member, r restriction) bool {
	if m.restarted && (r.software != nil || r.resumable && f.AnyListed(m.Service)) {
		return false
	}
	return f.inRegions(m, r.regions) && r.software.Allow(m.Software)
}

// allTried reports whether a request has been sent to every upstream that may run it, so that
// it would wait in vain.
func (f *Fleet) allTried(r *PendingRequest) bool {
	if len(r.Tried) == 0 {
		return false
	}
	tried := false
	for _, m := range f.services[r.Service] {
		if !f.allows(m, r.restriction()) {
			continue
		}
		if !slices.Contains(r.Tried, m.ID) {
			return false
		}
		tried = true
	}
	return tried
}
