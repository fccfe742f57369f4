package decide

import (
	"time"
)

const (
	// warmLoad is how long an adapter takes from its engine's own memory, as gateways
	// see it, orders included.
	warmLoad = 50 * time.Millisecond
	// lastMoment is how long before its deadline a request that still waits is
	// refused, so that its caller has the answer in time.
	lastMoment = 100 * time.Millisecond
	// refillTime is how long requests wait on once the first engine is no longer
	// empty after all were: about what a weight store of 32 loads a second takes to
	// fill a hundred places. Refused sooner they come back before their adapters are
	// there and are refused once more.
	refillTime = 3 * time.Second
	// leastComeBack is the least time told to a caller: less than a load from the
	// store would have it back before anything has changed.
	leastComeBack = 150 * time.Millisecond
)

// hopeless reports whether a waiting request should be refused now: it could not
// be served within its objective any more, and nothing that it waits for is on
// its way. While its adapter is on its way it waits on, since a late answer is
// worth more to its caller than none.
func (f *Fleet) hopeless(now time.Time, w *want, t *Ticket) bool {
	if !now.Before(t.Deadline.Add(-lastMoment)) {
		return true
	}
	if f.isComing(w) {
		return false
	}
	if f.empty(now, w) {
		f.refilled[w.service] = now.Add(refillTime)
	}
	if now.Before(f.refilled[w.service]) {
		return false
	}
	return now.Add(f.needs(w, t)).After(t.Arrived.Add(t.Objective))
}

// empty reports whether no engine holds the model of a want, though some are there:
// all have started anew and are loading it.
func (f *Fleet) empty(now time.Time, w *want) bool {
	list := f.services[w.service]
	for _, m := range list {
		if m.loads(now, w.key.Model) {
			return false
		}
	}
	return len(list) > 0
}

// needs returns the least time until the first token of a request: its adapter has
// to come, unless an engine that holds it is merely full, and its prompt has to be
// read.
func (f *Fleet) needs(w *want, t *Ticket) time.Duration {
	read := f.rateOf(t.Service).time(int(t.Prompt))
	switch {
	case w.key.Adapter == "" || len(f.holders[w.key]) > 0:
		return read
	case w.warm:
		return read + warmLoad
	}
	return read + f.window.Typical()
}

// comeBack estimates when an adapter that is waited for will be there.
func (f *Fleet) comeBack(now time.Time, w *want) time.Duration {
	typical := f.window.Typical()
	if w.askedAt.IsZero() {
		return max(leastComeBack, time.Duration(f.turns()*float64(typical)))
	}
	return max(leastComeBack, typical-now.Sub(w.askedAt))
}

// turns estimates how many times the usual load passes until one that has not
// been asked for is there: wants before it share the window with those of the
// other gateways, which are taken to have as many.
func (f *Fleet) turns() float64 {
	pending := 0
	for _, w := range f.wants {
		if w.askedAt.IsZero() && w.key.Adapter != "" {
			pending++
		}
	}
	return 1 + float64(pending*f.Gateways())/float64(max(f.window.Size(), 1))
}
