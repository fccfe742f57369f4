package decide_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
)

var _ = Describe("Crashes", func() {
	const (
		bad   = wardturn.ContentID("bad")
		other = wardturn.ContentID("other")
	)
	var (
		c   *decide.CrashTracker
		now time.Time
	)
	crash := func(content wardturn.ContentID, upstream string) wardturn.Crash {
		return wardturn.Crash{
			Content:  content,
			Upstream: wardturn.UpstreamID(upstream),
		}
	}
	// endUpstream has an upstream end while it serves some contents.
	endUpstream := func(upstream string, contents ...wardturn.ContentID) {
		for _, content := range contents {
			c.RequestBroke(now, content, wardturn.UpstreamID(upstream))
		}
		c.UpstreamEnded(now, wardturn.UpstreamID(upstream))
	}
	refuses := func(content wardturn.ContentID) bool {
		_, refused := c.Refuses(now, content)
		return refused
	}
	BeforeEach(func() {
		c = decide.NewCrashTracker(decide.CrashConfig{
			Limit:  3,
			Memory: 24 * time.Hour,
		})
		now = time.Unix(1_000_000, 0)
	})

	It("refuse a content for a day after three upstreams have ended while serving it", func() {
		for i, want := range []bool{false, false, true} {
			endUpstream(fmt.Sprint("u", i), bad)
			Expect(refuses(bad)).To(Equal(want))
		}
		Expect(refuses(other)).To(BeFalse())
		left, _ := c.Refuses(now, bad)
		Expect(left).To(Equal(24 * time.Hour))
		now = now.Add(left)
		Expect(refuses(bad)).To(BeFalse())
	})

	It("count an upstream once, whichever gateway reports it", func() {
		for range 3 {
			endUpstream("u", bad)
			Expect(c.AddReported(now, []wardturn.Crash{crash(bad, "u")})).To(BeEmpty())
		}
		Expect(refuses(bad)).To(BeFalse())
	})

	It("count crashes reported by other gateways", func() {
		endUpstream("u0", bad)
		Expect(c.AddReported(now, []wardturn.Crash{crash(bad, "u1"), crash(bad, "u2")})).To(HaveLen(2))
		Expect(refuses(bad)).To(BeTrue())
	})

	It("relate the end of an upstream to requests that broke off before and after it", func() {
		for i := range 3 {
			id := wardturn.UpstreamID(fmt.Sprint("u", i))
			Expect(c.RequestBroke(now, bad, id)).To(BeEmpty())
			now = now.Add(5 * time.Second)
			Expect(c.UpstreamEnded(now, id)).To(Equal([]wardturn.Crash{crash(bad, string(id))}))
			now = now.Add(5 * time.Second)
			Expect(c.RequestBroke(now, other, id)).To(Equal([]wardturn.Crash{crash(other, string(id))}))
		}
		Expect(refuses(bad)).To(BeTrue())
		Expect(refuses(other)).To(BeTrue())
	})

	It("do not suspect a request that broke off long before", func() {
		for i := range 3 {
			id := wardturn.UpstreamID(fmt.Sprint("u", i))
			c.RequestBroke(now, bad, id)
			now = now.Add(13 * time.Second)
			Expect(c.UpstreamEnded(now, id)).To(BeEmpty())
		}
		Expect(refuses(bad)).To(BeFalse())
	})

	It("do not suspect a request whose upstream did not end", func() {
		for i := range 10 {
			c.RequestBroke(now, other, wardturn.UpstreamID(fmt.Sprint("u", i)))
		}
		Expect(refuses(other)).To(BeFalse())
	})

	It("clear a content that ran beside a crashing one once it is answered", func() {
		endUpstream("u0", bad, other)
		endUpstream("u1", bad, other)
		Expect(c.Answered(now, other)).To(BeTrue())
		now = now.Add(3 * time.Second)
		endUpstream("u2", bad, other)
		Expect(refuses(bad)).To(BeTrue())
		Expect(refuses(other)).To(BeFalse())
	})

	It("do not suspect a frequently answered content when many upstreams end at once", func() {
		c.Answered(now, other)
		now = now.Add(time.Second)
		for i := range 5 {
			endUpstream(fmt.Sprint("u", i), other)
		}
		Expect(refuses(other)).To(BeFalse())
	})

	It("refuse a content that starts to crash upstreams after it was answered", func() {
		c.Answered(now, bad)
		now = now.Add(2 * time.Second)
		for i := range 3 {
			endUpstream(fmt.Sprint("u", i), bad)
		}
		Expect(refuses(bad)).To(BeTrue())
	})

	It("record the crashes observed by this gateway once, for contents with two crashes", func() {
		endUpstream("u0", bad, other)
		due, _ := c.PendingWrites(now, false)
		Expect(due).To(BeEmpty())
		all, _ := c.PendingWrites(now, true)
		Expect(all).To(HaveLen(2))
		c.AddReported(now, []wardturn.Crash{crash(bad, "u1")})
		due, _ = c.PendingWrites(now, false)
		Expect(due).To(Equal([]wardturn.Crash{crash(bad, "u0")}))
		c.Written(due, nil)
		due, _ = c.PendingWrites(now, false)
		Expect(due).To(BeEmpty())
	})

	It("record a crash observed by another gateway that has not recorded it for long", func() {
		c.AddReported(now, []wardturn.Crash{crash(bad, "u0"), crash(bad, "u1"), crash(other, "u0")})
		due, _ := c.PendingWrites(now, false)
		Expect(due).To(BeEmpty())
		now = now.Add(time.Second)
		c.AddRecorded(now, []wardturn.RecordedCrash{{
			Crash: crash(bad, "u0"),
			At:    now,
		}})
		now = now.Add(2 * time.Second)
		due, _ = c.PendingWrites(now, false)
		Expect(due).To(Equal([]wardturn.Crash{crash(bad, "u1")}))
	})

	It("record again what the store has lost, first through the gateway that observed it", func() {
		endUpstream("u0", bad)
		endUpstream("u1", bad)
		c.AddReported(now, []wardturn.Crash{crash(bad, "u2")})
		due, _ := c.PendingWrites(now, false)
		c.Written(due, nil)
		c.AddRecorded(now, []wardturn.RecordedCrash{{
			Crash: crash(bad, "u2"),
			At:    now,
		}})
		now = now.Add(time.Hour)
		c.StoreRestored(now)
		c.AddRecorded(now, []wardturn.RecordedCrash{{
			Crash: crash(bad, "u0"),
			At:    now,
		}})
		due, _ = c.PendingWrites(now, false)
		Expect(due).To(Equal([]wardturn.Crash{crash(bad, "u1")}))
		now = now.Add(3 * time.Second)
		due, _ = c.PendingWrites(now, false)
		Expect(due).To(Equal([]wardturn.Crash{crash(bad, "u1"), crash(bad, "u2")}))
		Expect(refuses(bad)).To(BeTrue())
	})

	It("delete records that no longer apply", func() {
		endUpstream("u0", bad)
		endUpstream("u1", bad)
		due, _ := c.PendingWrites(now, false)
		c.Written(due, nil)
		c.Answered(now, bad)
		_, deletes := c.PendingWrites(now, false)
		Expect(deletes).To(Equal(due))
		c.Written(nil, deletes)
		_, deletes = c.PendingWrites(now, false)
		Expect(deletes).To(BeEmpty())
	})

	It("delete a record that was written while its content was answered", func() {
		endUpstream("u0", bad)
		endUpstream("u1", bad)
		due, _ := c.PendingWrites(now, false)
		c.Answered(now, bad)
		c.Written(due, nil)
		_, deletes := c.PendingWrites(now, false)
		Expect(deletes).To(Equal(due))
	})

	It("count the records of earlier gateways in the store until they expire", func() {
		at := func(ago time.Duration, upstream string) wardturn.RecordedCrash {
			return wardturn.RecordedCrash{
				Crash: crash(bad, upstream),
				At:    now.Add(-ago),
			}
		}
		c.AddRecorded(now, []wardturn.RecordedCrash{at(25*time.Hour, "u0"), at(time.Hour, "u1"), at(-time.Hour, "u2")})
		Expect(refuses(bad)).To(BeFalse())
		c.AddRecorded(now, []wardturn.RecordedCrash{at(2*time.Hour, "u3")})
		Expect(refuses(bad)).To(BeTrue())
		c.RecordsRemoved([]wardturn.Crash{crash(bad, "u3")})
		Expect(refuses(bad)).To(BeFalse())
	})

	It("expire, and delete their records", func() {
		for i := range 3 {
			endUpstream(fmt.Sprint("u", i), bad)
		}
		due, _ := c.PendingWrites(now, false)
		c.Written(due, nil)
		c.AddReported(now, []wardturn.Crash{crash(other, "u9")})
		now = now.Add(24 * time.Hour)
		c.Sweep(now)
		_, deletes := c.PendingWrites(now, false)
		Expect(deletes).To(Equal(due))
		endUpstream("u4", bad)
		Expect(refuses(bad)).To(BeFalse())
	})

	It("keep the contents with the most crashes when there are too many", func() {
		for i := range 3 {
			endUpstream(fmt.Sprint("u", i), bad)
		}
		for i := range 1 << 16 {
			c.AddReported(now, []wardturn.Crash{crash(wardturn.ContentID(fmt.Sprint("c", i)), "u")})
		}
		Expect(refuses(bad)).To(BeTrue())
	})
})
