package decide

import "time"

// gatewayCountRetention is how long gateways that are no longer counted keep their shares
// of what all gateways share. Behind a network partition they still use them.
const gatewayCountRetention = time.Minute

// GatewayCount is the number of gateways used to compute shares: the highest number that
// keepers counted within gatewayCountRetention. During a network partition keepers count
// the gateways of their own side only, and shares computed from that number would add up
// to more than the whole. The zero value has no count yet.
type GatewayCount struct {
	highest   int
	countedAt time.Time // time of the latest count of at least that many
}

// Update records the number that keepers count now, or zero if no keeper is reachable, and
// returns the number to use. It returns zero if no keeper has been reachable yet.
func (c *GatewayCount) Update(now time.Time, counted int) int {
	if counted > 0 && (counted >= c.highest || now.Sub(c.countedAt) > gatewayCountRetention) {
		c.highest = counted
		c.countedAt = now
	}
	return c.highest
}
