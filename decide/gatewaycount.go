package decide

import "time"

// gatewaysMemory is how long gateways that are not counted any more keep their parts of
// what all share: behind a cut they go on with them.
const gatewaysMemory = time.Minute

// GatewayCount is the number of gateways by which parts are given: the most that keepers
// counted lately. On each side of a cut keepers count their own side only, and parts by
// that would come to more than the whole. The zero value has heard no keeper.
type GatewayCount struct {
	most      int
	countedAt time.Time // when there were that many
}

// Take takes the number that keepers count now, zero if none is heard, and returns the
// number that counts; zero: no keeper has been heard yet.
func (c *GatewayCount) Take(now time.Time, counted int) int {
	if counted > 0 && (counted >= c.most || now.Sub(c.countedAt) > gatewaysMemory) {
		c.most = counted
		c.countedAt = now
	}
	return c.most
}
