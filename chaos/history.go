package chaos

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"wardturn"
	"wardturn/demo"
	"wardturn/entry"
	"wardturn/standin"
)

const (
	engineCount  = 2
	serviceCount = 2
	adapterCount = 6
	chargeCount  = 12
	streamCount  = 10
	lookupCount  = 6
	streamTokens = 30
	maxAttempts  = 4  // attempts of a caller with the same idempotency key
	clockSpeed   = 10 // of the system's clock, relative to real time
	// maxWait bounds each request, the planned stop of an agent and the recovery, in
	// real time.
	maxWait = 40 * time.Second
)

// Result is the result of a history.
type Result struct {
	Seed       uint64
	Faults     [2]string
	Violations []string
	Counts     Counts
}

// Counts counts the outcomes that callers received.
type Counts struct {
	Done    int
	NotRun  int
	Unknown int
	Cut     int // streams that ended early, with an error event
}

// history is one test run: a system under traffic and the violations found.
type history struct {
	rng  *rand.Rand
	sys  *demo.System
	http fasthttp.Client

	mu         sync.Mutex
	violations []string
	counts     Counts
}

func (h *history) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *history) updateCounts(f func(*Counts)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(&h.counts)
}

func (h *history) timeout() <-chan time.Time {
	return time.After(maxWait)
}

// Run runs the history of a seed.
func Run(ctx context.Context, seed uint64) (Result, error) {
	rng := rand.New(rand.NewPCG(seed, 0x6368616f73))
	pair := randomFaultPair(rng)
	out := Result{
		Seed:   seed,
		Faults: [2]string{pair[0].Name, pair[1].Name},
	}
	sys, err := demo.Start(ctx, config())
	if err != nil {
		return out, err
	}
	defer sys.Close()
	h := &history{
		rng: rng,
		sys: sys,
		http: fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			MaxConnsPerHost:           256,
		},
	}
	h.run(pair)
	out.Violations = h.violations
	out.Counts = h.counts
	return out, nil
}

func config() demo.Config {
	cfg := demo.ZurichConfig()
	cfg.Clock = standin.NewFastClock(clockSpeed)
	cfg.FaultProxies = true
	cfg.Logger = hclog.NewNullLogger()
	cfg.HostListDelay = time.Second
	cfg.ServiceTime = 400 * time.Millisecond
	cfg.Engines = engineCount
	cfg.Services = serviceCount
	cfg.Entries = 2
	cfg.Adapters = adapterCount
	cfg.AdapterSlots = 2
	cfg.Store.Rate = 50
	return cfg
}

// run runs the traffic, injects the faults meanwhile, and checks the results.
func (h *history) run(pair [2]Fault) {
	var wg sync.WaitGroup
	sent := make([]*charge, 0, chargeCount)
	spawn := func(f func()) {
		// Spread the requests over the time in which the faults are injected.
		wait := time.Duration(h.rng.IntN(300)) * time.Millisecond
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(wait)
			f()
		}()
	}
	for i := range chargeCount {
		c := &charge{
			key:     fmt.Sprintf("card-%d", i),
			created: time.Now(),
		}
		sent = append(sent, c)
		first := h.rng.IntN(2)
		spawn(func() { h.charge(c, first) })
	}
	for i := range streamCount {
		adapter := fmt.Sprintf("a%04d", h.rng.IntN(adapterCount))
		spawn(func() { h.stream(adapter, i%2) })
	}
	for i := range lookupCount {
		spawn(func() { h.lookup(i % 2) })
	}
	h.injectFaults(pair)
	h.waitForRequests(&wg)
	for _, c := range sent {
		h.checkCharge(c)
	}
	h.waitForRecovery()
}

// injectFaults injects and heals both faults at random times.
func (h *history) injectFaults(pair [2]Fault) {
	pause := func(maxMS int) {
		time.Sleep(time.Duration(h.rng.IntN(maxMS)) * time.Millisecond)
	}
	pause(150)
	pair[0].inject(h)
	pause(100)
	pair[1].inject(h)
	pause(400)
	pair[0].heal(h)
	pause(200)
	pair[1].heal(h)
	if h.rng.IntN(2) == 0 { // inject the first fault again
		pair[0].inject(h)
		pause(100)
		pair[0].heal(h)
	}
	// A fault can undo the healing of the other one, so heal everything at the end.
	healNetwork(h)
	healLog(h)
	healStore(h)
	h.sys.Hosts.SetDown(false)
}

func (h *history) waitForRequests(wg *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-h.timeout():
		h.addViolation("requests without an answer after %v", maxWait)
		wg.Wait()
	}
}

// charge is a request that must run at most once, with the responses to its caller.
type charge struct {
	key       string
	created   time.Time
	responses []string // bodies of the responses with outcome done
	outcomes  []wardturn.OutcomeKind
}

// outcomeOf returns the outcome in the headers of a response.
func outcomeOf(res *fasthttp.Response) wardturn.OutcomeKind {
	switch string(res.Header.Peek(entry.HeaderOutcome)) {
	case "done":
		return wardturn.Done
	case "not_run":
		return wardturn.NotRun
	}
	return wardturn.Unknown
}

// charge sends a charge and retries it with its idempotency key, alternating between
// the entries, until it is done or the attempts are used up.
func (h *history) charge(c *charge, firstEntry int) {
	for i := range maxAttempts {
		req := fasthttp.AcquireRequest()
		res := &fasthttp.Response{}
		req.SetRequestURI("http://" + h.sys.EntryAddrs()[(firstEntry+i)%2] + "/v1/services/" + string(demo.Service) + "/charge")
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.Set(entry.HeaderIdempotencyKey, c.key)
		req.Header.Set(entry.HeaderIdempotencyKeyCreated, c.created.UTC().Format(time.RFC3339))
		req.SetBodyString(c.key)
		if err := h.http.DoTimeout(req, res, maxWait); err != nil {
			h.addViolation("%s: no answer: %v", c.key, err)
			return
		}
		kind := outcomeOf(res)
		c.outcomes = append(c.outcomes, kind)
		h.countOutcome(kind)
		if kind == wardturn.Done {
			c.responses = append(c.responses, string(res.Body()))
			if len(c.responses) == 2 {
				return
			}
			continue // send it once more: the response must be the same
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (h *history) countOutcome(kind wardturn.OutcomeKind) {
	h.updateCounts(func(n *Counts) {
		switch kind {
		case wardturn.Done:
			n.Done++
		case wardturn.NotRun:
			n.NotRun++
		default:
			n.Unknown++
		}
	})
}

// checkCharge compares the outcomes of a charge with its runs at the upstreams.
func (h *history) checkCharge(c *charge) {
	runs := 0
	for _, u := range h.sys.Upstreams {
		if u.Service != nil {
			runs += u.Service.Runs(c.key)
		}
	}
	if runs > 1 {
		h.addViolation("%s ran %d times; its caller was told %v", c.key, runs, c.outcomes)
	}
	if len(c.responses) > 0 && runs != 1 {
		h.addViolation("%s was answered as done and ran %d times", c.key, runs)
	}
	for _, a := range c.responses {
		if a != c.responses[0] {
			h.addViolation("%s has two answers: %s and %s", c.key, c.responses[0], a)
		}
	}
	onlyNotRun := len(c.outcomes) > 0
	for _, k := range c.outcomes {
		onlyNotRun = onlyNotRun && k == wardturn.NotRun
	}
	if onlyNotRun && runs > 0 {
		h.addViolation("%s was always told not to have run, and ran", c.key)
	}
}

var (
	tokenPattern = regexp.MustCompile(`"model":"([^"]*)","choices":\[\{"index":0,"text":" w(\d+)"`)
	streamEnd    = []byte("data: [DONE]\n\n")
)

// stream requests a streamed completion and checks that it is complete or ends with an
// error event.
func (h *history) stream(adapter string, entryIndex int) {
	req := fasthttp.AcquireRequest()
	res := &fasthttp.Response{}
	req.SetRequestURI("http://" + h.sys.EntryAddrs()[entryIndex] + "/v1/completions")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString(fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":%d,"stream":true}`, adapter, streamTokens))
	if err := h.http.DoTimeout(req, res, maxWait); err != nil {
		h.addViolation("stream of %s: no answer: %v", adapter, err)
		return
	}
	if res.StatusCode() != fasthttp.StatusOK {
		h.countOutcome(outcomeOf(res))
		return
	}
	n := 0
	for _, m := range tokenPattern.FindAllSubmatch(res.Body(), -1) {
		if string(m[1]) != adapter+"@1" {
			h.addViolation("stream of %s has a token of %s", adapter, m[1])
		}
		if string(m[2]) != strconv.Itoa(n) {
			h.addViolation("stream of %s has token %s at place %d", adapter, m[2], n)
		}
		n++
	}
	switch {
	case !bytes.HasSuffix(res.Body(), streamEnd):
		h.updateCounts(func(c *Counts) { c.Cut++ })
		if !bytes.Contains(res.Body(), []byte("event: error\n")) {
			h.addViolation("stream of %s is cut short without saying so", adapter)
		}
	case n != streamTokens:
		h.addViolation("stream of %s looks whole with %d of %d tokens", adapter, n, streamTokens)
	default:
		h.countOutcome(wardturn.Done)
	}
}

// lookup sends a request that may run more than once.
func (h *history) lookup(entryIndex int) {
	req := fasthttp.AcquireRequest()
	res := &fasthttp.Response{}
	req.SetRequestURI("http://" + h.sys.EntryAddrs()[entryIndex] + "/v1/services/" + string(demo.Service) + "/tariff")
	if err := h.http.DoTimeout(req, res, maxWait); err != nil {
		h.addViolation("lookup: no answer: %v", err)
		return
	}
	kind := outcomeOf(res)
	h.countOutcome(kind)
	if kind != wardturn.Done {
		return
	}
	var receipt struct {
		Path string `json:"path"`
	}
	if json.Unmarshal(res.Body(), &receipt) != nil || receipt.Path != "/tariff" {
		h.addViolation("lookup got another's answer: %s", res.Body())
	}
}

// waitForRecovery waits until every adapter is served again through every entry.
func (h *history) waitForRecovery() {
	deadline := time.Now().Add(maxWait)
	for entryIndex := range h.sys.Entries {
		for i := range adapterCount {
			for !h.served(entryIndex, fmt.Sprintf("a%04d", i)) {
				if time.Now().After(deadline) {
					h.addViolation("adapter %d is not served %v after the faults", i, maxWait)
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
}

func (h *history) served(entryIndex int, adapter string) bool {
	req := fasthttp.AcquireRequest()
	res := &fasthttp.Response{}
	req.SetRequestURI("http://" + h.sys.EntryAddrs()[entryIndex] + "/v1/completions")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString(fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":1}`, adapter))
	return h.http.DoTimeout(req, res, maxWait) == nil && res.StatusCode() == fasthttp.StatusOK
}
