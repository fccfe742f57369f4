package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	soakTeam = "clerks"
	// stayKey is in every configuration and noKey in none. Each configuration has one
	// more key, which the next one replaces.
	stayKey = "key-stay"
	noKey   = "key-none"
	// keyBound is how long after the removal of a key from the configuration a request
	// with it may still run; it follows a setting of the gateways.
	keyBound = 5 * time.Second
)

// teamKeys are the API keys of the team that the soak's callers belong to.
type teamKeys struct {
	mu      sync.Mutex
	present string
	removed map[string]time.Time // when the store had accepted the removal, by key
	all     []string
}

func turnKey(version int) string {
	return fmt.Sprintf("key-turn-%d", version)
}

// configured records that the store has accepted a version of the configuration.
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

// draw returns a random key for a request.
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

// mayRun reports whether a request sent at the given time with a key may run.
func (k *teamKeys) mayRun(key string, sent time.Time) bool {
	if key == noKey {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	at, gone := k.removed[key]
	return !gone || !sent.After(at.Add(keyBound))
}

// keyedAttempt is an attempt with its API key.
type keyedAttempt struct {
	id   string
	key  string
	sent time.Time
}

// settleKeys checks that no request ran without a valid key, and that upstreams received
// the team in place of the key.
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
