package decide

import (
	"time"

	"wardturn"
)

const (
	// versionGrace is how long an old version of an adapter may serve after a
	// newer one was named. The platform allows 5 s from its own record; the rest
	// is for a record that arrives late.
	versionGrace = 3 * time.Second
	// versionRepeat is how often the replacement of old versions is looked at.
	versionRepeat = 300 * time.Millisecond
)

// rollout is the way from an old version of an adapter to the newest: another
// engine loads the newest while the old one serves, and only then are the
// copies of the old version replaced, with no requests left on them.
type rollout struct {
	nextAt time.Time // of the next look
}

// SetVersion records the newest version of an adapter. With grace set, which it
// is for versions named while this gateway runs, an old one may go on serving
// for a while.
func (f *Fleet) SetVersion(now time.Time, v wardturn.AdapterVersion, grace bool, out *Moves) {
	key := v.Key()
	if v.Version <= f.versions[key] {
		return
	}
	f.versions[key] = v.Version
	end := now
	if grace {
		end = now.Add(versionGrace)
	}
	f.named(v, now, end)
	r := &rollout{}
	f.rollouts[key] = r
	f.advance(now, key, r, out)
}

// advanceRollouts goes on with the replacement of old versions.
func (f *Fleet) advanceRollouts(now time.Time, out *Moves) {
	for key, r := range f.rollouts {
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
		case v >= f.versions[key]:
			renewed = true
		case f.versionServes(now, key, v):
			serving = append(serving, m)
		default:
			spent = append(spent, m)
		}
	}
	f.replace(key, spent, out)
	switch {
	case len(serving) == 0:
		if len(spent) == 0 && !f.oldVersionServes(now, key) {
			delete(f.rollouts, key)
		}
	case renewed || !f.loadBeside(now, key, serving[0].Service, out):
		f.replace(key, serving, out)
	}
}

// loadBeside asks an engine that does not hold an adapter for its newest
// version, and reports whether there is one.
func (f *Fleet) loadBeside(now time.Time, key wardturn.ModelAdapter, s wardturn.ServiceName, out *Moves) bool {
	if w := f.wants[key]; w != nil && !w.askedAt.IsZero() {
		return true
	}
	for m := range f.homes(now, s, key, false) {
		if _, holds := m.held[key]; holds || m.loading() >= MaxComing {
			continue
		}
		w := f.wantOf(now, key, s)
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
				Version: f.versions[key],
			},
			Waiting: 1,
		})
	}
}
