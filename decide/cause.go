package decide

import (
	"wardturn"
)

// LoadCause says why this gateway asked an engine to load an adapter.
type LoadCause string

// Causes of a load.
const (
	LoadFirst      LoadCause = "first"  // no engine held it, as far as this gateway knows
	LoadHeldBefore LoadCause = "again"  // the engine held it before
	LoadMoved      LoadCause = "moved"  // another engine held it before but no longer does
	LoadCopy       LoadCause = "second" // other engines hold it, but are full or too slow
	// LoadLocal means that only engines in other failure domains hold the adapter, and
	// that many bytes were sent there.
	LoadLocal   LoadCause = "near"
	LoadRelief  LoadCause = "relief"  // the engine that holds it is busier than others
	LoadVersion LoadCause = "version" // a newer version was announced
)

// causeOf returns why an engine is asked to load a missing adapter whose cause is not set
// elsewhere.
func (f *Fleet) causeOf(missing *missingAdapter, home *Member) LoadCause {
	if home.everHeld[missing.key] {
		return LoadHeldBefore
	}
	if len(f.holders[missing.key]) > 0 {
		return LoadCopy
	}
	if f.heldElsewhere(missing.service, missing.key) {
		return LoadMoved
	}
	return LoadFirst
}

func (f *Fleet) heldElsewhere(s wardturn.ServiceName, key wardturn.ModelAdapter) bool {
	for _, m := range f.heldBefore[key] {
		if m.Service == s {
			return true
		}
	}
	return false
}
