package wardturn

import "slices"

// SoftwareVersions is a set of software versions that may run a request. Nil allows all.
type SoftwareVersions []SoftwareVersion

// Allow reports whether upstreams of a version may run a request.
func (s SoftwareVersions) Allow(v SoftwareVersion) bool {
	return s == nil || slices.Contains(s, v)
}

// StreamOrigin tells where a stream of events began.
type StreamOrigin struct {
	Service  ServiceName
	Software SoftwareVersion
}
