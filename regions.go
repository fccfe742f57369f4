package wardturn

import "slices"

// Regions are the regions in which requests may be served. Nil allows all of them, an
// empty list none.
type Regions []Region

// Allow reports whether requests may be served in a region. One that is not known is
// allowed only where all are.
func (r Regions) Allow(region Region) bool {
	return r == nil || region != "" && slices.Contains(r, region)
}

// Both returns the regions that r and o allow.
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
