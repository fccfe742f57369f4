package gateway

import (
	"testing"
	"time"

	"wardturn"
)

// Software versions are not part of an announced change, whose form older builds fix.
func TestSoftwareOfAnnouncedChange(t *testing.T) {
	change := func(id wardturn.UpstreamID) wardturn.MemberChange {
		return wardturn.MemberChange{
			Changed: []wardturn.Member{
				{
					ID: id,
				},
			},
		}
	}
	for _, c := range []struct {
		name      string
		listed    wardturn.SoftwareVersion // of u1
		announced map[wardturn.UpstreamID]wardturn.SoftwareVersion
		id        wardturn.UpstreamID
		want      wardturn.SoftwareVersion
		applied   bool
	}{
		{"known upstream", "v1", nil, "u1", "v1", true},
		{"new upstream, announced", "v1", map[wardturn.UpstreamID]wardturn.SoftwareVersion{"u3": "v2"}, "u3", "v2", true},
		{"new upstream, announced without a version", "v1", map[wardturn.UpstreamID]wardturn.SoftwareVersion{"u3": ""}, "u3", "", true},
		{"new upstream, announced by an older build", "v1", nil, "u3", "", false},
		{"new upstream where none states a version", "", nil, "u3", "", true},
		{"first upstream with a version", "", map[wardturn.UpstreamID]wardturn.SoftwareVersion{"u3": "v1"}, "u3", "v1", true},
	} {
		x := newMembershipRig()
		x.source.members[0].Software = c.listed
		x.read(nil)
		x.announced = func(id wardturn.UpstreamID) (wardturn.SoftwareVersion, bool) {
			v, ok := c.announced[id]
			return v, ok
		}
		ch := change(c.id)
		if _, ok := x.apply(ch, time.Time{}); ok != c.applied {
			t.Errorf("%s: applied %v, want %v", c.name, ok, c.applied)
		}
		if got := ch.Changed[0].Software; got != c.want {
			t.Errorf("%s: version %q, want %q", c.name, got, c.want)
		}
	}
}
