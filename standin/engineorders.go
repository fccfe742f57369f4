package standin

import (
	"slices"

	"wardturn"
)

// Load fetches an adapter version into a free slot and calls done once.
func (e *Engine) Load(order wardturn.SlotOrder, done func(error)) {
	e.mu.Lock()
	executed, err := e.accept(order)
	if err == nil && !executed && e.residentIndex(order.Adapter) < 0 {
		err = e.reserve(order)
	} else if err == nil {
		executed = true
	}
	restarts := e.restarts
	e.mu.Unlock()
	if err != nil || executed {
		done(err)
		return
	}
	e.store.Fetch(order.Adapter, func(err error) {
		done(e.finishLoad(restarts, order, err))
	})
}

// accept checks the fence of an order. again reports whether the order was executed before.
func (e *Engine) accept(order wardturn.SlotOrder) (executed bool, err error) {
	if !e.cfg.ChecksFences {
		return false, nil
	}
	if order.Fence < e.fence {
		return false, wardturn.ErrFenced
	}
	if order.Fence > e.fence {
		e.fence = order.Fence
		clear(e.orders)
	}
	return e.orders[order.ID], nil
}

// reserve reserves a slot for the adapter of an order.
func (e *Engine) reserve(order wardturn.SlotOrder) error {
	if slices.Contains(e.loading, order.Adapter) {
		return wardturn.ErrNoSlot
	}
	if len(e.resident)+len(e.loading) >= e.cfg.Slots {
		return wardturn.ErrNoSlot
	}
	e.loading = append(e.loading, order.Adapter)
	return nil
}

// finishLoad completes a load that began after the given number of restarts.
func (e *Engine) finishLoad(restarts int, order wardturn.SlotOrder, err error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if restarts != e.restarts {
		return wardturn.ErrUnavailable
	}
	if i := slices.Index(e.loading, order.Adapter); i >= 0 {
		e.loading = slices.Delete(e.loading, i, i+1)
	}
	if err != nil {
		return err
	}
	e.orders[order.ID] = true
	e.resident = append(e.resident, residentAdapter{
		ref: order.Adapter,
	})
	return nil
}

// Unload frees the slot of an adapter version and calls done once.
func (e *Engine) Unload(order wardturn.SlotOrder, done func(error)) {
	err := e.unload(order)
	if err != nil {
		done(err)
		return
	}
	e.clock.AfterFunc(e.cfg.UnloadTime, func() {
		done(nil)
	})
}

func (e *Engine) unload(order wardturn.SlotOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	executed, err := e.accept(order)
	if err != nil || executed {
		return err
	}
	i := e.residentIndex(order.Adapter)
	if i < 0 {
		return nil
	}
	if e.resident[i].running > 0 {
		return wardturn.ErrAdapterBusy
	}
	e.orders[order.ID] = true
	e.resident = slices.Delete(e.resident, i, i+1)
	return nil
}
