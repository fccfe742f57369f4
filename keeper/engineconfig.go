package keeper

import (
	"wardturn"
	"wardturn/peer"
)

// handleEngineSizes handles a gateway's message of the sizes that belong to a configuration. The lock must be
// held.
func (k *Keeper) handleEngineSizes(m *peer.EngineSizes) {
	if m.Config < k.sizesVersion {
		return
	}
	k.sizesVersion = m.Config
	k.sizes = m.Spec()
	k.setSpec(k.placement.Spec())
}

// setSpec sets the specification of the engine, with the sizes that gateways have told. Those of an older
// build tell none. The lock must be held.
func (k *Keeper) setSpec(spec wardturn.EngineSpec) {
	spec = spec.WithSizesOf(k.sizes)
	if k.placement.SetSpec(spec) {
		k.logger.Info("engine configured", "config", k.configVersion, "adapter_slots", spec.AdapterSlots, "memory_mb", spec.Memory, "models", len(spec.Models))
	}
}

// handleEngineConfig handles a gateway's configuration of the engine and replies with the
// full state, unless the gateway gets it through a relay. An older configuration than the
// latest is ignored, and so is an earlier lifetime of the engine: after a restart some
// gateways know only the earlier one. The lock must be held.
func (k *Keeper) handleEngineConfig(c *peer.Conn, m *peer.EngineConfig) {
	if m.Config >= k.configVersion {
		k.configVersion = m.Config
		k.setSpec(m.Spec)
	}
	if m.Position >= k.upstreamPosition {
		k.upstreamPosition = m.Position
		k.observeLifetime(m.Upstream)
	}
	if !k.registered[c] {
		k.registered[c] = true
		k.gateways[hostOf(c)]++
	}
	if m.Announcements {
		k.forwardTo[c] = true
	} else {
		delete(k.forwardTo, c)
	}
	if m.ViaRelay {
		delete(k.subscribers.allUpdates, c)
	} else {
		k.addSubscriber(c)
	}
	k.wakeUp()
}
