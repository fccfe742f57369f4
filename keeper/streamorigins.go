package keeper

import (
	"time"

	"wardturn/peer"
)

// replyOrigin replies where the stream of an attempt began. The lock must be held.
func (k *Keeper) replyOrigin(c *peer.Conn, now time.Time, m *peer.OriginQuery) {
	origin, known := k.streamOrigins.Find(now, m.Attempt)
	// An error is ignored: the gateway has asked other keepers too.
	_ = c.Send(&peer.OriginReply{
		ID:     m.ID,
		Known:  known,
		Origin: origin,
	})
}
