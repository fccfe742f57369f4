package keeper

import (
	"time"

	"wardturn"
	"wardturn/peer"
	"wardturn/process"
)

const (
	// originBatchDelay is how long the origins that gateways send are batched into one append
	// to the store.
	originBatchDelay = 200 * time.Millisecond
	// originRetryDelay is the delay after a failed append, while origins collect.
	originRetryDelay = time.Second
	// maxPendingOrigins bounds the origins that wait while the store is unavailable.
	maxPendingOrigins = 1 << 14
)

// newOriginRecords returns the batcher of the origins that this keeper appends to the store
// on behalf of gateways.
func (k *Keeper) newOriginRecords(store wardturn.OriginStore) *process.Batcher[wardturn.StreamRecord] {
	dropped := k.scope.Counter("origins_dropped")
	return process.NewBatcher(k.tasks, process.BatcherConfig[wardturn.StreamRecord]{
		Delay:      originBatchDelay,
		RetryDelay: originRetryDelay,
		Max:        maxPendingOrigins,
		Write: func(list []wardturn.StreamRecord) error {
			err := store.AppendOrigins(list)
			if err != nil {
				k.logger.Warn("origins of streams not recorded in the store", "streams", len(list), "error", err)
			}
			return err
		},
		Dropped: func(n int) {
			dropped.Inc(int64(n))
		},
	})
}

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
