package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn/platform"
	"wardturn/standin"
)

// requestKind is a kind of request.
type requestKind struct {
	path       string
	onEngine   bool // runs on an engine, with an adapter
	repeatable bool // may run more than once
}

// platformHeaders are the header names of the platform that the daemons serve.
var platformHeaders = platform.Headers()

var requestKinds = []requestKind{
	{
		path:     "/ask/x",
		onEngine: true,
	},
	{
		path:       resumePath,
		onEngine:   true,
		repeatable: true,
	},
	{
		path: "/charge/x",
	},
	{
		path:       "/look/x",
		repeatable: true,
	},
}

// Counts counts the responses of a soak.
type Counts struct {
	Done    int // status 200, with a complete body
	NotRun  int // refused with a status which guarantees that the request did not run
	OverCap int // those of NotRun that exceeded the cap of their team
	Unknown int // other errors; the request may or may not have run
	Cut     int // responses that ended early, and requests without a response
	Resumed int // streams that their callers resumed
	// ResumedWhole are those of Resumed that were complete in the end.
	ResumedWhole int
}

// requestChecker records the outcomes that callers received, to compare them with what
// ran, and collects the violations that all checks of a soak find.
type requestChecker struct {
	world *world

	mu         sync.Mutex
	counts     Counts
	notRun     []string // attempts refused as not run
	atMostOnce []string // attempts that may run at most once
	keyed      []keyedAttempt
	violations []string
}

func (c *requestChecker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *requestChecker) recordSent(a keyedAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keyed = append(c.keyed, a)
}

// startCallers starts callers that send requests until stop is closed.
func (s *soak) startCallers(n int) {
	for i := range n {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			r := rand.New(rand.NewPCG(s.cfg.Seed, uint64(i)))
			client := &http.Client{
				Timeout:   callerTimeout,
				Transport: &http.Transport{},
			}
			defer client.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-s.stop:
					return
				case <-time.After(time.Duration(r.IntN(20)) * time.Millisecond):
				}
				g := s.gateways[r.IntN(len(s.gateways))]
				id := fmt.Sprintf("c%d-%d", i, n)
				s.sendRequest(client, g, requestKinds[r.IntN(len(requestKinds))], id, s.world.keys.randomKey(r), r.ExpFloat64())
			}
		}()
	}
}

const (
	callerTimeout = 5 * time.Second
	deadlineMS    = "2500"
	tokenCount    = "500,24" // tokens of a prompt and of a stream
	adapterMean   = 4        // mean of the exponential distribution of adapter numbers
)

// sendRequest sends a request with an API key, checks the response and returns its
// status and, for a refusal, the delay until a retry; status zero means that there was no
// complete response. The adapter and the speed of
// reading depend on draw, a sample of an exponential distribution with mean 1.
func (s *soak) sendRequest(client *http.Client, g *gatewayProcess, k requestKind, id, key string, draw float64) (int, time.Duration) {
	req, err := http.NewRequest(http.MethodPost, "http://"+g.addr+k.path, strings.NewReader(content(id)))
	if err != nil {
		s.requests.addViolation("%s: %v", id, err)
		return 0, 0
	}
	req.Host = "h"
	req.Header.Set(platformHeaders.AttemptID, id)
	req.Header.Set(platformHeaders.DeadlineMS, deadlineMS)
	adapter := fmt.Sprintf("m0/a%d", int(draw*adapterMean))
	if k.onEngine {
		req.Header.Set(platformHeaders.Adapter, adapter)
		req.Header.Set(platformHeaders.TokenCount, tokenCount)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	began := time.Now()
	process := g.processName()
	s.limits.recordSent(id, process)
	s.responses.recordSent(id, process)
	s.requests.recordSent(keyedAttempt{
		id:   id,
		key:  key,
		sent: began,
	})
	res, err := client.Do(req)
	if err != nil {
		s.recordCut(g, k, id, began, err)
		return 0, 0
	}
	s.limits.recordResponse(process, res.Header.Get(standin.HeaderLimit))
	s.responses.recordResponse(id, res.Header)
	body, err := readBody(res.Body, draw)
	res.Body.Close()
	if err != nil {
		s.recordCut(g, k, id, began, err)
		if k.path == resumePath {
			s.resumeStream(client, streamAttempt{
				id:      id,
				key:     key,
				adapter: adapter,
			}, string(body))
		}
		return 0, 0
	}
	if key == permanentKey && res.StatusCode == http.StatusUnauthorized {
		s.requests.addViolation("%s: 401 for a key that every configuration holds", id)
	}
	return res.StatusCode, s.checkResponse(k, id, res, string(body))
}

const (
	// slowReaderDraw is the least draw with which a caller reads slowly, which makes it
	// one request in 18.
	slowReaderDraw   = 2.9
	slowReadInterval = 150 * time.Millisecond
	slowReadSize     = 64
)

// readBody reads a response body, with some draws slowly and a few bytes at a time.
func readBody(r io.Reader, draw float64) ([]byte, error) {
	if draw < slowReaderDraw {
		return io.ReadAll(r)
	}
	var body []byte
	buf := make([]byte, slowReadSize)
	for {
		n, err := r.Read(buf)
		body = append(body, buf[:n]...)
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
		time.Sleep(slowReadInterval)
	}
}

// checkResponse checks a complete response and returns the delay that a refusal tells.
func (s *soak) checkResponse(k requestKind, id string, res *http.Response, body string) time.Duration {
	overCap := res.StatusCode == http.StatusTooManyRequests
	refused := overCap || res.StatusCode == http.StatusServiceUnavailable
	c := s.requests
	c.mu.Lock()
	if !k.repeatable {
		c.atMostOnce = append(c.atMostOnce, id)
	}
	switch {
	case res.StatusCode == http.StatusOK:
		c.counts.Done++
	case refused:
		c.counts.NotRun++
		if overCap {
			c.counts.OverCap++
		}
		c.notRun = append(c.notRun, id)
	default:
		c.counts.Unknown++
	}
	c.mu.Unlock()
	if refused {
		return c.checkRetryAfter(id, res)
	}
	if res.StatusCode != http.StatusOK {
		return 0
	}
	if got := res.Header.Get(standin.HeaderSeal); got != "seal-"+id {
		c.addViolation("%s: the answer has the receipt %q", id, got)
	}
	if k.onEngine && !isCompleteStream(body) || !k.onEngine && body != "echo:"+content(id) {
		c.addViolation("%s: a whole answer reads %q", id, body)
	}
	return 0
}

// checkRetryAfter checks that a refusal has a delay above zero and returns the delay.
func (c *requestChecker) checkRetryAfter(id string, res *http.Response) time.Duration {
	text := res.Header.Get("Retry-After")
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) {
		c.addViolation("%s: refused with %d and the delay %q", id, res.StatusCode, text)
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// recordCut records a response that is missing or ended early. For a request that ran, a
// planned stop of the gateway alone must not cause that.
func (s *soak) recordCut(g *gatewayProcess, k requestKind, id string, began time.Time, err error) {
	c := s.requests
	c.mu.Lock()
	c.counts.Cut++
	if !k.repeatable {
		c.atMostOnce = append(c.atMostOnce, id)
	}
	c.mu.Unlock()
	g.mu.Lock()
	terminatedAt := g.terminatedAt
	g.mu.Unlock()
	planned := !terminatedAt.IsZero() && time.Since(terminatedAt) < stopGrace+time.Second
	if planned && s.noFaultsSince(began.Add(-quietBefore)) && s.world.runs(id) > 0 {
		c.addViolation("%s: cut by the planned stop of %s: %v", id, g.name, err)
	}
}

// check compares the recorded outcomes with what the upstreams ran.
func (c *requestChecker) check() {
	c.mu.Lock()
	notRun, atMostOnce := c.notRun, c.atMostOnce
	c.mu.Unlock()
	for _, id := range notRun {
		if n := c.world.runs(id); n > 0 {
			c.addViolation("%s: told that it has not run, and ran %d times", id, n)
		}
	}
	for _, id := range atMostOnce {
		if n := c.world.runs(id); n > 1 {
			c.addViolation("%s: may run once, and ran %d times", id, n)
		}
	}
	c.checkKeys()
	for _, u := range c.world.upstreams {
		if u.worker.SlotsExceeded() {
			c.addViolation("upstream %s was ordered to hold more than it can", u.id)
		}
	}
}
