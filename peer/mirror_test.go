package peer_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"wardturn"
	"wardturn/peer"
)

// heldNow is the state of an engine as its keeper knows it.
type heldNow struct {
	seq      uint64
	adapters map[wardturn.ModelAdapter]peer.HeldAdapter
}

func (h *heldNow) full() *peer.Holding {
	m := &peer.Holding{
		Seq:  h.seq,
		Full: true,
	}
	for _, a := range h.adapters {
		m.Adapters = append(m.Adapters, a)
	}
	return m
}

// change changes one adapter and returns the incremental report of the change.
func (h *heldNow) change(t *rapid.T) *peer.Holding {
	key := wardturn.ModelAdapter{
		Model:   "m",
		Adapter: wardturn.AdapterID(fmt.Sprint("a", rapid.IntRange(0, 4).Draw(t, "adapter"))),
	}
	h.seq++
	m := &peer.Holding{
		Seq: h.seq,
	}
	if rapid.Bool().Draw(t, "gone") {
		delete(h.adapters, key)
		m.Gone = append(m.Gone, key)
		return m
	}
	h.adapters[key] = peer.HeldAdapter{
		Adapter: wardturn.AdapterVersion{
			Model:   key.Model,
			Adapter: key.Adapter,
			Version: wardturn.Version(h.seq),
		},
		State: peer.HeldState(rapid.IntRange(0, 2).Draw(t, "state")),
	}
	m.Adapters = append(m.Adapters, h.adapters[key])
	return m
}

// TestMirrorIsTheHoldingOfItsLastWord checks that a mirror that has applied a report
// equals the keeper's state when that report was sent, even if reports were lost,
// duplicated or delivered out of order before.
func TestMirrorIsTheHoldingOfItsLastWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := &heldNow{
			adapters: make(map[wardturn.ModelAdapter]peer.HeldAdapter),
		}
		var m peer.Mirror
		var late []*peer.Holding // reports that may be delivered again
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			word := truth.change(t)
			late = append(late, word)
			switch rapid.IntRange(0, 4).Draw(t, "delivery") {
			case 0: // lost
				continue
			case 1:
				word = truth.full()
			case 2:
				if old := rapid.SampledFrom(late).Draw(t, "late"); old.Seq < truth.seq {
					m.Take(old)
				}
			}
			if !m.Take(word) {
				continue
			}
			got := m.Full()
			if got.Seq != truth.seq || len(got.Adapters) != len(truth.adapters) {
				t.Fatalf("report %d: mirror %+v, want %+v", word.Seq, got, truth)
			}
			for _, a := range got.Adapters {
				if truth.adapters[a.Adapter.Key()] != a {
					t.Fatalf("report %d: mirror has %+v, want %+v", word.Seq, a, truth.adapters[a.Adapter.Key()])
				}
			}
		}
		if !m.Take(truth.full()) || m.Full().Seq != truth.seq {
			t.Fatal("a full report was not applied")
		}
	})
}
