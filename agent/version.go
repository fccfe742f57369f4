package agent

import (
	"time"

	"go.yaml.in/yaml/v3"

	"wardturn"
	"wardturn/control"
	"wardturn/decide"
)

// versionReplaced reports whether an attempt that requested the current version of its
// adapter has a version that has been replaced since. If so, it records the offset of
// the configuration that replaced the version. a.mu is held.
func (a *Agent) versionReplaced(t *attempt) bool {
	if !t.wantsNewest {
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
	t.replacedBy = doc.Version
	return true
}

// refuseReplaced refuses the waiting attempts that requested the current version of an
// adapter and whose version has been replaced. Their entries resend them with the new
// version.
func (a *Agent) refuseReplaced(id wardturn.AdapterID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.attempts {
		if t.ended || t.req.Adapter.Adapter != id || !a.versionReplaced(t) {
			continue
		}
		wasQueued := false
		a.applyLocked(func(now time.Time, out *decide.Orders) {
			wasQueued = a.core.Cancel(now, t.id, out)
		})
		if !wasQueued {
			t.replacedBy = 0 // it is running already
			continue
		}
		a.finish(t, wardturn.Refused(wardturn.ReasonStaleConfig, 0))
	}
}
