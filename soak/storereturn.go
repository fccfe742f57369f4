package soak

import (
	"sync"
	"time"

	"wardturn/standin"
)

// awayBefore is how long the store is unavailable before it is restored.
const awayBefore = 300 * time.Millisecond

// writings are the changes made to the store, to repeat them after it was restored from
// an older copy.
type writings struct {
	mu       sync.Mutex
	versions map[string]int64 // newest version by adapter
	dropped  []string         // ids of the dropped entries of upstreams
}

// drop deletes the store entry of a lifetime that ended.
func (w *world) drop(id string) {
	w.written.mu.Lock()
	defer w.written.mu.Unlock()
	w.written.dropped = append(w.written.dropped, id)
	w.store.DropServer(id)
}

// nameVersion announces a new version of an adapter.
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

// storeReturn returns a fault at whose end the store is restored from a copy made at its
// begin.
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
				s.world.store.ComeBack(old)
				s.world.store.SetFaults(standin.MetaFaults{})
				s.writeAgain()
			}
		},
	}
}

// writeAgain repeats the writes that the store may have lost.
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
