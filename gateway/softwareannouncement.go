package gateway

import (
	"time"

	"wardturn"
	"wardturn/peer"
)

// maxAnnouncedSoftware bounds the number of upstreams whose announced software version is
// remembered until the change of the list that names them is applied.
const maxAnnouncedSoftware = 4096

// announcedSoftware holds the announced software versions of upstreams.
type announcedSoftware map[wardturn.UpstreamID]wardturn.SoftwareVersion

// announceSoftware sends the software versions of the upstreams in a change of the list, ahead
// of the change.
func (rc *readCoordinator) announceSoftware(c *peer.Conn, change *wardturn.MemberChange) {
	if change == nil || len(change.Changed) == 0 || !c.Understands(peer.FeatureStreamOrigins) {
		return
	}
	m := &peer.SoftwareAnnouncement{}
	for _, e := range change.Changed {
		m.Upstreams = append(m.Upstreams, peer.UpstreamSoftware{
			Upstream: e.ID,
			Software: e.Software,
		})
	}
	// Errors are ignored: a gateway that lacks a version reads the list itself.
	_ = c.Send(m)
}

// receiveSoftware handles the software versions that another gateway announced.
func (rc *readCoordinator) receiveSoftware(m *peer.SoftwareAnnouncement) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.software == nil || len(rc.software) > maxAnnouncedSoftware {
		rc.software = make(announcedSoftware)
	}
	for _, u := range m.Upstreams {
		rc.software[u.Upstream] = u.Software
	}
}

// announcedSoftwareOf returns the announced software version of an upstream.
func (rc *readCoordinator) announcedSoftwareOf(id wardturn.UpstreamID) (wardturn.SoftwareVersion, bool) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	v, ok := rc.software[id]
	return v, ok
}

// membersCurrent reports whether the list was known to be current at most maxAge ago.
func (rc *readCoordinator) membersCurrent(now time.Time, maxAge time.Duration) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	asOf := rc.members.AsOf()
	return !asOf.IsZero() && now.Sub(asOf) <= maxAge
}

// completeSoftware sets the software versions of a change that another gateway announced. It
// reports false if one is not known, which is the case if that gateway or the keeper between
// is of an older build.
func (ms *membership) completeSoftware(c wardturn.MemberChange) bool {
	for i, e := range c.Changed {
		if known, ok := ms.byID[e.ID]; ok {
			c.Changed[i].Software = known.Software
			continue
		}
		v, ok := wardturn.SoftwareVersion(""), false
		if ms.announced != nil {
			v, ok = ms.announced(e.ID)
		}
		if !ok && ms.statesSoftware() {
			return false
		}
		c.Changed[i].Software = v
	}
	return true
}

func (ms *membership) statesSoftware() bool {
	for _, m := range ms.current {
		if m.Software != "" {
			return true
		}
	}
	return false
}
