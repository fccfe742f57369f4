package decide

import (
	"time"

	"wardturn"
)

// OnlySoftware knows from records of gateways which services have had one software version
// only.
type OnlySoftware struct {
	services map[wardturn.ServiceName]map[wardturn.SoftwareVersion]recordedSoftware
}

// recordedSoftware is what records say of one software version of a service.
type recordedSoftware struct {
	until     time.Time // when the records no longer count
	onlyUntil time.Time // when the records that there is no other no longer count
}

// NewOnlySoftware returns an OnlySoftware without records.
func NewOnlySoftware() *OnlySoftware {
	return &OnlySoftware{
		services: make(map[wardturn.ServiceName]map[wardturn.SoftwareVersion]recordedSoftware),
	}
}

// Record records for a time where a stream began, or that streams of the service without a
// record of their own began there.
func (o *OnlySoftware) Record(now time.Time, r wardturn.StreamRecord, keep time.Duration) {
	versions := o.services[r.Origin.Service]
	if versions == nil {
		versions = make(map[wardturn.SoftwareVersion]recordedSoftware)
		o.services[r.Origin.Service] = versions
	}
	for v, e := range versions {
		if !now.Before(e.until) {
			delete(versions, v)
		}
	}
	e := versions[r.Origin.Software]
	e.until = now.Add(keep)
	if r.Attempt == "" {
		e.onlyUntil = e.until
	}
	versions[r.Origin.Software] = e
}

// Find returns the software version of a service if records say that it is the only one and
// none names another.
func (o *OnlySoftware) Find(now time.Time, s wardturn.ServiceName) (v wardturn.SoftwareVersion, ok bool) {
	n := 0
	for version, e := range o.services[s] {
		if !now.Before(e.until) {
			continue
		}
		n++
		v, ok = version, now.Before(e.onlyUntil)
	}
	return v, ok && n == 1
}
