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
// usage of team caps and the limits of upstreams.
type gossip struct {
	teams  []decide.TeamUsageReport
	limits []decide.LimitGossip
}

// queueGossip queues gossip to be forwarded with that of other gateways. The lock must be
// held.
func (k *Keeper) queueGossip(g gossip) {
	if len(k.pendingGossip.teams)+len(k.pendingGossip.limits) == 0 {
		k.clock.AfterFunc(gossipDelay, k.forwardGossip)
	}
	k.pendingGossip.teams = append(k.pendingGossip.teams, g.teams...)
	k.pendingGossip.limits = append(k.pendingGossip.limits, g.limits...)
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
	k.pendingGossip = gossip{}
}
