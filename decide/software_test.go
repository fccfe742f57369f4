package decide_test

import (
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
)

// newSoftwareFixture is newFleetFixture with version v1 of the engines in the failure domain
// near and v2 of those in far.
func newSoftwareFixture() (x *fleetFixture, members []wardturn.Member) {
	x = newRegionFixture()
	members = fleetMembers()
	for i, m := range members {
		members[i].Software = "v1"
		if m.Domain == "far" {
			members[i].Software = "v2"
		}
	}
	x.f.SetMembers(x.now, members)
	return x, members
}

// resume admits a request that continues a stream of a software version, after it was sent to
// some upstreams. It returns the assignment if it was decided at once.
func (x *fleetFixture) resume(adapter string, software wardturn.SoftwareVersion, tried ...wardturn.UpstreamID) (a decide.Assignment, decided bool) {
	x.f.Admit(x.now, &decide.PendingRequest{
		Service:   fleetService,
		Key:       adapterKey(adapter),
		Arrived:   x.now,
		Objective: 600 * time.Millisecond,
		Deadline:  x.now.Add(5 * time.Second),
		Software:  wardturn.SoftwareVersions{software},
		Tried:     tried,
		Assign: func(got decide.Assignment) {
			a = got
			decided = true
		},
	}, &x.out)
	return a, decided
}

func TestSoftwareOfResumedStreams(t *testing.T) {
	x, members := newSoftwareFixture()
	x.holdEverywhere("a")
	for range 6 { // more than the nearer engines would take
		if a, ok := x.resume("a", "v2"); !ok || a.Member.Software != "v2" {
			t.Fatalf("sent to %q of version %q", a.Member.ID, a.Member.Software)
		}
	}
	for _, c := range []struct {
		name     string
		software wardturn.SoftwareVersion
		tried    []wardturn.UpstreamID
		want     wardturn.Reason
	}{
		{"a version that no upstream has", "v3", nil, wardturn.ReasonSoftware},
		{"no version", "", nil, wardturn.ReasonSoftware},
		{"sent to all of the version", "v1", []wardturn.UpstreamID{"n0", "n1"}, wardturn.ReasonQueueFull},
	} {
		if a, ok := x.resume("a", c.software, c.tried...); !ok || a.Reason != c.want {
			t.Errorf("%s: %+v, want a refusal at once with reason %s", c.name, a, c.want)
		}
	}
	for i, m := range members {
		members[i].Draining = m.Software == "v1"
	}
	x.f.SetMembers(x.now, members)
	if a, ok := x.resume("a", "v1"); !ok || a.Reason != wardturn.ReasonSoftware {
		t.Errorf("all of the version are leaving: %+v, want a refusal at once", a)
	}
}

// An adapter that is held by upstreams of another version only is loaded at one of the right
// version, and one that streams of two versions need is loaded at both.
func TestSoftwareOfLoads(t *testing.T) {
	x, _ := newSoftwareFixture()
	x.holdEverywhere("a")
	x.out.LoadRequests = nil
	x.resume("b", "v1")
	x.resume("b", "v2")
	asked := make(map[byte]int)
	for _, r := range x.out.LoadRequests {
		asked[r.Upstream[0]]++
	}
	if asked['n'] != 1 || asked['f'] != 1 {
		t.Errorf("loads requested: %v, want one at each version", x.out.LoadRequests)
	}
}
