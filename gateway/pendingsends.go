package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn"
)

var (
	// errVersionRetired is the cause with which a send is aborted that has not started
	// when its adapter version is retired.
	errVersionRetired = errors.New("gateway: adapter version retired")
	// errCrashingContent is the cause with which a send is aborted that has not started
	// when it becomes known that requests of the same content crash upstreams.
	errCrashingContent = errors.New("gateway: requests of this content crash upstreams")
	// errCrashingPart is the same for requests with a part of their prompts in common.
	errCrashingPart = errors.New("gateway: requests with this part of the prompt crash upstreams")
)

// pendingSends tracks the sends that have not started, as far as the gateway knows. A
// request may be delayed in the network, in the queue of a slow engine or on a frozen
// host. Unless it is aborted it may start on an old adapter version after that was
// retired, or crash one more upstream.
type pendingSends struct {
	mu    sync.Mutex
	sends map[*pendingSend]bool
}

// pendingSend is a send that is not known to have started.
type pendingSend struct {
	attempt      string
	upstream     wardturn.UpstreamID
	key          wardturn.ModelAdapter
	version      wardturn.Version // zero: none
	content      wardturn.ContentID
	parts        []wardturn.ContentID
	trialOf      wardturn.ContentID
	nonStreaming bool // no streamed response: only the keeper can report the start
	cancel       context.CancelCauseFunc

	started bool      // the keeper has reported the start
	abortAt time.Time // when to abort it unless a start is reported; zero: version in use
	aborted bool
}

func newPendingSends() *pendingSends {
	return &pendingSends{
		sends: make(map[*pendingSend]bool),
	}
}

// add tracks a send until remove is called. If the send is aborted before, the returned
// context is canceled with the reason as its cause.
func (p *pendingSends) add(ctx context.Context, s *pendingSend) context.Context {
	ctx, s.cancel = context.WithCancelCause(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sends[s] = true
	return ctx
}

// remove stops tracking a send that has started or ended, and reports whether it was
// aborted.
func (p *pendingSends) remove(s *pendingSend) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sends, s)
	return s.aborted
}

// abortOlder aborts the sends to older versions of an adapter and returns how many. Those
// without a streamed response may have started unnoticed: they are aborted startedGrace
// later, unless their keepers report the start. Their number is returned as unconfirmed.
func (p *pendingSends) abortOlder(newer wardturn.AdapterVersion, now time.Time) (n, unconfirmed int) {
	n = p.abort(errVersionRetired, func(s *pendingSend) bool {
		old := s.version > 0 && s.key == newer.Key() && s.version < newer.Version
		if !old || !s.nonStreaming {
			return old
		}
		if !s.started && s.abortAt.IsZero() {
			s.abortAt = now.Add(startedGrace)
			unconfirmed++
		}
		return false
	})
	return n, unconfirmed
}

// abortOverdue aborts the sends whose start was not reported in time, and returns how many.
func (p *pendingSends) abortOverdue(now time.Time) int {
	return p.abort(errVersionRetired, func(s *pendingSend) bool {
		return !s.started && !s.abortAt.IsZero() && !now.Before(s.abortAt)
	})
}

// unconfirmed returns the sends to an adapter version whose start only a keeper can
// report and none has reported yet.
func (p *pendingSends) unconfirmed() []*pendingSend {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*pendingSend
	for s := range p.sends {
		if s.nonStreaming && !s.started && !s.aborted && s.version > 0 {
			list = append(list, s)
		}
	}
	return list
}

// markStarted records a keeper's report that requests have started at its upstream.
func (p *pendingSends) markStarted(id wardturn.UpstreamID, attempts []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sends {
		if s.upstream == id && slices.Contains(attempts, s.attempt) {
			s.started = true
		}
	}
}

// abortContent aborts the sends of requests with a content, and returns how many.
func (p *pendingSends) abortContent(content wardturn.ContentID) int {
	return p.abort(errCrashingContent, func(s *pendingSend) bool {
		return s.content == content
	})
}

// abortPart aborts the sends of requests with a part in their prompts, but for its trial,
// and returns how many.
func (p *pendingSends) abortPart(part wardturn.ContentID) int {
	return p.abort(errCrashingPart, func(s *pendingSend) bool {
		return s.trialOf != part && slices.Contains(s.parts, part)
	})
}

// abort aborts the matching sends with a cause, and returns how many.
func (p *pendingSends) abort(cause error, match func(*pendingSend) bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for s := range p.sends {
		if !s.aborted && match(s) {
			s.aborted = true
			s.cancel(cause)
			n++
		}
	}
	return n
}
