package keeper

import (
	"time"

	"wardturn"
	"wardturn/peer"
)

// answerFor is how long a gateway that asked for an adapter is told of it directly:
// far over the time of a load from a store that is not overloaded. A gateway that
// still waits asks again.
const answerFor = 2 * time.Second

// listeners are the connections that are told of the engine: some of everything,
// the others, whose gateways have a relay for that, of what they asked for.
type listeners struct {
	all    map[*peer.Conn]bool
	asked  map[wardturn.ModelAdapter]map[*peer.Conn]time.Time // when
	marked map[*peer.Conn]uint64                              // the latest mark sent
}

func newListeners() listeners {
	return listeners{
		all:    make(map[*peer.Conn]bool),
		asked:  make(map[wardturn.ModelAdapter]map[*peer.Conn]time.Time),
		marked: make(map[*peer.Conn]uint64),
	}
}

// ask notes that a gateway wants to know of an adapter.
func (l *listeners) ask(now time.Time, c *peer.Conn, key wardturn.ModelAdapter) {
	if l.all[c] {
		return
	}
	if l.asked[key] == nil {
		l.asked[key] = make(map[*peer.Conn]time.Time)
	}
	l.asked[key][c] = now
}

// answer tells those that asked for an adapter of its change.
func (l *listeners) answer(now time.Time, m *peer.Holding) {
	for _, a := range m.Adapters {
		key := a.Adapter.Key()
		for c, at := range l.asked[key] {
			if now.Sub(at) < answerFor {
				_ = c.Send(answerOf(m, a))
			}
		}
		if a.State == peer.HeldReady {
			delete(l.asked, key)
		}
	}
	l.forget(now)
}

// forget drops what nobody asks for any more.
func (l *listeners) forget(now time.Time) {
	for key, conns := range l.asked {
		for c, at := range conns {
			if now.Sub(at) >= answerFor {
				delete(conns, c)
			}
		}
		if len(conns) == 0 {
			delete(l.asked, key)
		}
	}
}

// answerOf returns the part of a word that concerns one adapter.
func answerOf(m *peer.Holding, a peer.HeldAdapter) *peer.Holding {
	part := *m
	part.Full = false
	part.Answer = true
	part.Gone = nil
	part.Adapters = []peer.HeldAdapter{a}
	return &part
}

// mark tells a gateway that has a relay how far the changes go.
func (l *listeners) mark(c *peer.Conn, seq uint64) {
	if l.all[c] || l.marked[c] == seq {
		return
	}
	l.marked[c] = seq
	_ = c.Send(&peer.Mark{
		Seq: seq,
	})
}

func (l *listeners) lost(c *peer.Conn) {
	delete(l.all, c)
	delete(l.marked, c)
	for key, conns := range l.asked {
		delete(conns, c)
		if len(conns) == 0 {
			delete(l.asked, key)
		}
	}
}
