package wardturn

import "slices"

// Regions is a set of regions where requests may be served. Nil allows all regions, an
// empty list none.
type Regions []Region

// Allow reports whether requests may be served in a region. An unknown region, the empty
// string, is allowed only if all are.
func (r Regions) Allow(region Region) bool {
	return r == nil || region != "" && slices.Contains(r, region)
}

// Both returns the regions that both r and o allow.
func (r Regions) Both(o Regions) Regions {
	switch {
	case r == nil:
		return o
	case o == nil:
		return r
	}
	both := Regions{}
	for _, region := range r {
		if slices.Contains(o, region) {
			both = append(both, region)
		}
	}
	return both
}
