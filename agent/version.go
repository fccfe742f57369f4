package agent

import (
	"time"

	"go.yaml.in/yaml/v3"

	"wardturn"
	"wardturn/control"
	"wardturn/decide"
)

// outOfForce reports whether an attempt that asked for the version in force is for
// another one by now, and records the configuration that says so; the lock is held.
func (a *Agent) outOfForce(t *attempt) bool {
	if !t.newest {
		return false
	}
	doc, ok := a.replica.Get(control.KeyOf(control.KindAdapter, string(t.req.Adapter.Adapter)))
	if !ok || doc.Version <= t.config {
		return false
	}
	var d control.AdapterDoc
	if yaml.Unmarshal(doc.Body, &d) != nil || d.Version == t.req.Adapter.Version {
		return false
	}
	t.replaced = doc.Version
	return true
}

// replaceVersion hands back the waiting attempts for an adapter that asked for the
// version in force and are for another one. Their entries send them again.
func (a *Agent) replaceVersion(id wardturn.AdapterID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.attempts {
		if t.ended || t.req.Adapter.Adapter != id || !a.outOfForce(t) {
			continue
		}
		waited := false
		a.do(func(now time.Time, out *decide.Orders) {
			waited = a.core.Cancel(now, t.id, out)
		})
		if !waited {
			t.replaced = 0 // it runs
			continue
		}
		a.finish(t, wardturn.Refused(wardturn.ReasonStaleConfig, 0))
	}
}
