package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/gateway"
	"wardturn/platform"
	"wardturn/standin"
)

// newVersionedRig returns a rig with an engine for each software version, all in one failure
// domain.
func newVersionedRig(software ...string) *rig {
	domains := make([]string, len(software))
	for i := range domains {
		domains[i] = "d"
	}
	return newRigOf(rigOptions{
		drain:    500 * time.Millisecond,
		domains:  domains,
		software: software,
	})
}

// holdEverywhere has all engines hold an adapter. A request is sent until each has run one.
func (x *rig) holdEverywhere(adapter string) {
	_, name, _ := strings.Cut(adapter, "/")
	for _, e := range x.engines {
		e.Hold(name)
	}
	for i, e := range x.engines {
		runs := e.TotalRuns()
		for j, other := range x.engines {
			other.SetFaults(standin.WorkerFaults{
				Full: j != i,
			})
		}
		Eventually(func() int {
			x.get("hold", "/ask/x", adapter)
			return e.TotalRuns()
		}, eventTimeout, pollInterval).Should(BeNumerically(">", runs))
	}
	for _, e := range x.engines {
		e.SetFaults(standin.WorkerFaults{})
	}
}

// startOther starts a further gateway and waits until it serves requests for adapters.
func (x *rig) startOther(name wardturn.Incarnation) (*gateway.Gateway, string) {
	g, front, _ := x.startGateway(name, platform.NewStore(x.storeAddr, x.metrics))
	Eventually(g.Ready, eventTimeout, pollInterval).Should(BeTrue())
	Eventually(func() int {
		res, err := x.client.Do(x.streamRequest(context.Background(), front, fmt.Sprintf("warm-%d", attempts.Add(1))))
		Expect(err).NotTo(HaveOccurred())
		res.Body.Close()
		return res.StatusCode
	}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
	return g, front
}

// beginStream sends a request for a stream to a gateway and disconnects after its first
// event. It returns the software version that made that event.
func (x *rig) beginStream(front, id string) string {
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	req := x.streamRequest(ctx, front, id)
	res, err := x.client.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	Expect(res.StatusCode).To(Equal(http.StatusOK))
	r := bufio.NewReader(res.Body)
	first := ""
	for range 3 { // the lines of an event
		line, err := r.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		first += line
	}
	return softwareOf(first)[0]
}

func (x *rig) streamRequest(ctx context.Context, front, id string) *http.Request {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, front+"/resume/x", strings.NewReader("prompt"))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set("X-Wardturn-Attempt-Id", id)
	req.Header.Set("X-Wardturn-Deadline-Ms", "3000")
	req.Header.Set("X-Wardturn-Model", "m0/a1")
	return req
}

// takeUp takes a stream up after its first event, as a new attempt at a gateway.
func (x *rig) takeUp(front, resumes string) reply {
	req := x.streamRequest(context.Background(), front, fmt.Sprintf("taker-%d", attempts.Add(1)))
	req.Header.Set("Last-Event-Id", "1")
	if resumes != "" {
		req.Header.Set("Resumes", resumes)
	}
	res, err := x.client.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return reply{
		status: res.StatusCode,
		header: res.Header,
		body:   string(data),
		err:    err,
	}
}

// softwareOf returns the software versions that made the events of a stream.
func softwareOf(stream string) []string {
	var list []string
	for line := range strings.Lines(stream) {
		if word, ok := strings.CutPrefix(line, "data: v"); ok {
			version, _, _ := strings.Cut(word, " ")
			list = append(list, "v"+version)
		}
	}
	return list
}

var _ = Describe("A stream that went on at another software version", func() {
	It("holds events of one version only, in one answer and over a caller's attempts", func() {
		x := newVersionedRig("v1", "v2")
		x.holdEverywhere("m0/a1")
		_, front := x.startOther("other")
		id := fmt.Sprintf("begun-%d", attempts.Add(1))
		began := x.beginStream(x.frontURL, id)
		engine := x.engines[slices.Index([]string{"v1", "v2"}, began)]
		engine.SetFaults(standin.WorkerFaults{
			Full: true,
		})
		Expect(x.takeUp(front, id).status).To(Equal(http.StatusServiceUnavailable))
		engine.SetFaults(standin.WorkerFaults{})
		Eventually(func() []string {
			return softwareOf(x.takeUp(front, id).body)
		}, eventTimeout, pollInterval).Should(HaveExactElements(began, began, began))

		for _, e := range x.engines {
			e.SetFaults(standin.WorkerFaults{
				CutFresh: 2,
			})
		}
		r := x.get("cut", "/resume/x", "m0/a1")
		Expect(softwareOf(r.body)).To(HaveEach(softwareOf(r.body)[0]))
		Expect(r.err).To(HaveOccurred(), "no other engine has the version")
	})
})
