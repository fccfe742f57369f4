package keeper

import (
	"time"

	"wardturn"
	"wardturn/peer"
)

// requestTTL is how long a gateway that requested an adapter is sent updates of it directly.
// It is far longer than a load from a store that is not overloaded takes. A gateway that
// still waits after that repeats its request.
const requestTTL = 2 * time.Second

// listeners are the connections that get updates of the engine's state. Gateways with a
// relay for this keeper get the updates from it and only those of the adapters that they
// requested from here; the other gateways get all updates from here.
type listeners struct {
	allUpdates map[*peer.Conn]bool // connections that get all updates
	// requested has the requests of the other connections by adapter, with their times.
	requested map[wardturn.ModelAdapter]map[*peer.Conn]time.Time
	lastMark  map[*peer.Conn]uint64 // sequence number of the last Mark sent
}

func newListeners() listeners {
	return listeners{
		allUpdates: make(map[*peer.Conn]bool),
		requested:  make(map[wardturn.ModelAdapter]map[*peer.Conn]time.Time),
		lastMark:   make(map[*peer.Conn]uint64),
	}
}

// addRequest records that a gateway requested an adapter.
func (l *listeners) addRequest(now time.Time, c *peer.Conn, key wardturn.ModelAdapter) {
	if l.allUpdates[c] {
		return
	}
	if l.requested[key] == nil {
		l.requested[key] = make(map[*peer.Conn]time.Time)
	}
	l.requested[key][c] = now
}

// sendRequested sends the changes of adapters to the gateways that requested them.
func (l *listeners) sendRequested(now time.Time, m *peer.EngineUpdate) {
	for _, a := range m.Adapters {
		key := a.Adapter.Key()
		for c, at := range l.requested[key] {
			if now.Sub(at) < requestTTL {
				_ = c.Send(adapterUpdate(m, a))
			}
		}
		if a.State == peer.HeldReady {
			delete(l.requested, key)
		}
	}
	l.expireRequests(now)
}

// expireRequests removes expired requests.
func (l *listeners) expireRequests(now time.Time) {
	for key, conns := range l.requested {
		for c, at := range conns {
			if now.Sub(at) >= requestTTL {
				delete(conns, c)
			}
		}
		if len(conns) == 0 {
			delete(l.requested, key)
		}
	}
}

// adapterUpdate returns the part of an update that is about one adapter.
func adapterUpdate(m *peer.EngineUpdate, a peer.HeldAdapter) *peer.EngineUpdate {
	part := *m
	part.Full = false
	part.Requested = true
	part.Unloaded = nil
	part.Adapters = []peer.HeldAdapter{a}
	return &part
}

// sendMark sends a gateway with a relay the current sequence number, so that the gateway
// notices a relay that is behind.
func (l *listeners) sendMark(c *peer.Conn, seq uint64) {
	if l.allUpdates[c] || l.lastMark[c] == seq {
		return
	}
	l.lastMark[c] = seq
	_ = c.Send(&peer.Mark{
		Seq: seq,
	})
}

// remove removes a connection that has ended.
func (l *listeners) remove(c *peer.Conn) {
	delete(l.allUpdates, c)
	delete(l.lastMark, c)
	for key, conns := range l.requested {
		delete(conns, c)
		if len(conns) == 0 {
			delete(l.requested, key)
		}
	}
}
