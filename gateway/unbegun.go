package gateway

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"wardturn"
)

// errVersionEnded is why a request was broken off that had not begun when the version
// of its adapter ceased to serve.
var errVersionEnded = errors.New("gateway: the adapter version serves no more")

// unbegun are the requests that were sent to an adapter version and have not begun, as
// far as is seen here. A request may be held up on its way, in the queue of a slow
// engine or on a frozen host, and would begin up to 1.1 s after a bound of 5 s
// (gateways' logs of 56 days with frozen hosts).
type unbegun struct {
	mu    sync.Mutex
	byKey map[wardturn.ModelAdapter]map[*waitingSend]bool
}

// waitingSend is a request that has not begun.
type waitingSend struct {
	key     wardturn.ModelAdapter
	version wardturn.Version
	cancel  context.CancelCauseFunc
	ended   bool // it was broken off
}

func newUnbegun() *unbegun {
	return &unbegun{
		byKey: make(map[wardturn.ModelAdapter]map[*waitingSend]bool),
	}
}

// add counts a request as not begun until remove. The context ends with
// errVersionEnded if its version ceases to serve before.
func (u *unbegun) add(ctx context.Context, key wardturn.ModelAdapter, v wardturn.Version) (context.Context, *waitingSend) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &waitingSend{
		key:     key,
		version: v,
		cancel:  cancel,
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byKey[key] == nil {
		u.byKey[key] = make(map[*waitingSend]bool)
	}
	u.byKey[key][s] = true
	return ctx, s
}

// remove takes a request out that has begun or ended, and reports whether it was
// broken off.
func (u *unbegun) remove(s *waitingSend) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.byKey[s.key], s)
	if len(u.byKey[s.key]) == 0 {
		delete(u.byKey, s.key)
	}
	return s.ended
}

// breakOff ends the requests to older versions of an adapter, and returns how many.
func (u *unbegun) breakOff(newer wardturn.AdapterVersion) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for s := range u.byKey[newer.Key()] {
		if s.version < newer.Version {
			s.ended = true
			s.cancel(errVersionEnded)
			n++
		}
	}
	return n
}
