package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// callersPerStreamCaller is the number of other callers for each stream caller.
	callersPerStreamCaller = 3
	// maxStreamPause is the maximum time between two streams of a stream caller, and
	// meanResumePause the mean time between the cut of a stream and its resumption.
	maxStreamPause  = 300 * time.Millisecond
	meanResumePause = 300 * time.Millisecond
	// minStreamPairs is the number of streams from which on their shares are compared.
	minStreamPairs = 20
)

// StreamPairs counts streams that callers resumed, and the new streams that they started at
// the same moment, at the same gateway and with the same adapter.
type StreamPairs struct {
	Pairs   int
	Resumed int // resumed streams that went on
	Begun   int // new streams that began
}

// isLost reports whether resumed streams go on less than half as often as new ones begin.
func (p StreamPairs) isLost() bool {
	return p.Pairs >= minStreamPairs && 2*p.Resumed < p.Begun
}

type streamPairs struct {
	mu sync.Mutex
	// counted are the pairs with an upstream of the resumed stream's software version, and
	// other those without one.
	counted StreamPairs
	other   StreamPairs
}

func (c *streamPairs) record(versionUp, resumed, begun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &c.other
	if versionUp {
		p = &c.counted
	}
	p.Pairs++
	if resumed {
		p.Resumed++
	}
	if begun {
		p.Begun++
	}
}

// startStreamCallers starts callers that disconnect from streams, resume them at another
// gateway and start a new stream beside each, until stop is closed.
func (s *soak) startStreamCallers(n int) {
	for i := range n {
		s.wg.Go(func() {
			r := rand.New(rand.NewPCG(s.cfg.Seed, 2000+uint64(i)))
			client := &http.Client{
				Timeout:   callerTimeout,
				Transport: &http.Transport{},
			}
			defer client.CloseIdleConnections()
			for n := 0; s.sleep(time.Duration(r.Int64N(int64(maxStreamPause)))); n++ {
				s.interruptStream(client, r, fmt.Sprintf("s%d-%d", i, n))
			}
		})
	}
}

// interruptStream starts a stream, disconnects after some events and resumes it.
func (s *soak) interruptStream(client *http.Client, r *rand.Rand, id string) {
	first := r.IntN(len(s.gateways))
	next := s.gateways[(first+1+r.IntN(max(1, len(s.gateways)-1)))%len(s.gateways)]
	pause := time.Duration(r.ExpFloat64() * float64(meanResumePause))
	a := streamAttempt{
		id:       id,
		key:      permanentKey,
		adapter:  fmt.Sprintf("m0/a%d", int(r.ExpFloat64()*adapterMean)),
		cutAfter: 1 + r.IntN(streamEvents-1),
	}
	body, _ := s.sendStream(client, s.gateways[first], a)
	last, software := receivedEvents(body)
	if last == 0 || last == streamEvents || !s.sleep(pause) {
		return
	}
	beside := streamAttempt{
		id:      id + "-beside",
		key:     a.key,
		adapter: a.adapter,
	}
	a.id, a.resumes, a.last, a.cutAfter = id+"-resumed", id, last, 0
	up := s.isVersionUp(software)
	var wg sync.WaitGroup
	var begun bool
	wg.Go(func() {
		body, status := s.sendStream(client, next, beside)
		n, _ := receivedEvents(body)
		begun = status == http.StatusOK && n > 0
	})
	rest, status := s.sendStream(client, next, a)
	resumed := status == http.StatusOK && s.checkResumed(a.id, software, last, rest) > last
	wg.Wait()
	up = up && s.isVersionUp(software)
	s.streams.record(up, resumed, begun)
	if !resumed {
		fmt.Fprintf(s.cfg.Log, "soak: stream not resumed: attempt=%s gateway=%s software=%s up=%v status=%d after=%v beside=%v\n", a.id, next.name, software, up, status, pause, begun)
	}
}

// isVersionUp reports whether an engine of a software version can serve streams.
func (s *soak) isVersionUp(software string) bool {
	return slices.ContainsFunc(s.world.upstreams[:s.cfg.Engines], func(u *upstream) bool {
		return u.worker.Software() == software && u.serves() && !s.evacuations.isActive(u.domain)
	})
}

// serves reports whether the upstream is ready and completes requests.
func (u *upstream) serves() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.faults
	return u.state == "ready" && !f.Full && !f.Error && !f.LoseAnswers && !f.Stranger && f.CutAfter == 0 && f.Leaving == ""
}

// checkStreams compares the share of resumed streams that went on with the share of new
// streams that began.
func (s *soak) checkStreams() {
	c := &s.streams
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(s.cfg.Log, "soak: resumed streams: %+v, without an upstream of their version: %+v\n", c.counted, c.other)
	if c.counted.isLost() {
		s.requests.addViolation("LOST: of %d resumed streams %d went on, and of as many new ones %d began", c.counted.Pairs, c.counted.Resumed, c.counted.Begun)
	}
}
