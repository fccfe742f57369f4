package keeper

import (
	"time"

	"wardturn/decide"
	"wardturn/peer"
)

// gossipDelay is how long gossip between gateways is collected before it is forwarded, so
// that a gateway gets one message with the gossip of all others.
const gossipDelay = 50 * time.Millisecond

// gossip is what gateways report to each other about rates that they enforce jointly: the
// usage of team caps, the limits of upstreams and the load of plain services.
type gossip struct {
	teams  []decide.TeamUsageReport
	limits []decide.LimitGossip
	plain  []decide.PlainLoadReport
}

func (g gossip) empty() bool {
	return len(g.teams)+len(g.limits)+len(g.plain) == 0
}

// queueGossip queues gossip to be forwarded with that of other gateways. The lock must be
// held.
func (k *Keeper) queueGossip(g gossip) {
	if k.pendingGossip.empty() {
		k.clock.AfterFunc(gossipDelay, k.forwardGossip)
	}
	k.pendingGossip.teams = append(k.pendingGossip.teams, g.teams...)
	k.pendingGossip.limits = append(k.pendingGossip.limits, g.limits...)
	k.pendingGossip.plain = append(k.pendingGossip.plain, g.plain...)
}

// forwardGossip forwards the queued gossip.
func (k *Keeper) forwardGossip() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.pendingGossip.teams) > 0 {
		k.forward(nil, &peer.TeamUsageReports{
			Reports: k.pendingGossip.teams,
		})
	}
	if len(k.pendingGossip.limits) > 0 {
		k.forward(nil, &peer.LimitGossip{
			Messages: k.pendingGossip.limits,
		})
	}
	if len(k.pendingGossip.plain) > 0 {
		k.forwardFeature(nil, &peer.PlainLoadReports{
			Reports: k.pendingGossip.plain,
		}, peer.FeaturePlainLoad)
	}
	k.pendingGossip = gossip{}
}
