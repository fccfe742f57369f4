package keeper

import "wardturn"

// reporting returns the lifetime of the engine that a report is about; named is the one
// known so far. A report without the engine's name may still have its start time.
func reporting(st wardturn.EngineState, named wardturn.UpstreamID) wardturn.UpstreamID {
	if st.Upstream != "" {
		return st.Upstream
	}
	if st.Born == 0 {
		return named
	}
	return wardturn.Lifetime(named.Instance(), st.Born)
}

// begins sets the current lifetime of the engine. If it is a later one of the same
// instance, the engine has restarted and its previous state is dropped. The lock must be
// held.
func (k *Keeper) begins(id wardturn.UpstreamID) {
	if k.upstream.Born() != 0 && k.upstream.Before(id) {
		k.logger.Info("engine has started again", "upstream", id, "before", k.upstream)
		k.places.Restarted()
	}
	k.upstream = id
}

// named handles the engine's lifetime according to a gateway. An earlier lifetime than the
// current one is ignored. A new one gets orders without delay: the pause after a refused
// order applies only to the lifetime that refused it. The lock must be held.
func (k *Keeper) named(id wardturn.UpstreamID) {
	if id == k.upstream || id.Before(k.upstream) {
		return
	}
	k.logger.Info("engine named", "upstream", id, "before", k.upstream, "position", k.seen)
	k.begins(id)
	k.tell()
	k.places.Defer(k.clock.Now())
}
