package peer_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"wardturn"
	"wardturn/peer"
)

// keeperState is the state of an engine as its keeper knows it.
type keeperState struct {
	seq      uint64
	adapters map[wardturn.ModelAdapter]peer.HeldAdapter
}

func (s *keeperState) full() *peer.EngineUpdate {
	m := &peer.EngineUpdate{
		Seq:  s.seq,
		Full: true,
	}
	for _, a := range s.adapters {
		m.Adapters = append(m.Adapters, a)
	}
	return m
}

// change changes one adapter and returns the incremental state update.
func (s *keeperState) change(t *rapid.T) *peer.EngineUpdate {
	key := wardturn.ModelAdapter{
		Model:   "m",
		Adapter: wardturn.AdapterID(fmt.Sprint("a", rapid.IntRange(0, 4).Draw(t, "adapter"))),
	}
	s.seq++
	m := &peer.EngineUpdate{
		Seq: s.seq,
	}
	if rapid.Bool().Draw(t, "unloaded") {
		delete(s.adapters, key)
		m.Unloaded = append(m.Unloaded, key)
		return m
	}
	s.adapters[key] = peer.HeldAdapter{
		Adapter: wardturn.AdapterVersion{
			Model:   key.Model,
			Adapter: key.Adapter,
			Version: wardturn.Version(s.seq),
		},
		State: peer.HeldState(rapid.IntRange(0, 2).Draw(t, "state")),
	}
	m.Adapters = append(m.Adapters, s.adapters[key])
	return m
}

// TestMirrorMatchesLastAppliedUpdate checks that a mirror that has applied a state update
// equals the keeper's state when that update was sent, even if updates were lost,
// duplicated or delivered out of order before.
func TestMirrorMatchesLastAppliedUpdate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keeper := &keeperState{
			adapters: make(map[wardturn.ModelAdapter]peer.HeldAdapter),
		}
		var m peer.Mirror
		var sent []*peer.EngineUpdate // updates that may be delivered again
		for range rapid.IntRange(1, 60).Draw(t, "updates") {
			update := keeper.change(t)
			sent = append(sent, update)
			switch rapid.IntRange(0, 4).Draw(t, "delivery") {
			case 0: // lost
				continue
			case 1:
				update = keeper.full()
			case 2:
				if old := rapid.SampledFrom(sent).Draw(t, "late"); old.Seq < keeper.seq {
					m.Apply(old)
				}
			}
			if !m.Apply(update) {
				continue
			}
			got := m.Full()
			if got.Seq != keeper.seq || len(got.Adapters) != len(keeper.adapters) {
				t.Fatalf("update %d: mirror %+v, want %+v", update.Seq, got, keeper)
			}
			for _, a := range got.Adapters {
				if keeper.adapters[a.Adapter.Key()] != a {
					t.Fatalf("update %d: mirror has %+v, want %+v", update.Seq, a, keeper.adapters[a.Adapter.Key()])
				}
			}
		}
		if !m.Apply(keeper.full()) || m.Full().Seq != keeper.seq {
			t.Fatal("a full state was not applied")
		}
	})
}
