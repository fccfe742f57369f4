package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/platform"
	"wardturn/standin"
)

// tailConfig adds a plain service with resumable streams to the configuration of a rig.
func tailConfig() string {
	routes := `,{"name":"tail","host":"h.example","path_prefix":"/tail/","type":"streaming","timeout_ms":4000,"slo_ms":1500,"priority":1,"service":"tail","max_attempts":3,"resumable":true}`
	return strings.Replace(config(2, routes), `"services":[`, `"services":[{"name":"tail","max_conns":200},`, 1)
}

// restartable is a worker of the plain service that can restart under its ID.
type restartable struct {
	*standin.ModelWorker
	x       *rig
	addr    string
	startMS int64

	server *http.Server
}

// Properties of the streams of restartable workers.
const (
	tailEvents   = 24
	tailInterval = 25 * time.Millisecond
)

// startRestartable starts a worker of the plain service with a software version and puts its
// entry into the list.
func (x *rig) startRestartable(n int, software string) *restartable {
	w := &restartable{
		ModelWorker: standin.NewModelWorker(standin.ModelWorkerConfig{
			ID:            fmt.Sprintf("t%d", n),
			Software:      software,
			StreamEvents:  tailEvents,
			EventInterval: tailInterval,
		}),
		x:       x,
		startMS: int64(1000 + n),
	}
	w.RestartSameID(w.startMS)
	w.listen(fmt.Sprintf("127.0.0.%d:0", firstEngineHost+n))
	w.putEntry()
	return w
}

func (w *restartable) listen(addr string) {
	ln := listen(addr)
	w.addr = ln.Addr().String()
	w.server = &http.Server{
		Handler: w.ModelWorker,
	}
	s := w.server
	go func() {
		_ = s.Serve(ln)
	}()
	DeferCleanup(func() {
		_ = s.Close()
	})
}

func (w *restartable) putEntry() {
	w.x.store.PutServer(w.ID(), w.Entry("tail", w.addr, "d", "ready"))
}

// end ends the worker's lifetime: its connections end, and its port refuses others.
func (w *restartable) end() {
	_ = w.server.Close()
}

// restart ends the lifetime and starts the next one at the same address with other software. Its
// entry is not in the list until putEntry.
func (w *restartable) restart(software string) {
	w.end()
	w.startMS += 1000
	w.SetSoftware(software)
	w.RestartSameID(w.startMS)
	w.listen(w.addr)
}

// tailRequest returns a request for a stream of the plain service.
func (x *rig) tailRequest(ctx context.Context, front, id string) *http.Request {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, front+"/tail/x", strings.NewReader("prompt"))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set("X-Wardturn-Attempt-Id", id)
	req.Header.Set("X-Wardturn-Deadline-Ms", "4000")
	return req
}

// openTail starts a stream and reads its first event.
func (x *rig) openTail(front, id string) (rest *bufio.Reader, first string, closeBody func()) {
	res, err := x.client.Do(x.tailRequest(context.Background(), front, id))
	Expect(err).NotTo(HaveOccurred())
	Expect(res.StatusCode).To(Equal(http.StatusOK))
	r := bufio.NewReader(res.Body)
	for range 3 { // the lines of an event
		line, err := r.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		first += line
	}
	return r, first, func() {
		res.Body.Close()
	}
}

// startTailRig returns a rig with restartable workers of the given software versions. The gateway
// reads the list every 1.5 s only, unless it finds its copy out of date.
func startTailRig(software ...string) (*rig, []*restartable) {
	x := newRigWithDrain(3*time.Second, "d", "d")
	var workers []*restartable
	for i, v := range software {
		workers = append(workers, x.startRestartable(i, v))
	}
	x.store.PutConfig(tailConfig())
	Eventually(func() bool {
		log := x.log.String()
		for _, w := range workers {
			if !strings.Contains(log, "upstream listed: upstream="+w.ID()) {
				return false
			}
		}
		return true
	}, 3*eventTimeout, pollInterval).Should(BeTrue())
	Eventually(func() int {
		return x.get("warm", "/tail/x", "").status
	}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
	return x, workers
}

// runnerOf returns the worker that runs an attempt, and the others.
func runnerOf(workers []*restartable, id string) (runner *restartable, others []*restartable) {
	for _, w := range workers {
		if w.Runs(id) > 0 {
			runner = w
			continue
		}
		others = append(others, w)
	}
	Expect(runner).NotTo(BeNil())
	return runner, others
}

// tailResult is how a stream ended at its caller.
type tailResult struct {
	versions []string
	whole    bool
}

func (x *rig) readTail(front, id string, onFirst func()) tailResult {
	r, first, closeBody := x.openTail(front, id)
	defer closeBody()
	onFirst()
	rest, err := io.ReadAll(r)
	versions := softwareOf(first + string(rest))
	return tailResult{
		versions: versions,
		whole:    err == nil && len(versions) == tailEvents,
	}
}

// breakTogether runs n streams and calls fail once all have begun.
func (x *rig) breakTogether(n int, fail func(ids []string)) []tailResult {
	results := make([]tailResult, n)
	ids := make([]string, n)
	var begun, done sync.WaitGroup
	begun.Add(n)
	release := make(chan struct{})
	for i := range n {
		ids[i] = fmt.Sprintf("tail-%d", attempts.Add(1))
		done.Go(func() {
			defer GinkgoRecover()
			results[i] = x.readTail(x.frontURL, ids[i], func() {
				begun.Done()
				<-release
			})
		})
	}
	begun.Wait()
	fail(ids)
	close(release)
	done.Wait()
	return results
}

func wholeOf(results []tailResult) int {
	n := 0
	for _, r := range results {
		if r.whole {
			n++
		}
	}
	return n
}

var _ = Describe("An upstream that restarted under its ID with other software, unnoticed", func() {
	// Guards against events of two software versions in one stream.
	It("does not take up a stream that broke elsewhere", func() {
		x, workers := startTailRig("v1", "v1")
		id := fmt.Sprintf("tail-%d", attempts.Add(1))
		result := x.readTail(x.frontURL, id, func() {
			runner, others := runnerOf(workers, id)
			others[0].restart("v2")
			runner.end()
		})
		Expect(result.versions).To(HaveEach("v1"))
		Expect(result.whole).To(BeFalse())
	})

	// Guards against refusing streams that could go on elsewhere.
	It("leaves streams that break to the upstreams that did not restart", func() {
		x, workers := startTailRig("v1", "v1", "v1", "v1")
		var ended, restarted *restartable
		results := x.breakTogether(12, func(ids []string) {
			ended, restarted = workers[0], workers[1]
			restarted.restart("v2")
			ended.end()
		})
		for _, r := range results {
			Expect(r.versions).To(HaveEach("v1"))
		}
		Expect(wholeOf(results)).To(Equal(len(results)))
	})

	// Guards against events of two versions over a caller's attempts.
	It("begins no stream that another upstream goes on with", func() {
		x, workers := startTailRig("v1", "v1", "v1")
		_, front, _ := x.startGateway("other", platform.NewStore(x.storeAddr, x.metrics))
		workers[0].restart("v2")
		for range 6 {
			id := fmt.Sprintf("tail-%d", attempts.Add(1))
			_, first, closeBody := x.openTail(x.frontURL, id)
			closeBody()
			req := x.tailRequest(context.Background(), front, fmt.Sprintf("tail-%d", attempts.Add(1)))
			req.Header.Set("Last-Event-Id", "1")
			req.Header.Set("Resumes", id)
			r := x.do(req)
			if r.status == http.StatusOK {
				Expect(softwareOf(first + r.body)).To(HaveEach(softwareOf(first)[0]))
			}
		}
	})

	// Guards against events of two versions from upstreams that do not report when they started.
	It("is told by the list if it does not tell its lifetime", func() {
		x, workers := startTailRig("v1", "v1", "v1", "v1")
		for _, w := range workers {
			w.SetFaults(standin.WorkerFaults{
				NoReport: true,
			})
		}
		x.startGateway("other", platform.NewStore(x.storeAddr, x.metrics)) // has announced lists too
		results := x.breakTogether(8, func([]string) {
			time.Sleep(250 * time.Millisecond) // for a read of the list after the streams began
			workers[1].restart("v2")
			workers[1].putEntry()
			workers[0].end()
		})
		for _, r := range results {
			Expect(r.versions).To(HaveEach("v1"))
		}
		Expect(wholeOf(results)).To(Equal(len(results)))
	})

	// Guards against refusing new streams while the software of all upstreams is unknown.
	It("still begins streams, which are not taken up elsewhere", func() {
		x, workers := startTailRig("v1", "v1")
		for _, w := range workers {
			w.restart("v2")
		}
		id := fmt.Sprintf("tail-%d", attempts.Add(1))
		Expect(x.readTail(x.frontURL, id, func() {}).whole).To(BeTrue())
		results := x.breakTogether(6, func([]string) {
			workers[0].restart("v3")
		})
		for _, r := range results {
			Expect(r.versions).To(HaveEach(r.versions[0]))
		}
	})

	// Guards against streams that break while no list can tell lifetimes apart.
	It("is told apart while the store is away", func() {
		x, workers := startTailRig("v1", "v1", "v1")
		x.store.SetFaults(standin.MetaFaults{
			Unavailable: true,
		})
		results := x.breakTogether(6, func([]string) {
			workers[1].restart("v2")
			workers[0].end()
		})
		for _, r := range results {
			Expect(r.versions).To(HaveEach("v1"))
		}
		Expect(wholeOf(results)).To(Equal(len(results)))
	})
})

// Guards against a request that crashes an upstream again and again before the list shows its next lifetime.
var _ = Describe("A request that crashes an upstream which comes back unlisted", func() {
	It("is refused after three crashes", func() {
		x := newRigWithDrain(3*time.Second, "d", "d")
		w := &restartable{
			x:       x,
			startMS: 1000,
		}
		crashed := make(chan struct{}, 100)
		w.ModelWorker = standin.NewModelWorker(standin.ModelWorkerConfig{
			ID:           "t0",
			StreamEvents: tailEvents,
			Crash: func(string) {
				crashed <- struct{}{}
			},
		})
		w.SetFaults(standin.WorkerFaults{
			CrashOn: "fatal",
		})
		w.RestartSameID(w.startMS)
		w.listen(fmt.Sprintf("127.0.0.%d:0", firstEngineHost))
		w.putEntry()
		x.store.PutConfig(tailConfig())
		Eventually(func() int {
			return x.get("warm", "/tail/x", "").status
		}, 3*eventTimeout, pollInterval).Should(Equal(http.StatusOK))
		crashes := 0
		for range 6 {
			sent := make(chan reply, 1)
			go func() {
				sent <- x.send("POST", fmt.Sprintf("fatal-%d", attempts.Add(1)), "/tail/x", "", "fatal")
			}()
			select {
			case <-crashed:
				crashes++
				w.end()
				<-sent
				time.Sleep(100 * time.Millisecond) // for the gateway to see that it is down
				w.startMS += 1000
				w.RestartSameID(w.startMS)
				w.listen(w.addr)
				time.Sleep(500 * time.Millisecond) // for the pause after a refusal
			case <-sent:
			}
		}
		Expect(crashes).To(Equal(3))
	})
})
