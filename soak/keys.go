package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	callerTeam = "clerks"
	// permanentKey is in every configuration and unknownKey in none. Each configuration
	// has one more key, which the next one replaces.
	permanentKey = "key-stay"
	unknownKey   = "key-none"
	// maxKeyDelay is how long after the removal of a key from the configuration a request
	// with it may still run; it follows a setting of the gateways.
	maxKeyDelay = 5 * time.Second
)

// teamKeys are the API keys of the team that the soak's callers belong to.
type teamKeys struct {
	mu        sync.Mutex
	current   string
	removedAt map[string]time.Time // when the store had accepted the removal, by key
	all       []string
}

func rotatedKey(version int) string {
	return fmt.Sprintf("key-turn-%d", version)
}

// recordVersion records that the store has accepted a version of the configuration.
func (k *teamKeys) recordVersion(version int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.removedAt == nil {
		k.removedAt = make(map[string]time.Time)
	}
	if k.current != "" {
		k.removedAt[k.current] = time.Now()
	}
	k.current = rotatedKey(version)
	k.all = append(k.all, k.current)
}

// randomKey returns a random key for a request.
func (k *teamKeys) randomKey(r *rand.Rand) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch n := r.IntN(20); {
	case n == 0:
		return unknownKey
	case n <= 2 && len(k.all) > 0:
		return k.all[r.IntN(len(k.all))]
	}
	return permanentKey
}

// teamOf returns the team that a key belongs to.
func teamOf(key string) string {
	if key == surgeKey {
		return surgeTeam
	}
	return callerTeam
}

// mayRun reports whether a request sent at the given time with a key may run.
func (k *teamKeys) mayRun(key string, sent time.Time) bool {
	if key == unknownKey {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	at, removed := k.removedAt[key]
	return !removed || !sent.After(at.Add(maxKeyDelay))
}

// keyedAttempt is an attempt with its API key.
type keyedAttempt struct {
	id   string
	key  string
	sent time.Time
}

// checkKeys checks that no request ran without a valid key, and that upstreams received
// the team in place of the key.
func (c *requestChecker) checkKeys() {
	c.mu.Lock()
	list := c.keyed
	c.mu.Unlock()
	for _, a := range list {
		if c.world.runs(a.id) > 0 && !c.world.keys.mayRun(a.key, a.sent) {
			c.addViolation("%s: ran with %s, sent at %s", a.id, a.key, a.sent.Format(time.StampMilli))
		}
		for _, u := range c.world.upstreams {
			h := u.worker.Headers(a.id)
			if h == nil {
				continue
			}
			if got := h.Values(platformHeaders.Team); len(got) != 1 || got[0] != teamOf(a.key) || h.Get("Authorization") != "" {
				c.addViolation("%s: reached %s as team %q, with a key: %v", a.id, u.id, got, h.Get("Authorization") != "")
			}
		}
	}
}
