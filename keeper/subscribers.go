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

// subscribers are the connections that get updates of the engine's state. Gateways with a
// relay for this keeper get the updates from it and only those of the adapters that they
// requested from here; the other gateways get all updates from here.
type subscribers struct {
	allUpdates map[*peer.Conn]bool // connections that get all updates
	// requested has the requests of the other connections by adapter, with their times.
	requested map[wardturn.ModelAdapter]map[*peer.Conn]time.Time
	lastMark  map[*peer.Conn]uint64 // sequence number of the last Mark sent
}

func newSubscribers() subscribers {
	return subscribers{
		allUpdates: make(map[*peer.Conn]bool),
		requested:  make(map[wardturn.ModelAdapter]map[*peer.Conn]time.Time),
		lastMark:   make(map[*peer.Conn]uint64),
	}
}

// addRequest records that a gateway requested an adapter.
func (s *subscribers) addRequest(now time.Time, c *peer.Conn, key wardturn.ModelAdapter) {
	if s.allUpdates[c] {
		return
	}
	if s.requested[key] == nil {
		s.requested[key] = make(map[*peer.Conn]time.Time)
	}
	s.requested[key][c] = now
}

// sendRequested sends the changes of adapters to the gateways that requested them.
func (s *subscribers) sendRequested(now time.Time, m *peer.EngineUpdate) {
	for _, a := range m.Adapters {
		key := a.Adapter.Key()
		for c, at := range s.requested[key] {
			if now.Sub(at) < requestTTL {
				_ = c.Send(adapterUpdate(m, a))
			}
		}
		if a.State == peer.HeldReady {
			delete(s.requested, key)
		}
	}
	s.expireRequests(now)
}

// expireRequests removes expired requests.
func (s *subscribers) expireRequests(now time.Time) {
	for key, conns := range s.requested {
		for c, at := range conns {
			if now.Sub(at) >= requestTTL {
				delete(conns, c)
			}
		}
		if len(conns) == 0 {
			delete(s.requested, key)
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
func (s *subscribers) sendMark(c *peer.Conn, seq uint64) {
	if s.allUpdates[c] || s.lastMark[c] == seq {
		return
	}
	s.lastMark[c] = seq
	_ = c.Send(&peer.Mark{
		Seq: seq,
	})
}

// remove removes a connection that has ended.
func (s *subscribers) remove(c *peer.Conn) {
	delete(s.allUpdates, c)
	delete(s.lastMark, c)
	for key, conns := range s.requested {
		delete(conns, c)
		if len(conns) == 0 {
			delete(s.requested, key)
		}
	}
}
