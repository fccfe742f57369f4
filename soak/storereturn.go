package soak

import (
	"sync"
	"time"

	"wardturn/standin"
)

// awayBefore is how long the store is away before it comes back from an older copy.
const awayBefore = 300 * time.Millisecond

// writings are what was written to the store, to be written again.
type writings struct {
	mu       sync.Mutex
	versions map[string]int64 // newest of each adapter
	dropped  []string         // entries of lifetimes that ended
}

// drop drops the entry of a lifetime that ended.
func (w *world) drop(id string) {
	w.written.mu.Lock()
	defer w.written.mu.Unlock()
	w.written.dropped = append(w.written.dropped, id)
	w.store.DropServer(id)
}

// nameVersion names a new version of an adapter.
func (s *soak) nameVersion(adapter string, version int64) {
	for _, u := range s.world.upstreams {
		u.worker.Name(adapter, version)
	}
	w := &s.world.written
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions[adapter] = max(w.versions[adapter], version)
	s.world.store.PutVersion("m0", adapter, w.versions[adapter])
}

// storeReturn is a store that comes back from a copy of the fault's begin.
func (s *soak) storeReturn() fault {
	return fault{
		name:   "store comes back from an older copy",
		target: "store",
		begin: func() func() {
			old := s.world.store.Copy()
			return func() {
				s.world.store.SetFaults(standin.MetaFaults{
					Away: true,
				})
				time.Sleep(awayBefore)
				s.world.store.Restore(old)
				s.world.store.SetFaults(standin.MetaFaults{})
				s.writeAgain()
			}
		},
	}
}

// writeAgain writes what the store may have lost.
func (s *soak) writeAgain() {
	s.evacuations.mu.Lock()
	for _, domain := range domains {
		s.world.store.Evacuate(domain, s.evacuations.now[domain])
	}
	s.evacuations.mu.Unlock()
	s.mu.Lock()
	s.world.configure()
	s.mu.Unlock()
	w := &s.world.written
	w.mu.Lock()
	defer w.mu.Unlock()
	for adapter, version := range w.versions {
		s.world.store.PutVersion("m0", adapter, version)
	}
	for _, id := range w.dropped {
		s.world.store.DropServer(id)
	}
	for _, u := range s.world.upstreams {
		s.world.enter(u)
	}
}
