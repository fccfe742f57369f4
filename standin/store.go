package standin

import (
	"sync"
	"time"

	"wardturn"
)

// StoreConfig sizes a weight store.
type StoreConfig struct {
	Rate     float64       // fetches a second
	Parallel int           // fetches at full speed
	Fetch    time.Duration // time of one fetch at full speed
	Burst    float64       // fetches that may start at once; zero: Parallel
}

// StoreFaults are the ways in which a store fails.
type StoreFaults struct {
	Down bool
	Slow float64 // factor on the time of a fetch; zero: 1
	// Fail, if set, is asked at the end of each fetch.
	Fail func(ref wardturn.AdapterRef) error
}

// Store is a rate-limited weight store. Fetches beyond its rate are refused at
// once; beyond Parallel they share its speed.
type Store struct {
	clock wardturn.Clock
	cfg   StoreConfig

	mu      sync.Mutex
	faults  StoreFaults
	tokens  float64
	at      time.Time // of tokens and of the fetches' remaining work
	fetches []*fetch
	timer   wardturn.Timer
	served  int
	refused int
}

type fetch struct {
	ref  wardturn.AdapterRef
	left float64 // seconds of work at full speed
	done func(error)
}

// NewStore returns an idle store with a full burst.
func NewStore(clock wardturn.Clock, cfg StoreConfig) *Store {
	if cfg.Burst == 0 {
		cfg.Burst = float64(cfg.Parallel)
	}
	return &Store{
		clock:  clock,
		cfg:    cfg,
		tokens: cfg.Burst,
		at:     clock.Now(),
	}
}

// SetFaults replaces the store's faults. Fetches under way end with
// ErrUnavailable when the store goes down.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	s.progress()
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

// Counts returns how many fetches were served and refused.
func (s *Store) Counts() (served, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served, s.refused
}

// Fetch implements wardturn.Store.
func (s *Store) Fetch(ref wardturn.AdapterRef, done func(error)) {
	if err := s.begin(ref, done); err != nil {
		done(err)
	}
}

func (s *Store) begin(ref wardturn.AdapterRef, done func(error)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progress()
	if s.faults.Down {
		return wardturn.ErrUnavailable
	}
	if s.tokens < 1 {
		s.refused++
		return wardturn.ErrStoreBusy
	}
	s.tokens--
	s.fetches = append(s.fetches, &fetch{
		ref:  ref,
		left: s.cfg.Fetch.Seconds(),
		done: done,
	})
	s.schedule()
	return nil
}

// speed is the share of full speed that each fetch has.
func (s *Store) speed() float64 {
	v := 1.0
	if n := len(s.fetches); n > s.cfg.Parallel {
		v = float64(s.cfg.Parallel) / float64(n)
	}
	if s.faults.Slow > 1 {
		v /= s.faults.Slow
	}
	return v
}

// progress brings tokens and fetches up to the present.
func (s *Store) progress() {
	now := s.clock.Now()
	gap := now.Sub(s.at).Seconds()
	s.at = now
	s.tokens = min(s.cfg.Burst, s.tokens+gap*s.cfg.Rate)
	v := s.speed()
	for _, f := range s.fetches {
		f.left -= gap * v
	}
}

// schedule sets the timer to the end of the next fetch.
func (s *Store) schedule() {
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if len(s.fetches) == 0 {
		return
	}
	left := s.fetches[0].left
	for _, f := range s.fetches[1:] {
		left = min(left, f.left)
	}
	wait := time.Duration(max(left, 0) / s.speed() * float64(time.Second))
	s.timer = s.clock.AfterFunc(wait+time.Microsecond, s.finish)
}

func (s *Store) finish() {
	s.mu.Lock()
	s.progress()
	var ended []*fetch
	kept := s.fetches[:0]
	for _, f := range s.fetches {
		if f.left <= 0 {
			ended = append(ended, f)
			continue
		}
		kept = append(kept, f)
	}
	s.fetches = kept
	s.served += len(ended)
	fail := s.faults.Fail
	s.schedule()
	s.mu.Unlock()
	for _, f := range ended {
		var err error
		if fail != nil {
			err = fail(f.ref)
		}
		f.done(err)
	}
}
