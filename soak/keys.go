package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	soakTeam = "clerks"
	// stayKey is in every configuration, noKey in none; between two configurations
	// one more key is taken away and another added.
	stayKey = "key-stay"
	noKey   = "key-none"
	// keyBound is how long after a configuration without a key requests may be sent
	// that run with it: the gateways' setting.
	keyBound = 5 * time.Second
)

// teamKeys are the keys of the team whose callers a soak plays.
type teamKeys struct {
	mu      sync.Mutex
	present string
	removed map[string]time.Time // of keys that were taken away, when the store had taken that
	all     []string
}

func turnKey(version int) string {
	return fmt.Sprintf("key-turn-%d", version)
}

// configured records that the store holds a version of the configuration.
func (k *teamKeys) configured(version int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.removed == nil {
		k.removed = make(map[string]time.Time)
	}
	if k.present != "" {
		k.removed[k.present] = time.Now()
	}
	k.present = turnKey(version)
	k.all = append(k.all, k.present)
}

// draw returns the key of a request.
func (k *teamKeys) draw(r *rand.Rand) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch n := r.IntN(20); {
	case n == 0:
		return noKey
	case n <= 2 && len(k.all) > 0:
		return k.all[r.IntN(len(k.all))]
	}
	return stayKey
}

// mayRun reports whether a request with a key that was sent at a time may run.
func (k *teamKeys) mayRun(key string, sent time.Time) bool {
	if key == noKey {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	at, gone := k.removed[key]
	return !gone || !sent.After(at.Add(keyBound))
}

// keyedAttempt is a request with its key.
type keyedAttempt struct {
	id   string
	key  string
	sent time.Time
}

// settleKeys holds the keys of requests against what ran, and as which team.
func (l *ledger) settleKeys() {
	l.mu.Lock()
	list := l.keyed
	l.mu.Unlock()
	for _, a := range list {
		if l.w.runs(a.id) > 0 && !l.w.keys.mayRun(a.key, a.sent) {
			l.broken("%s: ran with %s, sent at %s", a.id, a.key, a.sent.Format(time.StampMilli))
		}
		for _, u := range l.w.upstreams {
			h := u.worker.Headers(a.id)
			if h == nil {
				continue
			}
			if got := h.Values(names.Team); len(got) != 1 || got[0] != soakTeam || h.Get("Authorization") != "" {
				l.broken("%s: reached %s as team %q, with a key: %v", a.id, u.id, got, h.Get("Authorization") != "")
			}
		}
	}
}
