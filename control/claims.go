package control

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn"
)

const (
	// claimLinger is how long the first claim of a batch waits for more claims.
	claimLinger = 2 * time.Millisecond
	// maxClaimBatch is the maximum number of claims in one record.
	maxClaimBatch = 512
	// claimTimeout is the timeout of a claim, and of the append of a batch.
	claimTimeout = 2 * time.Second
)

// Claimer claims idempotency keys for one agent. Concurrent claims are batched into
// one record, and only one append is in progress at a time, so that the rate of
// appends is bounded by the log's latency and does not grow with the traffic.
type Claimer struct {
	replica  *Replica
	upstream wardturn.UpstreamID
	process  wardturn.Incarnation
	clock    wardturn.Clock

	mu        sync.Mutex
	waiting   []*pendingClaim
	appending bool
	appends   int
	claims    int
}

type pendingClaim struct {
	claim  Claim
	offset wardturn.Offset
	err    error
	done   chan struct{}
}

// NewClaimer returns a claimer for an agent. The replica must have been created with
// keepClaims set.
func NewClaimer(replica *Replica, clock wardturn.Clock, upstream wardturn.UpstreamID, process wardturn.Incarnation) *Claimer {
	return &Claimer{
		replica:  replica,
		upstream: upstream,
		process:  process,
		clock:    clock,
	}
}

// Claim appends a claim, waits until the log is read up to it, and returns the first
// claim of the key. The caller may run the request only if the result has its own
// attempt ID and is not too old. After an error the request must not run: the claim
// may or may not be on the log, and its attempt ID must not be used again.
func (c *Claimer) Claim(ctx context.Context, claim Claim) (ClaimResult, error) {
	p := &pendingClaim{
		claim: claim,
		done:  make(chan struct{}),
	}
	ctx, cancel := wardturn.WithTimeout(ctx, c.clock, claimTimeout)
	defer cancel()
	c.enqueue(p)
	select {
	case <-p.done:
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
	res, ok := c.replica.state.FirstClaim(claim.Caller, claim.Key)
	if !ok {
		// The claim was applied and has already expired, so an earlier claim of
		// the key may have expired too.
		return ClaimResult{
			Claim:  claim,
			TooOld: true,
		}, nil
	}
	return res, nil
}

// Counts returns the number of claims and the number of appends that contained them.
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
	if !c.appending {
		c.appending = true
		c.clock.AfterFunc(claimLinger, func() {
			go c.flush()
		})
	}
}

// flush appends the waiting claims in batches until none are left.
func (c *Claimer) flush() {
	for {
		batch := c.nextBatch()
		if len(batch) == 0 {
			return
		}
		offset, err := c.append(batch)
		for _, p := range batch {
			p.offset = offset
			p.err = err
			close(p.done)
		}
	}
}

func (c *Claimer) nextBatch() []*pendingClaim {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.waiting), maxClaimBatch)
	batch := c.waiting[:n:n]
	c.waiting = c.waiting[n:]
	if n == 0 {
		c.appending = false
		return nil
	}
	c.appends++
	return batch
}

// append appends a batch. It does not retry: after a lost reply the batch may be on
// the log, and its requests must not run.
func (c *Claimer) append(batch []*pendingClaim) (wardturn.Offset, error) {
	list := make([]Claim, 0, len(batch))
	for _, p := range batch {
		list = append(list, p.claim)
	}
	data, err := EncodeRecord(Record{
		ClaimBatch: &ClaimBatch{
			Upstream: c.upstream,
			Process:  c.process,
			Claims:   list,
		},
	})
	if err != nil {
		return 0, err
	}
	ctx, cancel := wardturn.WithTimeout(context.Background(), c.clock, claimTimeout)
	defer cancel()
	return c.replica.log.Append(ctx, data)
}
