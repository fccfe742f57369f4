package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"wardturn"
)

const (
	maxReadRecords = 500
	readWait       = 2 * time.Second
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	appendAttempts = 3
)

// ErrConflict is wrapped by the error of a publication that was not accepted because the
// current version of a document was not the one that the publication replaces.
var ErrConflict = errors.New("control: base version is not the current version")

// Replica is the copy of the configuration in one process. A goroutine reads the log
// and applies its records until Close is called.
type Replica struct {
	log    wardturn.Log
	clock  wardturn.Clock
	logger hclog.Logger

	// updateMu is held while records or a peer's documents are applied and the
	// watchers are called, so that watchers are called for one change at a time.
	updateMu    sync.Mutex
	changedKeys []Key // keys of the documents changed by the current update

	mu             sync.Mutex
	state          *State
	notifiedOffset wardturn.Offset // applied offset for which the watchers were called
	updated        chan struct{}   // closed and replaced after each update
	watchers       []func(Key)
	lastRead       time.Time // time of the latest successful read
	startedNearEnd bool      // reading started near the end of the log

	keepClaims bool

	cancel context.CancelFunc
	done   chan struct{}
}

// NewReplica returns a replica that starts reading the log. With keepClaims it reads
// from the oldest record; without, it may skip to the newest tailRecords records.
func NewReplica(log wardturn.Log, clock wardturn.Clock, logger hclog.Logger, keepClaims bool) *Replica {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Replica{
		log:     log,
		clock:   clock,
		logger:  logger.Named("control"),
		state:   NewState(keepClaims),
		updated: make(chan struct{}),
		cancel:  cancel,

		keepClaims: keepClaims,
		done:       make(chan struct{}),
	}
	r.state.onChange = func(k Key) {
		r.changedKeys = append(r.changedKeys, k)
	}
	go func() {
		defer close(r.done)
		r.readLog(ctx)
	}()
	return r
}

// Close stops reading the log and waits until the goroutine has ended.
func (r *Replica) Close() {
	r.cancel()
	<-r.done
}

// Watch registers f to be called for each document that changes from now on, one change
// at a time. To miss no change, call Watch first and read the current documents after.
func (r *Replica) Watch(f func(Key)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers = append(r.watchers, f)
}

// AppliedOffset returns the newest offset that was applied and for which all watchers have
// been called.
func (r *Replica) AppliedOffset() wardturn.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notifiedOffset
}

// Get returns the current version of a document.
func (r *Replica) Get(key Key) (Doc, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Get(key)
}

// Docs returns the documents of a kind, or all if kind is empty, sorted by key.
func (r *Replica) Docs(kind string) []Doc {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Docs(kind)
}

// Fence returns the fencing token of an upstream's newest agent process.
func (r *Replica) Fence(id wardturn.UpstreamID) wardturn.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Fence(id)
}

// LastReadTime returns the time of the latest successful read of the log.
func (r *Replica) LastReadTime() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastRead
}

// InstallPeerConfig installs the configuration of a peer; see State.InstallPeerConfig.
func (r *Replica) InstallPeerConfig(page ConfigPage, applied wardturn.Offset) {
	r.updateMu.Lock()
	defer r.updateMu.Unlock()
	r.mu.Lock()
	r.changedKeys = r.changedKeys[:0]
	r.state.InstallPeerConfig(page, applied)
	r.mu.Unlock()
	r.notifyWatchers()
}

// notifyWatchers calls the watchers for each changed document and then wakes the
// goroutines in waitUntil. The caller holds updateMu.
func (r *Replica) notifyWatchers() {
	r.mu.Lock()
	watchers := r.watchers
	r.mu.Unlock()
	for _, key := range r.changedKeys {
		for _, f := range watchers {
			f(key)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notifiedOffset = r.state.AppliedOffset()
	r.wakeWaiters()
}

// tailRecords is how many records before the end of the log a process that needs only
// the configuration starts to read. Snapshots are appended far more often than that; if
// none is found, the process starts again from the first record of the log.
const tailRecords = 20_000

func (r *Replica) readLog(ctx context.Context) {
	if !r.keepClaims {
		r.startNearEnd(ctx)
	}
	backoff := minBackoff
	for ctx.Err() == nil {
		next := r.nextOffset()
		page, err := r.log.Read(ctx, next, maxReadRecords, readWait)
		switch {
		case err == nil:
			backoff = minBackoff
			r.apply(page)
			if r.nextOffset() >= page.Next {
				r.restartFromFirst()
			}
		case errors.Is(err, wardturn.ErrOutOfRetention):
			r.skipTo(next, page.First)
		default:
			if backoff == minBackoff && ctx.Err() == nil {
				r.logger.Warn("reading the log failed; retrying", "next", next, "error", err)
			}
			r.sleepWithJitter(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// nextOffset returns the offset to read from.
func (r *Replica) nextOffset() wardturn.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.ReadOffset() + 1
}

// startNearEnd skips all but the last tailRecords records of the log. If the log cannot
// be read now, nothing is skipped and it is read from its first record later.
func (r *Replica) startNearEnd(ctx context.Context) {
	page, err := r.log.Read(ctx, 1, 1, 0)
	if err != nil && !errors.Is(err, wardturn.ErrOutOfRetention) {
		return
	}
	if page.Next-page.First > tailRecords {
		r.mu.Lock()
		r.state.SkipTo(page.Next - tailRecords)
		r.startedNearEnd = true
		r.mu.Unlock()
	}
}

// restartFromFirst resets the state, to read the log from its first record, if the end
// of the log had no snapshot to serve as the baseline.
func (r *Replica) restartFromFirst() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.startedNearEnd || r.state.HasBaseline() {
		return
	}
	r.startedNearEnd = false
	onChange := r.state.onChange
	r.state = NewState(r.keepClaims)
	r.state.onChange = onChange
}

func (r *Replica) skipTo(next, first wardturn.Offset) {
	r.logger.Warn("records out of retention", "next", next, "first", first)
	r.updateMu.Lock()
	defer r.updateMu.Unlock()
	r.mu.Lock()
	r.changedKeys = r.changedKeys[:0]
	r.state.SkipTo(first)
	r.mu.Unlock()
	r.notifyWatchers()
}

func (r *Replica) apply(page wardturn.LogPage) {
	r.updateMu.Lock()
	defer r.updateMu.Unlock()
	r.mu.Lock()
	r.changedKeys = r.changedKeys[:0]
	for _, rec := range page.Records {
		r.state.Apply(rec)
	}
	r.lastRead = r.clock.Now()
	r.mu.Unlock()
	if len(page.Records) > 0 {
		r.notifyWatchers()
	}
}

// wakeWaiters wakes the goroutines in waitUntil. The caller holds mu.
func (r *Replica) wakeWaiters() {
	close(r.updated)
	r.updated = make(chan struct{})
}

// sleepWithJitter sleeps for between d/2 and 3d/2, at random, so that many processes do
// not act at the same time.
func (r *Replica) sleepWithJitter(ctx context.Context, d time.Duration) {
	wardturn.Sleep(ctx, r.clock, d/2+rand.N(d))
}

// WaitFor returns when the record at an offset has been applied.
func (r *Replica) WaitFor(ctx context.Context, offset wardturn.Offset) error {
	return r.waitUntil(ctx, func(s *State) bool {
		return s.AppliedOffset() >= offset
	})
}

// waitUntil returns when a condition holds for a state for which all watchers have been
// called.
func (r *Replica) waitUntil(ctx context.Context, condition func(*State) bool) error {
	for {
		r.mu.Lock()
		ok := r.notifiedOffset == r.state.AppliedOffset() && condition(r.state)
		changed := r.updated
		r.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrap(wardturn.ErrUnavailable, "control: log not read in time")
		}
	}
}

// Publish appends a change and returns its result. After an error other than
// ErrConflict it is unknown whether the change was accepted. It is safe to publish it
// again with the same ID, which returns the result of the first append.
func (r *Replica) Publish(ctx context.Context, c Change) (PublicationResult, error) {
	data, err := EncodeRecord(Record{
		Change: &c,
	})
	if err != nil {
		return PublicationResult{}, err
	}
	if err := r.append(ctx, data); err != nil {
		return PublicationResult{}, err
	}
	var res PublicationResult
	err = r.waitUntil(ctx, func(s *State) bool {
		var ok bool
		res, ok = s.Result(c.ID)
		return ok
	})
	if err != nil {
		return PublicationResult{}, err
	}
	if !res.Accepted {
		return res, errors.Wrapf(ErrConflict, "%s is at version %d", res.Conflict, res.CurrentVersion)
	}
	return res, nil
}

// append appends a record, with retries. The record must be idempotent.
func (r *Replica) append(ctx context.Context, data []byte) error {
	var err error
	backoff := minBackoff
	for range appendAttempts {
		if _, err = r.log.Append(ctx, data); err == nil {
			return nil
		}
		if errors.Is(err, wardturn.ErrReplyLost) {
			// The record may be on the log. Appending it again is safe, and the
			// caller finds out by reading the log.
			r.sleepWithJitter(ctx, backoff)
		} else {
			r.sleepWithJitter(ctx, 2*backoff)
		}
		backoff *= 2
	}
	return err
}

// AppendStart appends the start record of an agent process and returns its fencing
// token.
func (r *Replica) AppendStart(ctx context.Context, s AgentStart) (wardturn.Fence, error) {
	data, err := EncodeRecord(Record{
		AgentStart: &s,
	})
	if err != nil {
		return 0, err
	}
	offset, err := r.log.Append(ctx, data)
	if err != nil {
		return 0, err
	}
	return wardturn.Fence(offset), nil
}
