package soak

import (
	"sync"
	"time"

	"wardturn/standin"
)

// outageBeforeRestore is how long the store is unavailable before it is restored.
const outageBeforeRestore = 300 * time.Millisecond

// storeWrites are the changes made to the store, to repeat them after it was restored from
// an older copy.
type storeWrites struct {
	mu             sync.Mutex
	versions       map[string]int64 // newest version by adapter
	droppedEntries []string         // ids of the dropped entries of upstreams
}

// dropEntry deletes the store entry of a lifetime that ended.
func (w *world) dropEntry(id string) {
	w.writes.mu.Lock()
	defer w.writes.mu.Unlock()
	w.writes.droppedEntries = append(w.writes.droppedEntries, id)
	w.store.DeleteServer(id)
}

// announceVersion announces a new version of an adapter.
func (s *soak) announceVersion(adapter string, version int64) {
	for _, u := range s.world.upstreams {
		u.worker.SetNewestVersion(adapter, version)
	}
	w := &s.world.writes
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions[adapter] = max(w.versions[adapter], version)
	s.world.store.PutVersion("m0", adapter, w.versions[adapter])
}

// storeRestoreFault returns a fault at whose end the store is restored from a copy made
// at its begin.
func (s *soak) storeRestoreFault() fault {
	return fault{
		name:   "store comes back from an older copy",
		target: "store",
		begin: func() func() {
			saved := s.world.store.Copy()
			return func() {
				s.world.store.SetFaults(standin.MetaFaults{
					Unavailable: true,
				})
				time.Sleep(outageBeforeRestore)
				s.world.store.Restore(saved)
				s.world.store.SetFaults(standin.MetaFaults{})
				s.repeatStoreWrites()
			}
		},
	}
}

// repeatStoreWrites repeats the writes that the store may have lost.
func (s *soak) repeatStoreWrites() {
	s.evacuations.mu.Lock()
	for _, domain := range domains {
		s.world.store.SetEvacuated(domain, s.evacuations.active[domain])
	}
	s.evacuations.mu.Unlock()
	s.mu.Lock()
	s.world.publishConfig()
	s.mu.Unlock()
	w := &s.world.writes
	w.mu.Lock()
	defer w.mu.Unlock()
	for adapter, version := range w.versions {
		s.world.store.PutVersion("m0", adapter, version)
	}
	for _, id := range w.droppedEntries {
		s.world.store.DeleteServer(id)
	}
	for _, u := range s.world.upstreams {
		s.world.writeEntry(u)
	}
}
