package keeper

import "wardturn"

// reporting returns the lifetime of the engine that reports; named is the one known so
// far. An engine that does not tell its name may tell its start.
func reporting(st wardturn.EngineState, named wardturn.UpstreamID) wardturn.UpstreamID {
	if st.Upstream != "" {
		return st.Upstream
	}
	if st.Born == 0 {
		return named
	}
	return wardturn.Lifetime(named.Instance(), st.Born)
}

// begins takes a lifetime of the engine; the lock is held. If it is a later one of the
// same instance, nothing that is known of the one before holds.
func (k *Keeper) begins(id wardturn.UpstreamID) {
	if k.upstream.Born() != 0 && k.upstream.Before(id) {
		k.logger.Info("engine has started again", "upstream", id, "before", k.upstream)
		k.places.Restarted()
	}
	k.upstream = id
}

// named takes the lifetime of the engine; the lock is held. Orders that another
// lifetime refused say nothing about this one.
func (k *Keeper) named(id wardturn.UpstreamID) {
	if id == k.upstream || id.Before(k.upstream) {
		return
	}
	k.logger.Info("engine named", "upstream", id, "before", k.upstream, "position", k.seen)
	k.begins(id)
	k.tell()
	k.places.Defer(k.clock.Now())
}
