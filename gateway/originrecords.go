package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"wardturn"
	"wardturn/decide"
)

const (
	// originBatchDelay is how long origins are batched into one write to the store. A loss of
	// power takes the streams of the last batch.
	originBatchDelay = 250 * time.Millisecond
	// maxOriginWrites is the number of writes per second that all gateways make together, a
	// quarter of what the store allows.
	maxOriginWrites = 100
	// originRetryDelay is the delay after a failed write, while origins collect.
	originRetryDelay = time.Second
	// maxPendingOrigins bounds the origins that wait while the store is unavailable.
	maxPendingOrigins = 1 << 12
	// onlyInterval is the interval of records that a service has one software version only.
	// It is a fraction of the time that the store keeps them.
	onlyInterval = 5 * time.Second
	// onlyCheckInterval is the interval of checks whether that has changed.
	onlyCheckInterval = 200 * time.Millisecond
	// storedOriginAge is how long origins that were read from the store are kept. The store
	// itself drops them after 20 s.
	storedOriginAge = 30 * time.Second
)

// originRecords keeps the origins of streams in the store, which survives the loss of all
// hosts that hold them in memory.
type originRecords struct {
	g           *Gateway
	store       wardturn.OriginStore
	writeSignal chan struct{}
	readSignal  chan struct{}
	// onlyWritten and onlyWrittenAt are the latest records of updateOnly, which is called by
	// one goroutine.
	onlyWritten   []wardturn.StreamRecord
	onlyWrittenAt time.Time

	mu      sync.Mutex
	pending []wardturn.StreamRecord // to be written
	stored  *decide.StreamOrigins   // as read from the store
	only    *decide.OnlySoftware    // as read from the store
	waiting []chan error            // lookups that wait for the next read
}

func newOriginRecords(g *Gateway, store wardturn.OriginStore) *originRecords {
	return &originRecords{
		g:           g,
		store:       store,
		writeSignal: make(chan struct{}, 1),
		readSignal:  make(chan struct{}, 1),
		stored:      decide.NewStreamOrigins(),
		only:        decide.NewOnlySoftware(),
	}
}

// add records an origin with the next write.
func (r *originRecords) add(attempt string, origin wardturn.StreamOrigin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, wardturn.StreamRecord{
		Attempt: attempt,
		Origin:  origin,
	})
	r.dropExcess()
	signal(r.writeSignal)
}

// dropExcess drops the earliest pending origins if there are too many. The caller must hold
// r.mu.
func (r *originRecords) dropExcess() {
	if n := len(r.pending) - maxPendingOrigins; n > 0 {
		r.pending = slices.Delete(r.pending, 0, n)
		r.g.metrics.originsDropped.Inc(int64(n))
	}
}

// writeLoop writes pending origins until the gateway shuts down.
func (r *originRecords) writeLoop() {
	for r.await(r.writeSignal) && r.g.tasks.Sleep(r.batchDelay()) {
		for !r.write() {
			if !r.g.tasks.Sleep(originRetryDelay) {
				return
			}
		}
	}
}

// batchDelay returns the delay between a record and its write. It grows with the number of
// gateways, which share the store's rate.
func (r *originRecords) batchDelay() time.Duration {
	r.g.mu.Lock()
	gateways := r.g.fleet.ReportedGateways()
	r.g.mu.Unlock()
	return max(originBatchDelay, time.Duration(gateways)*time.Second/maxOriginWrites)
}

// write writes the pending origins and reports whether that succeeded.
func (r *originRecords) write() bool {
	r.mu.Lock()
	list := r.pending
	r.pending = nil
	r.mu.Unlock()
	if len(list) == 0 {
		return true
	}
	err := r.store.AppendOrigins(list)
	if err == nil {
		return true
	}
	r.g.logger.Warn("origins of streams not recorded in the store", "streams", len(list), "error", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(list, r.pending...)
	r.dropExcess()
	return false
}

// find looks for the origin of an attempt's stream in the store. It reads what was added
// since the previous read; lookups that wait at the same time share a read.
func (r *originRecords) find(ctx context.Context, attempt string) (wardturn.StreamOrigin, bool, error) {
	read := make(chan error, 1)
	r.mu.Lock()
	r.waiting = append(r.waiting, read)
	r.mu.Unlock()
	signal(r.readSignal)
	select {
	case err := <-read:
		r.mu.Lock()
		defer r.mu.Unlock()
		origin, ok := r.stored.Find(r.g.clock.Now(), attempt)
		return origin, ok, err
	case <-ctx.Done():
		return wardturn.StreamOrigin{}, false, ctx.Err()
	}
}

// readLoop reads the store whenever a lookup waits, until the gateway shuts down.
func (r *originRecords) readLoop() {
	for r.await(r.readSignal) {
		r.mu.Lock()
		waiting := r.waiting
		r.waiting = nil
		r.mu.Unlock()
		list, err := r.store.NextOrigins()
		if err != nil {
			r.g.logger.Warn("failed to read the origins of streams from the store", "waiting", len(waiting), "error", err)
		}
		now := r.g.clock.Now()
		r.mu.Lock()
		for _, rec := range list {
			r.only.Record(now, rec, storedOriginAge)
			if rec.Attempt != "" {
				r.stored.Record(now, rec.Attempt, rec.Origin, now.Add(storedOriginAge))
			}
		}
		r.mu.Unlock()
		for _, c := range waiting {
			c <- err
		}
	}
}

// onlySoftware returns the software version that began all streams of a service which have no
// record of their own, as far as the store was read.
func (r *originRecords) onlySoftware(s wardturn.ServiceName) (wardturn.SoftwareVersion, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.only.Find(r.g.clock.Now(), s)
}

// updateOnly records the services whose streams need no records of their own, so that a
// gateway that starts after the loss of all others knows where these streams began.
func (r *originRecords) updateOnly() {
	if !r.g.reads.readsForAll() {
		return
	}
	now := r.g.clock.Now()
	var list []wardturn.StreamRecord
	for _, s := range r.g.routes.Load().resumableServices() {
		v, only := r.g.onlySoftware(s, true)
		if !only || v == "" {
			continue
		}
		list = append(list, wardturn.StreamRecord{
			Origin: wardturn.StreamOrigin{
				Service:  s,
				Software: v,
			},
		})
	}
	if len(list) == 0 || slices.Equal(list, r.onlyWritten) && now.Sub(r.onlyWrittenAt) < onlyInterval {
		return
	}
	if err := r.store.AppendOrigins(list); err != nil {
		r.g.logger.Warn("only software versions not recorded in the store", "services", len(list), "error", err)
		return
	}
	r.onlyWritten, r.onlyWrittenAt = list, now
}

// await waits for a signal. It reports false when the gateway shuts down.
func (r *originRecords) await(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	case <-r.g.tasks.Context().Done():
		return false
	}
}
