package keeper

import (
	"cmp"

	"wardturn/peer"
)

// forward sends a message of one gateway to all others that receive messages between
// gateways from this keeper. From is the connection of the message's sender, if it is to be
// excluded. The lock must be held.
func (k *Keeper) forward(from *peer.Conn, m peer.Message) {
	k.forwardFeature(from, m, 0)
}

// forwardFeature is forward for a message of a feature: it leaves out gateways that do not
// understand the feature. The lock must be held.
func (k *Keeper) forwardFeature(from *peer.Conn, m peer.Message, f peer.Features) {
	for c := range k.forwardTo {
		if c != from && c.Understands(f) {
			_ = c.Send(m)
		}
	}
}

// hostOf returns the host of a gateway, or its process if the host is not known. Counting by
// host avoids counting a restarted gateway twice: after a power loss the connection of the
// previous process still seems to be alive.
func hostOf(c *peer.Conn) string {
	return cmp.Or(c.Peer().Host, string(c.Peer().Process))
}

// Closed implements peer.Handler.
func (k *Keeper) Closed(c *peer.Conn, _ error) {
	k.relays.unfollowAll(c)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.subscribers.remove(c)
	k.placement.GatewayLost(c.Peer().Process)
	delete(k.prefill, c)
	k.dropTurns(c)
	delete(k.forwardTo, c)
	if !k.registered[c] {
		return
	}
	delete(k.registered, c)
	host := hostOf(c)
	k.gateways[host]--
	if k.gateways[host] == 0 {
		delete(k.gateways, host)
	}
}
