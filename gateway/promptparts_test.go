package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/standin"
)

// sendWithParts sends a request whose prompt has the given parts, before a part of its own,
// through a gateway. The request is like no other.
func (x *crashRig) sendWithParts(i int, path, model string, parts ...string) reply {
	return x.sendNamedWithParts("part", i, path, model, parts...)
}

// sendNamedWithParts is sendWithParts with a prefix for the ID of the attempt.
func (x *crashRig) sendNamedWithParts(name string, i int, path, model string, parts ...string) reply {
	n := attempts.Add(1)
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("%s%s%d", x.fronts[i], path, n), strings.NewReader(fmt.Sprintf("prompt %d", n)))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set("X-Wardturn-Attempt-Id", fmt.Sprintf("%s-%d", name, n))
	req.Header.Set("X-Wardturn-Deadline-Ms", "3000")
	var prompt strings.Builder
	for _, p := range parts {
		fmt.Fprintf(&prompt, "%s:400,", p)
	}
	fmt.Fprintf(&prompt, "%x:50", n+1<<32)
	req.Header.Set("X-Wardturn-Prompt-Prefix", prompt.String())
	if model != "" {
		req.Header.Set("X-Wardturn-Model", model)
	}
	return x.do(req)
}

var _ = Describe("Lines about lost responses", func() {
	const (
		shared = "a1"
		fatal  = "bad1"
	)
	var x *crashRig
	BeforeEach(func() {
		x = newCrashRig()
	})
	partID := func(service wardturn.ServiceName, part string) string {
		return string(wardturn.PromptPartID(service, part))
	}

	It("name the shared parts of the prompt and whether a response had begun", func() {
		x.setAllFaults(standin.WorkerFaults{
			CrashOnPart: []string{fatal},
		})
		x.sendWithParts(0, "/charge/", "", shared, fatal)
		Expect(x.log.String()).To(MatchRegexp(`send failed:.* began=false parts="%s,%s" `, partID("app", shared), partID("app", fatal)))
	})

	It("are written too if the head of a stream has come and no event", func() {
		for _, m := range x.engines {
			m.SetFaults(standin.WorkerFaults{
				CrashOnPart: []string{fatal},
			})
		}
		Eventually(func() string {
			x.sendWithParts(0, "/ask/", "m0", shared, fatal)
			return x.log.String()
		}, eventTimeout, 50*time.Millisecond).Should(MatchRegexp(`answer lost:.* began=false parts="%s,%s" `, partID("llm", shared), partID("llm", fatal)))
	})
})

// partTraffic is a stream of requests that share the first part of their prompts, some of
// which have a part that crashes upstreams.
type partTraffic struct {
	x    *crashRig
	stop chan struct{}
	wg   sync.WaitGroup

	mu    sync.Mutex
	sound []soundResult
}

type soundResult struct {
	at     time.Time
	served bool
}

// start sends requests at a rate until stop is closed.
func (p *partTraffic) start(rate int, send func(n int)) {
	p.wg.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-p.stop:
				return
			case <-ticker.C:
				p.wg.Go(func() {
					defer GinkgoRecover()
					send(n)
				})
			}
		}
	})
}

func (p *partTraffic) startSound(rate int, parts ...string) {
	p.start(rate, func(n int) {
		at := time.Now()
		r := p.x.sendNamedWithParts("sound", n%len(p.x.fronts), "/look/", "", parts...)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.sound = append(p.sound, soundResult{
			at:     at,
			served: r.err == nil && r.status == http.StatusOK,
		})
	})
}

func (p *partTraffic) startFatal(name string, rate int, parts ...string) {
	p.start(rate, func(n int) {
		p.x.sendNamedWithParts(name, n%len(p.x.fronts), "/look/", "", parts...)
	})
}

// servedShare returns the share of the sound requests sent in a period that were served.
func (p *partTraffic) servedShare(from, to time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, served := 0, 0
	for _, r := range p.sound {
		if r.at.Before(from) || !r.at.Before(to) {
			continue
		}
		n++
		if r.served {
			served++
		}
	}
	Expect(n).To(BeNumerically(">=", 20))
	return float64(served) / float64(n)
}

// crashAt returns the time of the nth crash of all upstreams, or zero.
func (x *crashRig) crashAt(n int) time.Time {
	var all []time.Time
	for _, m := range x.upstreams {
		all = append(all, m.crashTimes()...)
	}
	if len(all) < n {
		return time.Time{}
	}
	slices.SortFunc(all, time.Time.Compare)
	return all[n-1]
}

// arrivalsAfter returns how many requests whose attempts begin with name reached upstreams
// after a time.
func (x *crashRig) arrivalsAfter(name string, at time.Time) int {
	n := 0
	for _, m := range x.upstreams {
		for _, a := range m.worker.Arrivals() {
			if strings.HasPrefix(a.Attempt, name+"-") && a.At.After(at) {
				n++
			}
		}
	}
	return n
}

// Counted by their whole contents, requests that share only the part of their prompts that
// crashes upstreams look like new ones each time.
var _ = Describe("A part of prompts that crashes its upstreams", func() {
	const (
		shared = "a1"
		fatal  = "bad1"
		// learningTime is how long after the fifth crash requests with the part may reach
		// upstreams, and maxLateSends how many may do so later.
		crashesToLearn = 5
		learningTime   = 3 * time.Second
		maxLateSends   = 3
		soundRate      = 46
	)

	It("reaches few after the fifth crash, and requests with the same first part are served", func() {
		x := newCrashRigOf(12)
		for _, m := range x.upstreams {
			m.downtime = time.Second
		}
		x.setAllFaults(standin.WorkerFaults{
			CrashOnPart: []string{fatal},
			Think:       30 * time.Millisecond,
		})
		traffic := &partTraffic{
			x:    x,
			stop: make(chan struct{}),
		}
		began := time.Now()
		traffic.startSound(soundRate, shared)
		time.Sleep(2 * time.Second)
		undisturbed := time.Now()
		traffic.startFatal("fatal", 4, shared, fatal)
		Eventually(func() time.Time {
			return x.crashAt(crashesToLearn)
		}, eventTimeout, pollInterval).ShouldNot(BeZero())
		fifth := x.crashAt(crashesToLearn)
		time.Sleep(time.Until(fifth.Add(14 * time.Second)))
		close(traffic.stop)
		traffic.wg.Wait()
		late := x.arrivalsAfter("fatal", fifth.Add(learningTime))
		before, after := traffic.servedShare(began, undisturbed), traffic.servedShare(fifth.Add(2*learningTime), time.Now())
		GinkgoWriter.Printf("%d crashes, %d late sends, sound requests served: %.3f before, %.3f after\n", x.crashes(), late, before, after)
		Expect(late).To(BeNumerically("<=", maxLateSends))
		Expect(after).To(BeNumerically(">=", before/2))
	})

	// recordCrashes writes crashes of a part into the store.
	recordCrashes := func(x *crashRig, service wardturn.ServiceName, part string, crashes int) {
		for i := range crashes {
			key := fmt.Sprintf("%s/u%d", wardturn.PromptPartID(service, part), i)
			x.store.Put("keyed.wardturn.crashes", key, fmt.Appendf(nil, `{"at_ms":%d}`, time.Now().UnixMilli()))
		}
	}
	// exhausted is a number of crashes after which a part is not tried any more.
	const exhausted = 7

	// awaitRefused waits until both gateways refuse a part.
	awaitRefused := func(x *crashRig, service wardturn.ServiceName, part string) {
		for _, name := range []string{"gateway", "second"} {
			Eventually(x.log.String, eventTimeout, pollInterval).Should(MatchRegexp("%s: requests with a part of prompts are refused.* part=%s", name, wardturn.PromptPartID(service, part)))
		}
	}

	It("is refused at once with a reason of its own, by what the store has alone", func() {
		x := newCrashRig()
		recordCrashes(x, "app", fatal, exhausted)
		awaitRefused(x, "app", fatal)
		for i := range x.fronts {
			began := time.Now()
			r := x.sendWithParts(i, "/charge/", "", shared, fatal)
			Expect(r.status).To(Equal(http.StatusServiceUnavailable))
			Expect(r.body).To(Equal(string(wardturn.ReasonPromptPart)))
			Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
			Expect(x.sendWithParts(i, "/charge/", "", shared, "other").status).To(Equal(http.StatusOK))
		}
		x.store.DeleteAll("keyed.wardturn.crashes")
		for i := range x.fronts {
			Eventually(func() int {
				return x.sendWithParts(i, "/charge/", "", shared, fatal).status
			}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
		}
	})

	It("is served again at all gateways after a trial of one was answered", func() {
		x := newCrashRig()
		recordCrashes(x, "app", shared, 3)
		awaitRefused(x, "app", shared)
		for i := range x.fronts {
			Eventually(func() int {
				return x.sendWithParts(i, "/charge/", "", shared).status
			}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
		}
		Expect(strings.Count(x.log.String(), "request is sent although a part")).To(Equal(1))
		Eventually(x.log.String, eventTimeout, pollInterval).Should(MatchRegexp("crashes recorded: crashes=0 taken_back=3"))
	})

	It("is cleared by the first event of a stream, even if the stream is cut later", func() {
		x := newCrashRig()
		recordCrashes(x, "llm", shared, 3)
		awaitRefused(x, "llm", shared)
		for _, m := range x.engines {
			m.SetFaults(standin.WorkerFaults{
				CutFresh: 2,
			})
		}
		Eventually(func() string {
			x.sendWithParts(0, "/ask/", "m0", shared)
			return x.log.String()
		}, eventTimeout, pollInterval).Should(ContainSubstring("parts of prompts not suspected any more"))
	})

	It("is not refused by records of crashes if answers since have shown that it is sound", func() {
		x := newCrashRig()
		Expect(x.sendWithParts(0, "/charge/", "", shared).status).To(Equal(http.StatusOK))
		recordCrashes(x, "app", shared, 3)
		Eventually(func() string {
			Expect(x.sendWithParts(0, "/charge/", "", shared).status).To(Equal(http.StatusOK))
			return x.log.String()
		}, eventTimeout, pollInterval).Should(MatchRegexp("gateway: crashes recorded: crashes=0 taken_back=3"))
		Expect(x.sendWithParts(1, "/charge/", "", shared).status).To(Equal(http.StatusOK))
	})

	It("aborts requests that no upstream has started when it becomes known", func() {
		x := newCrashRig()
		for _, m := range x.engines {
			m.SetFaults(standin.WorkerFaults{
				HoldUp: eventTimeout,
			})
		}
		held := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			held <- x.sendWithParts(0, "/ask/", "m0", shared, fatal)
		}()
		heldNow := func() int {
			return x.engines[0].Delayed() + x.engines[1].Delayed()
		}
		Eventually(heldNow, eventTimeout, pollInterval).Should(Equal(1))
		recordCrashes(x, "llm", fatal, exhausted)
		Eventually(heldNow, 2*time.Second, pollInterval).Should(BeZero())
		Expect((<-held).status).To(Equal(http.StatusBadGateway))
	})
})
