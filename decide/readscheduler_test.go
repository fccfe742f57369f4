package decide_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/decide"
)

var _ = Describe("ReadScheduler", func() {
	const (
		every = time.Second
		least = 250 * time.Millisecond
	)
	var now time.Time
	newScheduler := func(self wardturn.Incarnation) *decide.ReadScheduler {
		return decide.NewReadScheduler(now, self, decide.ReadSchedulerConfig{
			MaxAge:      every,
			Interval:    every,
			MinInterval: least,
		})
	}
	due := func(s *decide.ReadScheduler) time.Duration {
		return s.DueAt(now).Sub(now)
	}
	BeforeEach(func() {
		now = start
	})

	It("is due at the start, and after a pause while no other process reads", func() {
		s := newScheduler("b")
		Expect(due(s)).To(BeNumerically("<=", 0))
		s.ReadSucceeded(now)
		Expect(due(s)).To(Equal(every))
	})

	It("retries failed reads at a constant interval", func() {
		s := newScheduler("b")
		s.ReadSucceeded(now)
		now = now.Add(2 * every)
		s.Invalidate(now)
		var pauses []time.Duration
		for range 5 {
			s.ReadStarted(now)
			s.ReadFailed(now)
			pauses = append(pauses, due(s))
			now = now.Add(due(s))
		}
		Expect(pauses).To(Equal([]time.Duration{least, least, least, least, least}))
		s.ReadStarted(now)
		s.ReadSucceeded(now.Add(-time.Millisecond))
		s.Invalidate(now)
		Expect(due(s)).To(Equal(least))
	})

	// Every gateway reads the store itself when it learns of a change, so without this
	// changes in quick succession would cost one read per gateway and change.
	It("reads changes in quick succession together, and a single change soon", func() {
		const gather = 800 * time.Millisecond
		s := decide.NewReadScheduler(now, "b", decide.ReadSchedulerConfig{
			MaxAge:                 10 * every, // no read by age alone
			MinInvalidatedInterval: gather,
		})
		began := now
		reads := 0
		seen := began // all changes up to this time have been read
		longest := time.Duration(0)
		changed := func(at time.Duration) bool {
			return at >= time.Second && at <= 4*time.Second && at%(300*time.Millisecond) == 0
		}
		var waits []time.Time
		for at := time.Duration(0); at < 8*time.Second; at += 10 * time.Millisecond {
			now = began.Add(at)
			switch {
			case changed(at):
				s.Invalidate(now)
				waits = append(waits, now)
			case at%time.Second == 0 && len(waits) == 0:
				// A read of another process counts only if it includes all changes.
				s.PeerRead(now, "a", at)
			}
			if len(waits) > 0 && due(s) <= 0 {
				s.ReadStarted(now)
				s.ReadSucceeded(now)
				reads++
				longest = max(longest, now.Sub(waits[0]))
				waits = nil
				seen = now
			}
		}
		Expect(seen).To(BeTemporally(">", began.Add(4*time.Second-gather)))
		Expect(waits).To(BeEmpty())
		Expect(reads).To(BeNumerically("<=", 5))
		Expect(longest).To(BeNumerically("<=", gather+100*time.Millisecond))
		now = began.Add(10 * time.Second)
		s.Invalidate(now)
		Expect(due(s)).To(BeNumerically("<=", 100*time.Millisecond))
	})

	It("returns the cause of a read", func() {
		s := newScheduler("b")
		Expect(s.Cause(now)).To(Equal(decide.ReadFirst))
		s.ReadSucceeded(now)
		now = now.Add(2 * every)
		Expect(s.Cause(now)).To(Equal(decide.ReadAsLeader))
		s.ReadFailed(now)
		Expect(s.Cause(now)).To(Equal(decide.ReadRetry))
		s.ReadSucceeded(now)
		s.Invalidate(now.Add(time.Millisecond))
		Expect(s.Cause(now.Add(time.Millisecond))).To(Equal(decide.ReadInvalidated))
		s.ReadSucceeded(now.Add(2 * time.Millisecond))
		s.PeerRead(now, "a", 0)
		now = now.Add(time.Duration(1.5 * float64(every)))
		Expect(s.Cause(now)).To(Equal(decide.ReadFallback))
	})

	It("leaves the reads to the process with the lowest ID while its reports arrive", func() {
		a, b := newScheduler("a"), newScheduler("b")
		for range 10 {
			stamp := a.ReadSucceeded(now)
			b.PeerRead(now, "a", stamp)
			a.PeerRead(now, "b", stamp)
			Expect(due(a)).To(Equal(every))
			Expect(due(b)).To(And(BeNumerically(">", every), BeNumerically("<", 3*every/2)))
			now = now.Add(every)
		}
	})

	It("reads when the reports of others fail to arrive, and becomes the leader after a while", func() {
		a, b := newScheduler("a"), newScheduler("b")
		b.PeerRead(now, "a", a.ReadSucceeded(now))
		now = now.Add(3 * every / 2)
		Expect(due(b)).To(BeNumerically("<=", 0))
		now = now.Add(every)
		b.ReadSucceeded(now)
		Expect(due(b)).To(Equal(every))
	})

	It("does not have all processes read at once when the leader is gone", func() {
		const n = 200
		var schedulers []*decide.ReadScheduler
		var ids []wardturn.Incarnation
		for i := range n {
			ids = append(ids, wardturn.Incarnation(fmt.Sprintf("%03d", i)))
			schedulers = append(schedulers, newScheduler(ids[i]))
		}
		read := func(i int) {
			stamp := schedulers[i].ReadSucceeded(now)
			for j, s := range schedulers {
				if j != i {
					s.PeerRead(now, ids[i], stamp)
				}
			}
		}
		reads := 0
		step := func() { // a report takes one step
			now = now.Add(time.Millisecond)
			var all []int
			for i := range schedulers {
				if due(schedulers[i]) <= 0 {
					all = append(all, i)
				}
			}
			for _, i := range all {
				read(i)
			}
			reads += len(all)
		}
		read(0)
		for range 5000 {
			step()
		}
		Expect(reads).To(BeNumerically("<=", 8))
		for range 5 {
			schedulers, ids = schedulers[1:], ids[1:]
			reads = 0
			for range 5000 {
				step()
			}
			// One read per second, plus some until the new leader is known.
			Expect(reads).To(BeNumerically("<=", 25))
		}
	})

	It("recognizes the age of a delayed report", func() {
		a, b := newScheduler("a"), newScheduler("b")
		now = now.Add(time.Minute)
		b.PeerRead(now, "a", a.ReadSucceeded(now))
		held := a.ReadSucceeded(now.Add(every))
		now = now.Add(4 * every)
		b.PeerRead(now, "a", held)
		Expect(due(b)).To(BeNumerically("<", 0))
	})

	It("allows for processes whose clocks started at different times", func() {
		a := newScheduler("a")
		now = now.Add(time.Hour)
		b := newScheduler("b")
		b.PeerRead(now, "a", a.ReadSucceeded(now))
		Expect(due(b)).To(BeNumerically(">", every))
	})

	It("is due soon after a contradiction unless another process has read since", func() {
		a, b := newScheduler("a"), newScheduler("b")
		b.PeerRead(now, "a", a.ReadSucceeded(now))
		now = now.Add(10 * time.Millisecond)
		b.Invalidate(now)
		Expect(due(b)).To(BeNumerically("<=", 100*time.Millisecond))
		b.PeerRead(now, "a", a.ReadSucceeded(now))
		Expect(due(b)).To(BeNumerically(">", every))
	})

	It("keeps a minimum time between its own reads", func() {
		s := newScheduler("a")
		s.ReadStarted(now)
		s.Invalidate(now)
		Expect(due(s)).To(Equal(least))
	})
})
