package keeper

import (
	"time"

	"wardturn/decide"
	"wardturn/peer"
)

// gossipDelay is how long messages between gateways are collected before they are forwarded,
// so that a gateway gets one message with those of all others.
const gossipDelay = 50 * time.Millisecond

// gossip are messages between gateways about rates that they enforce jointly, to be
// forwarded.
type gossip struct {
	teams  []decide.TeamWord
	limits []decide.LimitGossip
}

// queueGossip queues messages to be forwarded together. The lock must be held.
func (k *Keeper) queueGossip(g gossip) {
	if len(k.pendingGossip.teams)+len(k.pendingGossip.limits) == 0 {
		k.clock.AfterFunc(gossipDelay, k.forwardGossip)
	}
	k.pendingGossip.teams = append(k.pendingGossip.teams, g.teams...)
	k.pendingGossip.limits = append(k.pendingGossip.limits, g.limits...)
}

// forwardGossip forwards the queued messages.
func (k *Keeper) forwardGossip() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.pendingGossip.teams) > 0 {
		k.forward(nil, &peer.TeamUse{
			Words: k.pendingGossip.teams,
		})
	}
	if len(k.pendingGossip.limits) > 0 {
		k.forward(nil, &peer.LimitNews{
			Words: k.pendingGossip.limits,
		})
	}
	k.pendingGossip = gossip{}
}
