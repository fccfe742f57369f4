package decide

import (
	"time"

	"wardturn"
)

const (
	// versionSlack is how long before the bound on old versions their end is: for the
	// way of the word that breaks off what has not begun, far over a way between failure
	// domains and a step of a slow host.
	versionSlack = 500 * time.Millisecond
	// beginWithin is how long before its end an old version gets its last request,
	// beside the time that prompts take. The few requests that take longer to begin, on
	// hosts that freeze, are broken off.
	beginWithin = time.Second
	// versionRepeat is how often the replacement of old versions is looked at.
	versionRepeat = 300 * time.Millisecond
)

// rollout is the way from an old version of an adapter to the newest: another
// engine loads the newest while the old one serves, and only then are the
// copies of the old version replaced, with no requests left on them.
type rollout struct {
	nextAt time.Time // of the next look
	ends   []naming  // that are still to come, the earliest first
}

// SetVersion records the newest version of an adapter. At the time known it had not
// been named yet, so its bound runs from then at the latest; counted from when it was
// heard of, late words would move it. Zero means that nothing was known before: then
// no older version serves.
func (f *Fleet) SetVersion(now time.Time, v wardturn.AdapterVersion, known time.Time, out *Moves) {
	key := v.Key()
	if v.Version <= f.newest(key) {
		return
	}
	end := now
	if !known.IsZero() {
		end = known.Add(f.cfg.VersionBound - versionSlack)
	}
	r := f.rollouts[key]
	if r == nil {
		r = &rollout{}
		f.rollouts[key] = r
	}
	n := f.named(v, now, end)
	if end.After(now) {
		// Else this gateway was away, and the version may have been named just now:
		// what was sent before would be lost without need.
		r.ends = append(r.ends, n)
	}
	f.advance(now, key, r, out)
}

// advanceRollouts goes on with the replacement of old versions, and ends those whose
// time is over.
func (f *Fleet) advanceRollouts(now time.Time, out *Moves) {
	for key, r := range f.rollouts {
		for len(r.ends) > 0 && !now.Before(r.ends[0].end) {
			out.Ended = append(out.Ended, wardturn.AdapterVersion{
				Model:   key.Model,
				Adapter: key.Adapter,
				Version: r.ends[0].version,
			})
			r.ends = r.ends[1:]
			r.nextAt = now
		}
		if !now.Before(r.nextAt) {
			f.advance(now, key, r, out)
		}
	}
}

// advance asks for the newest version where it is due: in the place of an old one
// that serves no more, and of the others once another engine has the newest.
func (f *Fleet) advance(now time.Time, key wardturn.ModelAdapter, r *rollout, out *Moves) {
	r.nextAt = now.Add(versionRepeat)
	var serving, spent []*Member
	renewed := false
	for _, m := range f.holders[key] {
		switch v := m.held[key].version; {
		case v >= f.newest(key):
			renewed = true
		case f.VersionServes(now.Add(beginWithin), key, v):
			serving = append(serving, m)
		default:
			spent = append(spent, m)
		}
	}
	f.replace(key, spent, out)
	switch {
	case len(serving) == 0:
		if len(spent) == 0 && len(r.ends) == 0 {
			delete(f.rollouts, key)
		}
	case renewed || !f.loadBeside(now, key, serving[0].Service, out):
		f.replace(key, serving, out)
	}
}

// loadBeside asks an engine that does not hold an adapter for its newest
// version, and reports whether there is one.
func (f *Fleet) loadBeside(now time.Time, key wardturn.ModelAdapter, s wardturn.ServiceName, out *Moves) bool {
	if w := f.wants.anywhere(key); w != nil && !w.askedAt.IsZero() {
		return true
	}
	for m := range f.homes(now, s, key, false) {
		if _, holds := m.held[key]; holds || m.loading() >= MaxComing {
			continue
		}
		w := f.wantOf(now, key, s, nil)
		w.cause = LoadVersion
		f.ask(now, w, m, out)
		return true
	}
	return false
}

// replace asks the engines of the own failure domain that hold an old version
// for the newest.
func (f *Fleet) replace(key wardturn.ModelAdapter, old []*Member, out *Moves) {
	for _, m := range old {
		if m.Domain != f.cfg.Domain || m.Draining {
			continue
		}
		out.Asks = append(out.Asks, LoadAsk{
			Upstream: m.ID,
			Adapter: wardturn.AdapterVersion{
				Model:   key.Model,
				Adapter: key.Adapter,
				Version: f.newest(key),
			},
			Waiting: 1,
		})
	}
}
