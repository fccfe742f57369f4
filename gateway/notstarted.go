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
	// errVersionEnded is why a request was broken off that had not started when the version
	// of its adapter ceased to serve.
	errVersionEnded = errors.New("gateway: the adapter version serves no more")
	// errContentCrashes is why a request was broken off that had not started when upstreams
	// ended under others that ask the same.
	errContentCrashes = errors.New("gateway: upstreams end under this request")
)

// notStarted are the requests that were sent and have not started, as far as is seen here. A
// request may be held up on its way, in the queue of a slow engine or on a frozen host,
// and would start on an old version after its end, or crash one more upstream.
type notStarted struct {
	mu    sync.Mutex
	sends map[*waitingSend]bool
}

// waitingSend is a request that has not started.
type waitingSend struct {
	attempt  string
	upstream wardturn.UpstreamID
	key      wardturn.ModelAdapter
	version  wardturn.Version // zero: none
	content  wardturn.ContentID
	whole    bool // answer, whose start does not show: only the upstream's keeper can tell
	cancel   context.CancelCauseFunc

	started bool      // as the keeper has told
	until   time.Time // when it is broken off unless the keeper tells that; zero: its version serves
	ended   bool      // it was broken off
}

func newNotStarted() *notStarted {
	return &notStarted{
		sends: make(map[*waitingSend]bool),
	}
}

// add counts a request as not started until remove. The context ends with the reason if it
// is broken off before.
func (u *notStarted) add(ctx context.Context, s *waitingSend) context.Context {
	ctx, s.cancel = context.WithCancelCause(ctx)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sends[s] = true
	return ctx
}

// remove takes a request out that has started or ended, and reports whether it was
// broken off.
func (u *notStarted) remove(s *waitingSend) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.sends, s)
	return s.ended
}

// breakOffOlder ends the requests to older versions of an adapter, and returns how many.
// Those whose start does not show end a little later, unless their keepers tell that they
// have started; they are returned as unknown.
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

// breakOffDue ends the requests whose start nobody reported in time, and returns how many.
func (u *notStarted) breakOffDue(now time.Time) int {
	return u.breakOff(errVersionEnded, func(s *waitingSend) bool {
		return !s.started && !s.until.IsZero() && !now.Before(s.until)
	})
}

// unknown returns the requests on some version of which only a keeper can tell whether
// they have started, and none has.
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

// markStarted records a keeper's word that requests have markStarted at its upstream.
func (u *notStarted) markStarted(id wardturn.UpstreamID, attempts []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for s := range u.sends {
		if s.upstream == id && slices.Contains(attempts, s.attempt) {
			s.started = true
		}
	}
}

// breakOffContent ends the requests that ask the same, and returns how many.
func (u *notStarted) breakOffContent(content wardturn.ContentID) int {
	return u.breakOff(errContentCrashes, func(s *waitingSend) bool {
		return s.content == content
	})
}

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
