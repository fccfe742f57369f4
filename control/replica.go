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
	readLimit   = 500
	readWait    = 2 * time.Second
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = 2 * time.Second
	appendTries = 3
)

// ErrConflict is wrapped by the error of a publication that another overtook.
var ErrConflict = errors.New("control: version is no longer in force")

// Replica is a process's copy of the configuration. It follows the log in a
// goroutine of its own until Close.
type Replica struct {
	log    wardturn.Log
	clock  wardturn.Clock
	logger hclog.Logger

	// taking is held while records or a peer's documents are taken and the
	// watchers told of them: they hear of one change after the other.
	taking sync.Mutex
	dirty  []Key // changed by what is taken now

	mu       sync.Mutex
	state    *State
	visible  wardturn.Offset // applied, and the watchers were told
	changed  chan struct{}   // closed and replaced after each page
	watchers []func(Key)
	lastRead time.Time // of the latest successful read
	tailed   bool      // reading started near the log's end

	keepClaims bool

	cancel context.CancelFunc
	done   chan struct{}
}

// NewReplica starts to follow the log from its oldest record.
func NewReplica(log wardturn.Log, clock wardturn.Clock, logger hclog.Logger, keepClaims bool) *Replica {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Replica{
		log:     log,
		clock:   clock,
		logger:  logger.Named("control"),
		state:   NewState(keepClaims),
		changed: make(chan struct{}),
		cancel:  cancel,

		keepClaims: keepClaims,
		done:       make(chan struct{}),
	}
	r.state.onChange = func(k Key) {
		r.dirty = append(r.dirty, k)
	}
	go func() {
		defer close(r.done)
		r.follow(ctx)
	}()
	return r
}

// Close stops following.
func (r *Replica) Close() {
	r.cancel()
	<-r.done
}

// Watch calls f for each document that changes from now on, for one change at a
// time. Register watchers before they matter and read the present state after.
func (r *Replica) Watch(f func(Key)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers = append(r.watchers, f)
}

// Applied returns the newest offset that was applied and that all watchers have
// been told of.
func (r *Replica) Applied() wardturn.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.visible
}

// Get returns a document in force.
func (r *Replica) Get(key Key) (Doc, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Get(key)
}

// Docs returns the documents of a kind, or all.
func (r *Replica) Docs(kind string) []Doc {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Docs(kind)
}

// Fence returns the fence of an upstream's newest agent.
func (r *Replica) Fence(id wardturn.UpstreamID) wardturn.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Fence(id)
}

// LastRead returns when the log was last read with success.
func (r *Replica) LastRead() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastRead
}

// Seed adopts a peer's configuration; see State.Seed.
func (r *Replica) Seed(page Page, applied wardturn.Offset) {
	r.taking.Lock()
	defer r.taking.Unlock()
	r.mu.Lock()
	r.dirty = r.dirty[:0]
	r.state.Seed(page, applied)
	r.mu.Unlock()
	r.tell()
}

// tell tells the watchers of the documents that what was taken changed, then those
// that wait. Taking is held.
func (r *Replica) tell() {
	r.mu.Lock()
	watchers := r.watchers
	r.mu.Unlock()
	for _, key := range r.dirty {
		for _, f := range watchers {
			f(key)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.visible = r.state.Applied()
	r.announce()
}

// tailRecords is how many records before the log's end a process that needs only
// the configuration starts to read. Snapshots come far more often; should none be
// there, it starts again from the log's first record.
const tailRecords = 20_000

func (r *Replica) follow(ctx context.Context) {
	if !r.keepClaims {
		r.startNearEnd(ctx)
	}
	wait := minBackoff
	for ctx.Err() == nil {
		next := r.next()
		page, err := r.log.Read(ctx, next, readLimit, readWait)
		switch {
		case err == nil:
			wait = minBackoff
			r.apply(page)
			if r.next() >= page.Next {
				r.startOver()
			}
		case errors.Is(err, wardturn.ErrOutOfRetention):
			r.skip(next, page.First)
		default:
			if wait == minBackoff && ctx.Err() == nil {
				r.logger.Warn("log unreadable", "next", next, "error", err)
			}
			r.pause(ctx, wait)
			wait = min(2*wait, maxBackoff)
		}
	}
}

// next returns the offset to read from.
func (r *Replica) next() wardturn.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Read() + 1
}

// startNearEnd skips most of a long log. A log that cannot be read now is read
// from its start later.
func (r *Replica) startNearEnd(ctx context.Context) {
	page, err := r.log.Read(ctx, 1, 1, 0)
	if err != nil && !errors.Is(err, wardturn.ErrOutOfRetention) {
		return
	}
	if page.Next-page.First > tailRecords {
		r.mu.Lock()
		r.state.Skip(page.Next - tailRecords)
		r.tailed = true
		r.mu.Unlock()
	}
}

// startOver reads the log from its first record after no base was found near its
// end.
func (r *Replica) startOver() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.tailed || r.state.Based() {
		return
	}
	r.tailed = false
	onChange := r.state.onChange
	r.state = NewState(r.keepClaims)
	r.state.onChange = onChange
}

func (r *Replica) skip(next, first wardturn.Offset) {
	r.logger.Warn("records out of retention", "next", next, "first", first)
	r.taking.Lock()
	defer r.taking.Unlock()
	r.mu.Lock()
	r.dirty = r.dirty[:0]
	r.state.Skip(first)
	r.mu.Unlock()
	r.tell()
}

func (r *Replica) apply(page wardturn.LogPage) {
	r.taking.Lock()
	defer r.taking.Unlock()
	r.mu.Lock()
	r.dirty = r.dirty[:0]
	for _, rec := range page.Records {
		r.state.Apply(rec)
	}
	r.lastRead = r.clock.Now()
	r.mu.Unlock()
	if len(page.Records) > 0 {
		r.tell()
	}
}

// announce wakes those that wait for records. The lock is held.
func (r *Replica) announce() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// pause waits about d, with jitter so that many processes do not act together.
func (r *Replica) pause(ctx context.Context, d time.Duration) {
	wardturn.Sleep(ctx, r.clock, d/2+rand.N(d))
}

// WaitFor returns when the record at an offset has been applied.
func (r *Replica) WaitFor(ctx context.Context, offset wardturn.Offset) error {
	return r.wait(ctx, func(s *State) bool {
		return s.Applied() >= offset
	})
}

// wait returns when a condition holds for the state that all watchers were told
// of.
func (r *Replica) wait(ctx context.Context, holds func(*State) bool) error {
	for {
		r.mu.Lock()
		ok := r.visible == r.state.Applied() && holds(r.state)
		changed := r.changed
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

// Publish appends a change and returns what became of it. An error other than
// ErrConflict leaves open whether the change was accepted; publishing it again
// with the same id settles that without harm.
func (r *Replica) Publish(ctx context.Context, c Change) (Result, error) {
	data, err := Encode(Record{
		Change: &c,
	})
	if err != nil {
		return Result{}, err
	}
	if err := r.append(ctx, data); err != nil {
		return Result{}, err
	}
	var res Result
	err = r.wait(ctx, func(s *State) bool {
		var ok bool
		res, ok = s.Result(c.ID)
		return ok
	})
	if err != nil {
		return Result{}, err
	}
	if !res.Accepted {
		return res, errors.Wrapf(ErrConflict, "%s is at version %d", res.Conflict, res.InForce)
	}
	return res, nil
}

// append appends a record whose repetition is harmless.
func (r *Replica) append(ctx context.Context, data []byte) error {
	var err error
	wait := minBackoff
	for range appendTries {
		if _, err = r.log.Append(ctx, data); err == nil {
			return nil
		}
		if errors.Is(err, wardturn.ErrReplyLost) {
			// It may be on the log: the caller reads on to find out, and the
			// next try repeats it without harm.
			r.pause(ctx, wait)
		} else {
			r.pause(ctx, 2*wait)
		}
		wait *= 2
	}
	return err
}

// AppendStart appends the agent's start record and returns its fence.
func (r *Replica) AppendStart(ctx context.Context, s Start) (wardturn.Fence, error) {
	data, err := Encode(Record{
		Start: &s,
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
