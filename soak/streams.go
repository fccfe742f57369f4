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
	// counted are the pairs with an engine of the resumed stream's software version, and
	// other those without one.
	counted StreamPairs
	other   StreamPairs
}

func (c *streamPairs) record(counted, resumed, begun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if counted {
		c.counted.count(resumed, begun)
	} else {
		c.other.count(resumed, begun)
	}
}

func (p *StreamPairs) count(resumed, begun bool) {
	p.Pairs++
	if resumed {
		p.Resumed++
	}
	if begun {
		p.Begun++
	}
}

// add adds pairs, which are counted if they are compared.
func (c *streamPairs) add(compared bool, pairs *streamPairs) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.other.add(pairs.other)
	if compared {
		c.counted.add(pairs.counted)
	} else {
		c.other.add(pairs.counted)
	}
}

func (p *StreamPairs) add(q StreamPairs) {
	p.Pairs += q.Pairs
	p.Resumed += q.Resumed
	p.Begun += q.Begun
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

// interruptStream starts a stream, disconnects after some events and resumes it at another
// gateway.
func (s *soak) interruptStream(client *http.Client, r *rand.Rand, id string) {
	first := r.IntN(len(s.gateways))
	next := (first + 1 + r.IntN(max(1, len(s.gateways)-1))) % len(s.gateways)
	pause := time.Duration(r.ExpFloat64() * float64(meanResumePause))
	c, ok := s.cutStream(client, s.gateways[first], s.randomStream(r, id))
	if ok && s.sleep(pause) {
		s.resumeBeside(client, s.gateways[next], c, &s.streams)
	}
}

// randomStream returns a new stream from which the caller disconnects after some events.
func (s *soak) randomStream(r *rand.Rand, id string) streamAttempt {
	return streamAttempt{
		id:       id,
		key:      permanentKey,
		adapter:  fmt.Sprintf("m0/a%d", int(r.ExpFloat64()*adapterMean)),
		cutAfter: 1 + r.IntN(streamEvents-1),
	}
}

// cutStream is a stream that its caller may resume.
type cutStream struct {
	streamAttempt
	software string
	cutAt    time.Time
}

// cutStream starts a stream and disconnects from it. It reports whether it can be resumed.
func (s *soak) cutStream(client *http.Client, g *gatewayProcess, a streamAttempt) (cutStream, bool) {
	body, _ := s.sendStream(client, g, a)
	last, software := receivedEvents(body)
	a.resumes, a.last = a.id, last
	a.id, a.cutAfter = a.id+"-resumed", 0
	return cutStream{
		streamAttempt: a,
		software:      software,
		cutAt:         time.Now(),
	}, last > 0 && last < streamEvents
}

// resumeBeside resumes a stream and starts a new one at the same moment.
func (s *soak) resumeBeside(client *http.Client, g *gatewayProcess, c cutStream, pairs *streamPairs) {
	up := s.isVersionUp(c.software)
	pause := time.Since(c.cutAt)
	var wg sync.WaitGroup
	var begun bool
	wg.Go(func() {
		body, status := s.sendStream(client, g, streamAttempt{
			id:      c.resumes + "-beside",
			key:     c.key,
			adapter: c.adapter,
		})
		n, _ := receivedEvents(body)
		begun = status == http.StatusOK && n > 0
	})
	rest, status := s.sendStream(client, g, c.streamAttempt)
	resumed := status == http.StatusOK && s.checkResumed(c.id, c.software, c.last, rest) > c.last
	wg.Wait()
	up = up && s.isVersionUp(c.software)
	pairs.record(up, resumed, begun)
	if !resumed {
		fmt.Fprintf(s.cfg.Log, "soak: stream not resumed: attempt=%s gateway=%s software=%s up=%v status=%d after=%v beside=%v\n", c.id, g.name, c.software, up, status, pause, begun)
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
	return u.state == "ready" && !u.down && !f.Full && !f.Error && !f.LoseAnswers && !f.Stranger && f.CutAfter == 0 && f.Leaving == ""
}

// checkStreams compares the share of resumed streams that went on with the share of new
// streams that began.
func (s *soak) checkStreams() {
	s.checkPairs("streams", &s.streams)
	s.checkPairs("streams across losses", &s.lossStreams)
}

func (s *soak) checkPairs(name string, c *streamPairs) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(s.cfg.Log, "soak: %s: %+v, not compared: %+v\n", name, c.counted, c.other)
	if c.counted.isLost() {
		s.requests.addViolation("LOST: of %d resumed %s %d went on, and of as many new ones %d began", c.counted.Pairs, name, c.counted.Resumed, c.counted.Begun)
	}
}
