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
	// errVersionEnded is the cause with which a send is aborted that has not started when
	// its adapter version is retired.
	errVersionEnded = errors.New("gateway: adapter version retired")
	// errContentCrashes is the cause with which a send is aborted that has not started when
	// it becomes known that requests of the same content crash upstreams.
	errContentCrashes = errors.New("gateway: requests of this content crash upstreams")
)

// notStarted tracks the sends that have not started, as far as the gateway knows. A request
// may be delayed in the network, in the queue of a slow engine or on a frozen host. Unless
// it is aborted it may start on an old adapter version after that was retired, or crash one
// more upstream.
type notStarted struct {
	mu    sync.Mutex
	sends map[*waitingSend]bool
}

// waitingSend is a send that is not known to have started.
type waitingSend struct {
	attempt  string
	upstream wardturn.UpstreamID
	key      wardturn.ModelAdapter
	version  wardturn.Version // zero: none
	content  wardturn.ContentID
	whole    bool // no streamed response: only the upstream's keeper can tell whether it started
	cancel   context.CancelCauseFunc

	started bool      // the keeper has reported the start
	until   time.Time // aborted then unless the keeper reports the start; zero: the version is in use
	ended   bool      // was aborted
}

func newNotStarted() *notStarted {
	return &notStarted{
		sends: make(map[*waitingSend]bool),
	}
}

// add tracks a send until remove. The returned context is canceled with the cause if the
// send is aborted before.
func (u *notStarted) add(ctx context.Context, s *waitingSend) context.Context {
	ctx, s.cancel = context.WithCancelCause(ctx)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sends[s] = true
	return ctx
}

// remove stops tracking a send that has started or ended, and reports whether it was
// aborted.
func (u *notStarted) remove(s *waitingSend) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.sends, s)
	return s.ended
}

// breakOffOlder aborts the sends to older versions of an adapter and returns how many. Those
// without a streamed response may have started unnoticed: they are aborted startedGrace
// later, unless their keepers report the start. Their number is returned as unknown.
func (u *notStarted) breakOffOlder(newer wardturn.AdapterVersion, now time.Time) (n, unknown int) {
	n = u.breakOff(errVersionEnded, func(s *waitingSend) bool {
		old := s.version > 0 && s.key == newer.Key() && s.version < newer.Version
		if !old || !s.whole {
			return old
		}
		if !s.started && s.until.IsZero() {
			s.until = now.Add(startedGrace)
			unknown++
		}
		return false
	})
	return n, unknown
}

// breakOffDue aborts the sends whose start was not reported in time, and returns how many.
func (u *notStarted) breakOffDue(now time.Time) int {
	return u.breakOff(errVersionEnded, func(s *waitingSend) bool {
		return !s.started && !s.until.IsZero() && !now.Before(s.until)
	})
}

// unknown returns the sends to an adapter version whose start only a keeper can report and
// none has reported yet.
func (u *notStarted) unknown() []*waitingSend {
	u.mu.Lock()
	defer u.mu.Unlock()
	var list []*waitingSend
	for s := range u.sends {
		if s.whole && !s.started && !s.ended && s.version > 0 {
			list = append(list, s)
		}
	}
	return list
}

// markStarted records a keeper's report that requests have started at its upstream.
func (u *notStarted) markStarted(id wardturn.UpstreamID, attempts []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for s := range u.sends {
		if s.upstream == id && slices.Contains(attempts, s.attempt) {
			s.started = true
		}
	}
}

// breakOffContent aborts the sends of requests with the same content, and returns how many.
func (u *notStarted) breakOffContent(content wardturn.ContentID) int {
	return u.breakOff(errContentCrashes, func(s *waitingSend) bool {
		return s.content == content
	})
}

// breakOff aborts the matching sends with a cause, and returns how many.
func (u *notStarted) breakOff(why error, match func(*waitingSend) bool) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for s := range u.sends {
		if !s.ended && match(s) {
			s.ended = true
			s.cancel(why)
			n++
		}
	}
	return n
}
