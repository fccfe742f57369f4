package decide

import "time"

// capSlots is how many parts a window of a usage cap has: what was taken counts until
// the whole part in which that was has left the window, so up to a fortieth of the
// window too long.
const capSlots = 40

// capWindow adds up amounts over the latest span of time.
type capWindow struct {
	slots [capSlots + 1]float64 // by time, in turn
	sum   float64
	turn  int64 // of the present slot
}

// advance moves the window on to a slot; each new one begins with an amount.
func (w *capWindow) advance(turn int64, with float64) {
	if turn-w.turn > capSlots {
		w.turn = turn - capSlots - 1
	}
	for w.turn < turn {
		w.turn++
		slot := &w.slots[w.turn%int64(len(w.slots))]
		w.sum += with - *slot
		*slot = with
	}
}

func (w *capWindow) add(amount float64) {
	w.slots[w.turn%int64(len(w.slots))] += amount
	w.sum += amount
}

// oldest returns the amount of the slot that leaves the window after some others.
func (w *capWindow) oldest(after int) float64 {
	return w.slots[(w.turn+1+int64(after))%int64(len(w.slots))]
}

// fill sets all slots to at least an amount.
func (w *capWindow) fill(amount float64) {
	for i := range w.slots {
		if w.slots[i] < amount {
			w.sum += amount - w.slots[i]
			w.slots[i] = amount
		}
	}
}

// slotOf returns the slot of a window at a time since the start of counting.
func slotOf(since, window time.Duration) int64 {
	return int64(max(since, 0) * capSlots / window)
}
