package decide

import (
	"time"

	"wardturn"
)

// naming is the word that a version of an adapter is the newest.
type naming struct {
	version wardturn.Version
	heard   time.Time
}

// namingsKept is how many names of an adapter are remembered. It is an estimate:
// requests last seconds, and names have come no closer than 2 s.
const namingsKept = 8

// Superseded returns the first version of an adapter that is newer than another
// and when that was named. It reports false while there is none.
func (f *Fleet) Superseded(key wardturn.ModelAdapter, v wardturn.Version) (newer wardturn.Version, named time.Time, ok bool) {
	for _, n := range f.namings[key] {
		if n.version > v {
			return n.version, n.heard, true
		}
	}
	return 0, time.Time{}, false
}

// named remembers the name of a version.
func (f *Fleet) named(now time.Time, v wardturn.AdapterVersion) {
	list := append(f.namings[v.Key()], naming{
		version: v.Version,
		heard:   now,
	})
	f.namings[v.Key()] = list[max(0, len(list)-namingsKept):]
}
