package standin

import (
	"sync"
	"time"

	"wardturn"
)

// StoreConfig configures a weight store.
type StoreConfig struct {
	Rate        float64       // fetches per second
	MaxParallel int           // concurrent fetches at full speed
	FetchTime   time.Duration // duration of a fetch at full speed
	Burst       float64       // burst of the rate limit; zero: MaxParallel
}

// StoreFaults are the faults of a Store.
type StoreFaults struct {
	Down bool
	Slow float64 // factor by which fetches take longer; zero: 1
	// Fail, if set, is called at the end of each fetch and returns its result.
	Fail func(ref wardturn.AdapterRef) error
}

// Store is a fake of the rate-limited weight store. Fetches above its rate are refused
// at once. More than MaxParallel concurrent fetches share its bandwidth.
type Store struct {
	clock wardturn.Clock
	cfg   StoreConfig

	mu        sync.Mutex
	faults    StoreFaults
	tokens    float64
	updatedAt time.Time // last update of tokens and fetches
	fetches   []*fetch
	timer     wardturn.Timer
	served    int
	refused   int
}

type fetch struct {
	ref       wardturn.AdapterRef
	remaining float64 // seconds at full speed
	done      func(error)
}

// NewStore returns an idle store with its full burst available.
func NewStore(clock wardturn.Clock, cfg StoreConfig) *Store {
	if cfg.Burst == 0 {
		cfg.Burst = float64(cfg.MaxParallel)
	}
	return &Store{
		clock:     clock,
		cfg:       cfg,
		tokens:    cfg.Burst,
		updatedAt: clock.Now(),
	}
}

// SetFaults replaces the store's faults. When the store goes down, fetches in progress
// end with ErrUnavailable.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	s.update()
	s.faults = f
	var lost []*fetch
	if f.Down {
		lost = s.fetches
		s.fetches = nil
	}
	s.schedule()
	s.mu.Unlock()
	for _, ft := range lost {
		ft.done(wardturn.ErrUnavailable)
	}
}

// Counts returns the numbers of fetches that were served and refused.
func (s *Store) Counts() (served, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served, s.refused
}

// Fetch implements wardturn.Store.
func (s *Store) Fetch(ref wardturn.AdapterRef, done func(error)) {
	if err := s.startFetch(ref, done); err != nil {
		done(err)
	}
}

// startFetch starts a fetch, or returns why it is refused.
func (s *Store) startFetch(ref wardturn.AdapterRef, done func(error)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update()
	if s.faults.Down {
		return wardturn.ErrUnavailable
	}
	if s.tokens < 1 {
		s.refused++
		return wardturn.ErrStoreBusy
	}
	s.tokens--
	s.fetches = append(s.fetches, &fetch{
		ref:       ref,
		remaining: s.cfg.FetchTime.Seconds(),
		done:      done,
	})
	s.schedule()
	return nil
}

// speed returns the fraction of full speed at which each fetch runs.
func (s *Store) speed() float64 {
	v := 1.0
	if n := len(s.fetches); n > s.cfg.MaxParallel {
		v = float64(s.cfg.MaxParallel) / float64(n)
	}
	if s.faults.Slow > 1 {
		v /= s.faults.Slow
	}
	return v
}

// update updates tokens and fetches to the current time.
func (s *Store) update() {
	now := s.clock.Now()
	elapsed := now.Sub(s.updatedAt).Seconds()
	s.updatedAt = now
	s.tokens = min(s.cfg.Burst, s.tokens+elapsed*s.cfg.Rate)
	v := s.speed()
	for _, f := range s.fetches {
		f.remaining -= elapsed * v
	}
}

// schedule sets the timer to the end of the fetch that ends next.
func (s *Store) schedule() {
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if len(s.fetches) == 0 {
		return
	}
	remaining := s.fetches[0].remaining
	for _, f := range s.fetches[1:] {
		remaining = min(remaining, f.remaining)
	}
	wait := time.Duration(max(remaining, 0) / s.speed() * float64(time.Second))
	s.timer = s.clock.AfterFunc(wait+time.Microsecond, s.completeFetches)
}

// completeFetches ends the fetches that are complete.
func (s *Store) completeFetches() {
	s.mu.Lock()
	s.update()
	var completed []*fetch
	inProgress := s.fetches[:0]
	for _, f := range s.fetches {
		if f.remaining <= 0 {
			completed = append(completed, f)
			continue
		}
		inProgress = append(inProgress, f)
	}
	s.fetches = inProgress
	s.served += len(completed)
	fail := s.faults.Fail
	s.schedule()
	s.mu.Unlock()
	for _, f := range completed {
		var err error
		if fail != nil {
			err = fail(f.ref)
		}
		f.done(err)
	}
}
