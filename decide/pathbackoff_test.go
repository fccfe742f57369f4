package decide_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/decide"
)

var _ = Describe("Backoff of a path", func() {
	// pause returns how long the path is not used from now on.
	pause := func(b *decide.PathBackoff, now time.Time) time.Duration {
		for d := time.Duration(0); ; d += 100 * time.Millisecond {
			if b.Allows(now.Add(d)) {
				return d
			}
		}
	}

	It("allows use at first and grows with each failure that follows soon", func() {
		b := &decide.PathBackoff{
			Random: func() float64 { return 0.5 },
		}
		now := start
		Expect(b.Allows(now)).To(BeTrue())
		var pauses []time.Duration
		for range 7 {
			since := now
			now = now.Add(time.Second)
			b.Fail(now, since)
			pauses = append(pauses, pause(b, now))
			now = now.Add(pauses[len(pauses)-1])
		}
		Expect(pauses).To(Equal([]time.Duration{
			3 * time.Second, 6 * time.Second, 12 * time.Second, 24 * time.Second, 48 * time.Second, time.Minute, time.Minute,
		}))
		since := now
		now = now.Add(time.Minute) // the path works for a long time
		b.Fail(now, since)
		Expect(pause(b, now)).To(Equal(3 * time.Second))
	})

	It("ends at different times in different processes", func() {
		early := &decide.PathBackoff{
			Random: func() float64 { return 0 },
		}
		late := &decide.PathBackoff{
			Random: func() float64 { return 0.99 },
		}
		early.Fail(start, start)
		late.Fail(start, start)
		Expect(pause(early, start)).To(BeNumerically("<", 2500*time.Millisecond))
		Expect(pause(late, start)).To(BeNumerically(">", 3500*time.Millisecond))
	})
})
