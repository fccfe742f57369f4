package control

import (
	"slices"
	"strings"
	"sync"

	"go.yaml.in/yaml/v3"

	"wardturn"
)

// Catalog is a typed view of the configuration for the admission of requests. It is
// updated when its replica changes, and is safe for concurrent use.
type Catalog struct {
	replica *Replica

	mu          sync.RWMutex
	adapters    map[wardturn.AdapterID]AdapterDoc
	services    map[wardturn.ServiceName]ServiceDoc
	callers     map[wardturn.CallerID]CallerDoc
	teams       map[wardturn.TeamID]TeamDoc
	callerByKey map[string]wardturn.CallerID // by digest
	teamByKey   map[string]wardturn.TeamID   // by digest
}

// NewCatalog returns a catalog that is kept up to date with the replica.
func NewCatalog(r *Replica) *Catalog {
	c := &Catalog{
		replica:     r,
		adapters:    make(map[wardturn.AdapterID]AdapterDoc),
		services:    make(map[wardturn.ServiceName]ServiceDoc),
		callers:     make(map[wardturn.CallerID]CallerDoc),
		teams:       make(map[wardturn.TeamID]TeamDoc),
		callerByKey: make(map[string]wardturn.CallerID),
		teamByKey:   make(map[string]wardturn.TeamID),
	}
	r.Watch(c.update)
	for _, d := range r.Docs("") {
		c.update(d.Key)
	}
	return c
}

// update updates the catalog with the current version of a document. It reads the
// document while it holds the lock, so that of two concurrent loads the one that writes
// last has the newer version.
func (c *Catalog) update(key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.replica.Get(key)
	name := NameOf(key)
	switch KindOf(key) {
	case KindAdapter:
		updateEntry(c.adapters, wardturn.AdapterID(name), d.Body, ok)
	case KindService:
		updateEntry(c.services, wardturn.ServiceName(name), d.Body, ok)
	case KindCaller:
		old := c.callers[wardturn.CallerID(name)]
		updateEntry(c.callers, wardturn.CallerID(name), d.Body, ok)
		replaceKeys(c.callerByKey, wardturn.CallerID(name), old.KeyDigests, c.callers[wardturn.CallerID(name)].KeyDigests)
	case KindTeam:
		old := c.teams[wardturn.TeamID(name)]
		updateEntry(c.teams, wardturn.TeamID(name), d.Body, ok)
		replaceKeys(c.teamByKey, wardturn.TeamID(name), old.Operators, c.teams[wardturn.TeamID(name)].Operators)
	}
}

// updateEntry replaces an entry, or removes it if ok is false. A body that cannot be
// decoded removes the entry too; bodies are validated before publication.
func updateEntry[K comparable, V any](m map[K]V, k K, body []byte, ok bool) {
	var v V
	if !ok || yaml.Unmarshal(body, &v) != nil {
		delete(m, k)
		return
	}
	m[k] = v
}

// replaceKeys replaces the key digests of one owner.
func replaceKeys[O comparable](m map[string]O, owner O, oldDigests, digests []string) {
	for _, k := range oldDigests {
		if m[k] == owner {
			delete(m, k)
		}
	}
	for _, k := range digests {
		m[k] = owner
	}
}

// Adapter returns an adapter's configuration.
func (c *Catalog) Adapter(id wardturn.AdapterID) (AdapterDoc, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	d, ok := c.adapters[id]
	return d, ok
}

// Adapters returns the names of all adapters, sorted.
func (c *Catalog) Adapters() []wardturn.AdapterID {
	c.mu.RLock()
	defer c.mu.RUnlock()
	list := make([]wardturn.AdapterID, 0, len(c.adapters))
	for id := range c.adapters {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// Resolve sets the default version in a reference that has none. It returns the base
// model and reports whether the adapter has the version.
func (c *Catalog) Resolve(ref wardturn.AdapterRef) (wardturn.AdapterRef, wardturn.BaseModel, bool) {
	d, ok := c.Adapter(ref.Adapter)
	if !ok {
		return ref, "", false
	}
	if ref.Version == 0 {
		ref.Version = d.Version
	}
	ok = ref.Version == d.Version || slices.Contains(d.Versions, ref.Version)
	return ref, d.BaseModel, ok
}

// Service returns a service's configuration.
func (c *Catalog) Service(name wardturn.ServiceName) (ServiceDoc, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	d, ok := c.services[name]
	return d, ok
}

// Caller returns a caller's configuration.
func (c *Catalog) Caller(id wardturn.CallerID) (CallerDoc, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	d, ok := c.callers[id]
	return d, ok
}

// CallerByKeyDigest returns the caller that the key with the given digest belongs to.
func (c *Catalog) CallerByKeyDigest(digest string) (wardturn.CallerID, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	id, ok := c.callerByKey[digest]
	return id, ok
}

// TeamByKeyDigest returns the team that the operator key with the given digest belongs to.
func (c *Catalog) TeamByKeyDigest(digest string) (wardturn.TeamID, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	id, ok := c.teamByKey[digest]
	return id, ok
}

// KeyDigest returns the digest by which a key is configured.
func KeyDigest(key string) string {
	return wardturn.DigestKey(key).String()
}

// MatchesPattern reports whether a name matches one of the patterns. A pattern is a name,
// or a prefix followed by *.
func MatchesPattern(patterns []string, name string) bool {
	return slices.ContainsFunc(patterns, func(p string) bool {
		if prefix, ok := strings.CutSuffix(p, "*"); ok {
			return strings.HasPrefix(name, prefix)
		}
		return p == name
	})
}
