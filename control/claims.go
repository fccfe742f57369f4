package control

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn"
)

const (
	// claimLinger is how long the first claim of a batch waits for others.
	claimLinger = 2 * time.Millisecond
	// claimBatch bounds the claims in one record.
	claimBatch = 512
	// claimLimit bounds the time from a claim to its answer.
	claimLimit = 2 * time.Second
)

// Claimer claims idempotency keys for one agent. Claims that come together
// share a record, and one append is under way at a time, so the number of
// appends is bounded by the log's latency and not by the traffic.
type Claimer struct {
	replica  *Replica
	upstream wardturn.UpstreamID
	process  wardturn.Incarnation
	clock    wardturn.Clock

	mu      sync.Mutex
	waiting []*pendingClaim
	busy    bool
	appends int
	claims  int
}

type pendingClaim struct {
	claim  Claim
	offset wardturn.Offset
	err    error
	ready  chan struct{}
}

// NewClaimer returns a claimer for an agent. The replica must keep claims.
func NewClaimer(replica *Replica, clock wardturn.Clock, upstream wardturn.UpstreamID, process wardturn.Incarnation) *Claimer {
	return &Claimer{
		replica:  replica,
		upstream: upstream,
		process:  process,
		clock:    clock,
	}
}

// Claim appends a claim, reads the log up to it, and returns the first claim of
// the key. The caller may run the request only if the result is its own attempt
// and not too old. With an error nothing may run: the claim may or may not be
// on the log, and its attempt is never used again.
func (c *Claimer) Claim(ctx context.Context, claim Claim) (ClaimResult, error) {
	p := &pendingClaim{
		claim: claim,
		ready: make(chan struct{}),
	}
	ctx, cancel := wardturn.WithTimeout(ctx, c.clock, claimLimit)
	defer cancel()
	c.enqueue(p)
	select {
	case <-p.ready:
	case <-ctx.Done():
		return ClaimResult{}, errors.Wrap(wardturn.ErrUnavailable, "control: claim not appended in time")
	}
	if p.err != nil {
		return ClaimResult{}, p.err
	}
	if err := c.replica.WaitFor(ctx, p.offset); err != nil {
		return ClaimResult{}, err
	}
	c.replica.mu.Lock()
	defer c.replica.mu.Unlock()
	res, ok := c.replica.state.First(claim.Caller, claim.Key)
	if !ok {
		// Read and already forgotten: the key is too old to tell.
		return ClaimResult{
			Claim:  claim,
			TooOld: true,
		}, nil
	}
	return res, nil
}

// Counts returns the claims made and the appends that carried them.
func (c *Claimer) Counts() (claims, appends int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.claims, c.appends
}

func (c *Claimer) enqueue(p *pendingClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = append(c.waiting, p)
	c.claims++
	if !c.busy {
		c.busy = true
		c.clock.AfterFunc(claimLinger, func() {
			go c.flush()
		})
	}
}

// flush appends what waits until nothing does.
func (c *Claimer) flush() {
	for {
		batch := c.take()
		if len(batch) == 0 {
			return
		}
		offset, err := c.append(batch)
		for _, p := range batch {
			p.offset = offset
			p.err = err
			close(p.ready)
		}
	}
}

func (c *Claimer) take() []*pendingClaim {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.waiting), claimBatch)
	batch := c.waiting[:n:n]
	c.waiting = c.waiting[n:]
	if n == 0 {
		c.busy = false
		return nil
	}
	c.appends++
	return batch
}

// append is tried once: after a lost reply the batch may be on the log, and its
// attempts must not run.
func (c *Claimer) append(batch []*pendingClaim) (wardturn.Offset, error) {
	list := make([]Claim, 0, len(batch))
	for _, p := range batch {
		list = append(list, p.claim)
	}
	data, err := Encode(Record{
		Claims: &Claims{
			Upstream: c.upstream,
			Process:  c.process,
			List:     list,
		},
	})
	if err != nil {
		return 0, err
	}
	ctx, cancel := wardturn.WithTimeout(context.Background(), c.clock, claimLimit)
	defer cancel()
	return c.replica.log.Append(ctx, data)
}
