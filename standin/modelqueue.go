package standin

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// statusQueued tells that a request has to wait for a slot. It is never sent.
	statusQueued = -1
	// slotInterval is the interval at which a waiting request checks for a free slot.
	slotInterval = time.Millisecond
)

// takeSlot takes a slot for a request, or a place in the queue. It returns zero,
// statusQueued, or the status of the refusal. The caller holds the lock.
func (m *ModelWorker) takeSlot(r *http.Request) int {
	free := m.faults.Slots - m.active()
	i := slices.Index(m.queue, r)
	switch {
	case m.faults.Slots == 0, i < 0 && len(m.queue) < free, i >= 0 && i < free:
		return 0
	case i < 0 && len(m.queue) >= m.faults.Queue:
		return http.StatusServiceUnavailable
	case i < 0:
		m.queue = append(m.queue, r)
	}
	return statusQueued
}

// waitForSlot admits a request as admit does, after it has waited for a slot. It aborts the
// request if its caller leaves or the worker restarts before.
func (m *ModelWorker) waitForSlot(r *http.Request, lifetime string) int {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.queue = slices.DeleteFunc(m.queue, func(waiting *http.Request) bool {
			return waiting == r
		})
	}()
	for {
		if status := m.admit(r); status != statusQueued {
			return status
		}
		time.Sleep(slotInterval)
		m.mu.Lock()
		restarted := fmt.Sprintf("%s@%d", m.id, m.startMS) != lifetime
		m.mu.Unlock()
		if restarted || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
