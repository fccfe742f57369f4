package gateway

import (
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"sync"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
	"wardturn/process"
)

const (
	// originBatchDelay is how long origins are batched into one message to the keeper that
	// records them. A loss of power takes those of the last batches here and there.
	originBatchDelay = 50 * time.Millisecond
	// originRetryDelay is the delay after a failed write, while origins collect.
	originRetryDelay = time.Second
	// maxPendingOrigins bounds the origins that wait while the store is unavailable.
	maxPendingOrigins = 1 << 12
	// gatewaysPerRecorder is the number of gateways whose origins one keeper records.
	gatewaysPerRecorder = 32
	// storedOriginAge is how long origins that were read from the store are kept. The store
	// itself drops them after 20 s.
	storedOriginAge = 30 * time.Second
	// originReadRetryDelay is the delay after a failed read of the store.
	originReadRetryDelay = 100 * time.Millisecond
)

// originRecords keeps the origins of streams in the store, which survives the loss of all
// hosts that hold them in memory. A keeper appends them for many gateways.
type originRecords struct {
	g          *Gateway
	store      wardturn.OriginStore
	batch      *process.Batcher[wardturn.StreamRecord]
	readSignal chan struct{}

	mu     sync.Mutex
	stored *decide.StreamOrigins // as read from the store
	// versions holds when a stream of each origin was last read from the store.
	versions map[wardturn.StreamOrigin]time.Time
	waiting  []chan error // lookups that wait for the next read
}

func newOriginRecords(g *Gateway, store wardturn.OriginStore) *originRecords {
	r := &originRecords{
		g:          g,
		store:      store,
		readSignal: make(chan struct{}, 1),
		stored:     decide.NewStreamOrigins(),
		versions:   make(map[wardturn.StreamOrigin]time.Time),
	}
	r.batch = process.NewBatcher(g.tasks, process.BatcherConfig[wardturn.StreamRecord]{
		Delay:      originBatchDelay,
		RetryDelay: originRetryDelay,
		Max:        maxPendingOrigins,
		Write:      r.write,
		Dropped: func(n int) {
			g.metrics.originsDropped.Inc(int64(n))
		},
	})
	return r
}

// add records an origin with the next batch.
func (r *originRecords) add(attempt string, origin wardturn.StreamOrigin) {
	r.batch.Add(wardturn.StreamRecord{
		Attempt: attempt,
		Origin:  origin,
	})
}

// write sends origins to the keeper that records them, or appends them to the store if there
// is none.
func (r *originRecords) write(list []wardturn.StreamRecord) error {
	if c, ok := r.recorder(); ok {
		if err := c.conn.Send(&peer.StreamRecords{Records: list}); err == nil {
			return nil
		}
	}
	err := r.store.AppendOrigins(list)
	if err != nil {
		r.g.logger.Warn("origins of streams not recorded in the store", "streams", len(list), "error", err)
	}
	return err
}

// recorder returns the keeper that records the origins of this gateway. Gateways with the same
// keepers choose as few as their number allows.
func (r *originRecords) recorder() (originCandidate, bool) {
	r.g.mu.Lock()
	gateways := r.g.fleet.ReportedGateways()
	r.g.mu.Unlock()
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.g.cfg.Process))
	shard := h.Sum32() % uint32(1+gateways/gatewaysPerRecorder)
	return decide.First(fmt.Sprintf("origins/%d", shard), r.g.links.keepersWith(peer.FeatureOriginRecords), func(c originCandidate) string {
		return c.addr
	})
}

// find looks for the origin of an attempt's stream in the store, until ctx ends or a read
// succeeds. It reads what was added since the previous read; lookups that wait at the same
// time share a read.
func (r *originRecords) find(ctx context.Context, attempt string) (wardturn.StreamOrigin, bool, error) {
	for {
		err := r.awaitRead(ctx)
		if err == nil || !wardturn.Sleep(ctx, r.g.clock, originReadRetryDelay) {
			r.mu.Lock()
			defer r.mu.Unlock()
			origin, ok := r.stored.Find(r.g.clock.Now(), attempt)
			return origin, ok, err
		}
	}
}

// onlyVersion reads the store and reports whether the streams of a service that are recorded there
// have all begun at one version. It reports false if the store can't be read in a time.
func (r *originRecords) onlyVersion(ctx context.Context, left time.Duration, s wardturn.ServiceName, v wardturn.SoftwareVersion) bool {
	ctx, cancel := wardturn.WithTimeout(ctx, r.g.clock, min(originTimeout, left))
	defer cancel()
	if r.awaitRead(ctx) != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for origin := range r.versions {
		if origin.Service == s && origin.Software != v {
			return false
		}
	}
	return true
}

// awaitRead waits for a read of the store that begins after the call.
func (r *originRecords) awaitRead(ctx context.Context) error {
	read := make(chan error, 1)
	r.mu.Lock()
	r.waiting = append(r.waiting, read)
	r.mu.Unlock()
	signal(r.readSignal)
	select {
	case err := <-read:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readLoop reads the store whenever a lookup waits, until the gateway shuts down.
func (r *originRecords) readLoop() {
	for {
		select {
		case <-r.readSignal:
		case <-r.g.tasks.Context().Done():
			return
		}
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
			r.stored.Record(now, rec.Attempt, rec.Origin, now.Add(storedOriginAge))
			r.versions[rec.Origin] = now
		}
		maps.DeleteFunc(r.versions, func(_ wardturn.StreamOrigin, at time.Time) bool {
			return now.Sub(at) > storedOriginAge
		})
		r.mu.Unlock()
		for _, c := range waiting {
			c <- err
		}
	}
}
