package decide

import (
	"wardturn"
)

// LoadCause says why an adapter was asked for at an engine.
type LoadCause string

// The causes of a load.
const (
	LoadFirst   LoadCause = "first"   // no engine held it, as far as this gateway knows
	LoadAgain   LoadCause = "again"   // the engine held it before
	LoadMoved   LoadCause = "moved"   // another engine held it before and does no more
	LoadSecond  LoadCause = "second"  // others hold it, but are full or would stall
	LoadNear    LoadCause = "near"    // it is held in other failure domains only, and much was sent there
	LoadRelief  LoadCause = "relief"  // the engine that holds it is busier than others
	LoadVersion LoadCause = "version" // a newer version was named
)

// causeOf returns why a wanted adapter is asked for at an engine, if nothing else
// was said of it.
func (f *Fleet) causeOf(w *want, home *Member) LoadCause {
	if home.everHeld[w.key] {
		return LoadAgain
	}
	if len(f.holders[w.key]) > 0 {
		return LoadSecond
	}
	if f.heldElsewhere(w.service, w.key) {
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
