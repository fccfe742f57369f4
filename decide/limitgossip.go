package decide

import (
	"maps"
	"slices"
	"time"

	"wardturn"
)

const (
	// limitHeartbeat is the heartbeat interval of a gateway that knows a limit: the
	// longest time between two of its messages.
	limitHeartbeat = time.Second
	// limitMessageInterval is the minimum time between two messages. An upstream may
	// announce a different limit in each response.
	limitMessageInterval = 50 * time.Millisecond
	// limitRefresh is the time after an announcement of a limit, by any gateway, after
	// which it is announced again.
	limitRefresh = time.Second
	// limitTimeTolerance is the tolerated error of the time of a response reported by other
	// gateways. The error accumulates as gateways pass the report on.
	limitTimeTolerance = 500 * time.Millisecond
)

// LimitGossip is the message by which a gateway tells the others that it is running, and
// which limits it knows.
type LimitGossip struct {
	Process wardturn.Incarnation
	Seq     uint64        // sequence number of the message within the process
	Stamp   time.Duration // send time, measured from the start of the process
	Limits  []LimitUpdate
}

// LimitUpdate is the state of one upstream's limit as known to a gateway.
type LimitUpdate struct {
	Instance string
	Rate     float64       // requests a second over all gateways; zero: the limit has ended
	Ago      time.Duration // age of the response that Rate comes from
}

// limitPeer is another gateway from which messages have been received.
type limitPeer struct {
	hash     uint64
	seq      uint64
	lastSeen time.Time
}

// Gossip returns the message to send to the other gateways, if one is due. The result dirty
// reports whether it contains a change that has not been announced before.
func (l *Limits) Gossip(now time.Time) (msg LimitGossip, dirty, due bool) {
	if now.Sub(l.announcedAt) < limitMessageInterval {
		return LimitGossip{}, false, false
	}
	hasLimits := l.expectsCold || len(l.cold) > 0
	for _, instance := range slices.Sorted(maps.Keys(l.upstreams)) {
		u := l.upstreams[instance]
		hasLimits = hasLimits || u.rate > 0
		if !u.dirty && !l.repeatDue(now, u) {
			continue
		}
		dirty = dirty || u.dirty
		u.dirty = false
		u.announcedAt = now
		u.announcedFor = latest(u.announcedFor, u.observedAt)
		msg.Limits = append(msg.Limits, u.update(now, instance))
	}
	heartbeat := hasLimits && now.Sub(l.announcedAt) >= limitHeartbeat
	if len(msg.Limits) == 0 && !heartbeat {
		return LimitGossip{}, false, false
	}
	l.seq++
	l.announcedAt = now
	msg.Process = l.self
	msg.Seq = l.seq
	msg.Stamp = now.Sub(l.start)
	return msg, dirty, true
}

// repeatDue reports whether this gateway should announce a limit again: either it knows of
// a later response than the one announced, or no gateway has announced the limit recently.
// The second check uses a different delay in each gateway, so that few announce it at the
// same time.
func (l *Limits) repeatDue(now time.Time, u *upstreamLimit) bool {
	if u.rate == 0 {
		return false
	}
	if u.observedAt.Sub(u.announcedFor) >= limitRefresh {
		return true
	}
	spread := float64(l.hash) / (1 << 64)
	return now.Sub(u.announcedAt) >= limitRefresh+time.Duration(spread*float64(limitRefresh))
}

func (u *upstreamLimit) update(now time.Time, instance string) LimitUpdate {
	at := u.observedAt
	if u.rate == 0 {
		at = u.endedAt
	}
	return LimitUpdate{
		Instance: instance,
		Rate:     u.rate,
		Ago:      now.Sub(at),
	}
}

// Receive processes a message from another gateway and returns the updates that were new.
func (l *Limits) Receive(now time.Time, msg LimitGossip) (changes []LimitUpdate) {
	if msg.Process == l.self {
		return nil
	}
	o := l.others[msg.Process]
	if o == nil {
		o = &limitPeer{
			hash: hashString(string(msg.Process)),
		}
		l.others[msg.Process] = o
		l.sharesAt = time.Time{}
	}
	if msg.Seq <= o.seq {
		return nil
	}
	o.seq = msg.Seq
	o.lastSeen = now
	lag := now.Sub(l.start) - msg.Stamp
	least, measured := l.lags.observe(msg.Process, lag)
	sent := now.Add(least - lag)
	for _, u := range msg.Limits {
		if l.merge(now, u, sent.Add(-u.Ago), measured) {
			changes = append(changes, u)
		}
	}
	l.updateShares(now)
	return changes
}

// merge applies an update from another gateway that is based on a response given at the
// time at, and reports whether it was new. The later response wins. The delay of the
// first message from a gateway cannot be measured, so that message may be old and does
// not end a limit.
func (l *Limits) merge(now time.Time, u LimitUpdate, at time.Time, measured bool) (changed bool) {
	known := l.upstreams[u.Instance]
	switch {
	case known == nil && u.Rate == 0:
		return false
	case known == nil:
		known = newUpstreamLimit()
		l.upstreams[u.Instance] = known
	case u.Rate == 0:
		ends := known.rate > 0 && measured && at.After(known.observedAt)
		if ends {
			known.end(at)
		}
		return ends
	case !at.After(known.endedAt.Add(limitTimeTolerance)):
		// The sender does not know that the limit has ended.
		known.dirty = known.dirty || known.rate == 0 && now.Sub(known.announcedAt) >= limitRefresh
		return false
	}
	known.announcedAt = now
	known.announcedFor = latest(known.announcedFor, at)
	if known.rate > 0 && !at.After(known.observedAt.Add(limitTimeTolerance)) {
		return false
	}
	changed = known.rate != u.Rate
	l.set(now, known, at, u.Rate)
	return changed
}

// forget drops gateways from which nothing has been received for gatewayCountRetention.
func (l *Limits) forget(now time.Time) {
	for p, o := range l.others {
		if now.Sub(o.lastSeen) > gatewayCountRetention {
			delete(l.others, p)
		}
	}
}
