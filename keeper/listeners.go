package keeper

import (
	"time"

	"wardturn"
	"wardturn/peer"
)

// answerFor is how long a gateway that requested an adapter is sent updates of it directly.
// It is far longer than a load from a store that is not overloaded takes. A gateway that
// still waits after that repeats its request.
const answerFor = 2 * time.Second

// listeners are the connections that get updates of the engine's state. Gateways with a
// relay for this keeper get the updates from it and only those of the adapters that they
// requested from here; the other gateways get all updates from here.
type listeners struct {
	all    map[*peer.Conn]bool                                // connections that get all updates
	asked  map[wardturn.ModelAdapter]map[*peer.Conn]time.Time // time of the request
	marked map[*peer.Conn]uint64                              // sequence number of the latest Mark sent
}

func newListeners() listeners {
	return listeners{
		all:    make(map[*peer.Conn]bool),
		asked:  make(map[wardturn.ModelAdapter]map[*peer.Conn]time.Time),
		marked: make(map[*peer.Conn]uint64),
	}
}

// ask records that a gateway requested an adapter.
func (l *listeners) ask(now time.Time, c *peer.Conn, key wardturn.ModelAdapter) {
	if l.all[c] {
		return
	}
	if l.asked[key] == nil {
		l.asked[key] = make(map[*peer.Conn]time.Time)
	}
	l.asked[key][c] = now
}

// answer sends the changes of adapters to the gateways that requested them.
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

// forget removes expired requests.
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

// answerOf returns the part of an update that is about one adapter.
func answerOf(m *peer.Holding, a peer.HeldAdapter) *peer.Holding {
	part := *m
	part.Full = false
	part.Answer = true
	part.Gone = nil
	part.Adapters = []peer.HeldAdapter{a}
	return &part
}

// mark sends a gateway with a relay the current sequence number, so that the gateway notices
// a relay that is behind.
func (l *listeners) mark(c *peer.Conn, seq uint64) {
	if l.all[c] || l.marked[c] == seq {
		return
	}
	l.marked[c] = seq
	_ = c.Send(&peer.Mark{
		Seq: seq,
	})
}

// lost removes a connection that has ended.
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
