package decide

import (
	"maps"
	"slices"
	"time"

	"wardturn"
)

const (
	// limitBeat is the longest time between two messages of a gateway that knows a limit.
	limitBeat = time.Second
	// limitPause is the least time between two messages: an upstream may name another figure in
	// each answer.
	limitPause = 50 * time.Millisecond
	// limitRefresh is how long after a limit was announced, by any gateway, it is announced again.
	limitRefresh = time.Second
	// limitSlack is by how much the time of another gateway's answer may seem later than it
	// was, over all gateways that tell of it one after another.
	limitSlack = 500 * time.Millisecond
)

// LimitGossip tells the other gateways that its sender is there, and what it knows of
// limits that upstreams name.
type LimitGossip struct {
	Process wardturn.Incarnation
	Seq     uint64        // counts the messages of the process
	Stamp   time.Duration // when it was sent, in the time of the process
	Limits  []LimitUpdate
}

// LimitUpdate is what a gateway knows of the limit of one upstream.
type LimitUpdate struct {
	Instance string
	Rate     float64       // requests a second of all gateways; zero: it is over
	Ago      time.Duration // since the answer that says so
}

// limitPeer is another gateway.
type limitPeer struct {
	hash     uint64
	seq      uint64
	lastSeen time.Time
}

// Word returns what the other gateways have to be told now, if anything; dirty says that
// it is something new.
func (l *Limits) Word(now time.Time) (w LimitGossip, dirty, due bool) {
	if now.Sub(l.announcedAt) < limitPause {
		return LimitGossip{}, false, false
	}
	knows := l.expects || len(l.cold) > 0
	for _, instance := range slices.Sorted(maps.Keys(l.named)) {
		n := l.named[instance]
		knows = knows || n.rate > 0
		if !n.dirty && !l.repeatDue(now, n) {
			continue
		}
		dirty = dirty || n.dirty
		n.dirty = false
		n.announcedAt = now
		n.announcedFor = latest(n.announcedFor, n.namedAt)
		w.Limits = append(w.Limits, n.update(now, instance))
	}
	beat := knows && now.Sub(l.announcedAt) >= limitBeat
	if len(w.Limits) == 0 && !beat {
		return LimitGossip{}, false, false
	}
	l.seq++
	l.announcedAt = now
	w.Process = l.self
	w.Seq = l.seq
	w.Stamp = now.Sub(l.start)
	return w, dirty, true
}

// repeatDue reports whether it is on this gateway to tell of a limit once more: it knows a
// later answer than was told of, or no other gateway has told lately. The gateways look at
// different times, so that few do at once.
func (l *Limits) repeatDue(now time.Time, n *namedLimit) bool {
	if n.rate == 0 {
		return false
	}
	if n.namedAt.Sub(n.announcedFor) >= limitRefresh {
		return true
	}
	spread := float64(l.hash) / (1 << 64)
	return now.Sub(n.announcedAt) >= limitRefresh+time.Duration(spread*float64(limitRefresh))
}

func (n *namedLimit) update(now time.Time, instance string) LimitUpdate {
	at := n.namedAt
	if n.rate == 0 {
		at = n.liftedAt
	}
	return LimitUpdate{
		Instance: instance,
		Rate:     n.rate,
		Ago:      now.Sub(at),
	}
}

// Heard takes the word of another gateway. It returns what was not known here.
func (l *Limits) Heard(now time.Time, w LimitGossip) (changes []LimitUpdate) {
	if w.Process == l.self {
		return nil
	}
	o := l.others[w.Process]
	if o == nil {
		o = &limitPeer{
			hash: hashString(string(w.Process)),
		}
		l.others[w.Process] = o
		l.sharedAt = time.Time{}
	}
	if w.Seq <= o.seq {
		return nil
	}
	o.seq = w.Seq
	o.lastSeen = now
	lag := now.Sub(l.start) - w.Stamp
	least, measured := l.lags.note(w.Process, lag)
	sent := now.Add(least - lag)
	for _, t := range w.Limits {
		if l.merge(now, t, sent.Add(-t.Ago), measured) {
			changes = append(changes, t)
		}
	}
	l.share(now)
	return changes
}

// merge takes what another gateway knows by an answer of a time, and reports whether that
// is new. The later answer counts. A first word has no other to measure its way by, and may
// be old: it ends no limit.
func (l *Limits) merge(now time.Time, t LimitUpdate, at time.Time, measured bool) (changed bool) {
	n := l.named[t.Instance]
	switch {
	case n == nil && t.Rate == 0:
		return false
	case n == nil:
		n = newNamedLimit()
		l.named[t.Instance] = n
	case t.Rate == 0:
		ends := n.rate > 0 && measured && at.After(n.namedAt)
		if ends {
			n.lift(at)
		}
		return ends
	case !at.After(n.liftedAt.Add(limitSlack)):
		// The sender missed the end.
		n.dirty = n.dirty || n.rate == 0 && now.Sub(n.announcedAt) >= limitRefresh
		return false
	}
	n.announcedAt = now
	n.announcedFor = latest(n.announcedFor, at)
	if n.rate > 0 && !at.After(n.namedAt.Add(limitSlack)) {
		return false
	}
	changed = n.rate != t.Rate
	l.set(now, n, at, t.Rate)
	return changed
}

// forget drops gateways that have been silent for long.
func (l *Limits) forget(now time.Time) {
	for p, o := range l.others {
		if now.Sub(o.lastSeen) > gatewaysMemory {
			delete(l.others, p)
		}
	}
}
