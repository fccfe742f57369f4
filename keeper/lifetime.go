package keeper

import "wardturn"

// reportedLifetime returns the lifetime of the engine that a report is about; known is the
// one known so far. A report without the engine's name may still have its start time.
func reportedLifetime(st wardturn.EngineState, known wardturn.UpstreamID) wardturn.UpstreamID {
	if st.Upstream != "" {
		return st.Upstream
	}
	if st.StartMS == 0 {
		return known
	}
	return wardturn.NewUpstreamID(known.Instance(), st.StartMS)
}

// startLifetime sets the current lifetime of the engine. If it is another one of the same
// instance, the engine has restarted and its previous state is dropped. It has started later, also if
// the clock of its host was set back meanwhile. The lock must be held.
func (k *Keeper) startLifetime(id wardturn.UpstreamID) {
	if k.upstream.StartMS() != 0 && id.StartMS() != 0 && k.upstream.Instance() == id.Instance() && k.upstream != id {
		k.logger.Info("engine has started again", "upstream", id, "before", k.upstream)
		k.placement.EngineRestarted()
		// The engine has forgotten the fences that it has seen. With a higher one it refuses
		// orders to its former lifetime that were delayed on the way.
		k.renewFence()
		k.turns.queue.EngineRestarted(k.clock.Now())
	}
	k.upstream = id
}

// observeLifetime handles the engine's lifetime according to a gateway. An earlier lifetime
// than the current one is ignored. A new one gets orders without delay: the delay after a
// refused order applies only to the lifetime that refused it. The lock must be held.
func (k *Keeper) observeLifetime(id wardturn.UpstreamID) {
	if id == k.upstream || id.Before(k.upstream) {
		return
	}
	k.logger.Info("engine named", "upstream", id, "before", k.upstream, "position", k.upstreamPosition)
	k.startLifetime(id)
	k.sendUpdate()
	k.placement.Defer(k.clock.Now())
}
