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
	engines  = 2
	services = 2
	adapters = 6
	charges  = 12
	streams  = 10
	lookups  = 6
	tokens   = 30
	tries    = 4  // attempts of a caller with the same idempotency key
	speed    = 10 // of the system's clock, relative to real time
	// patience bounds each request, the planned stop of an agent and the recovery, in
	// real time.
	patience = 40 * time.Second
)

// Outcome is the result of a history.
type Outcome struct {
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

func (h *history) fail(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *history) count(f func(*Counts)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(&h.counts)
}

func (h *history) patience() <-chan time.Time {
	return time.After(patience)
}

// Run runs the history of a seed.
func Run(ctx context.Context, seed uint64) (Outcome, error) {
	rng := rand.New(rand.NewPCG(seed, 0x6368616f73))
	pair := drawPair(rng)
	out := Outcome{
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
	h.play(pair)
	out.Violations = h.violations
	out.Counts = h.counts
	return out, nil
}

func config() demo.Config {
	cfg := demo.Zurich()
	cfg.Clock = standin.NewFastClock(speed)
	cfg.Relays = true
	cfg.Logger = hclog.NewNullLogger()
	cfg.HostLag = time.Second
	cfg.Work = 400 * time.Millisecond
	cfg.Engines = engines
	cfg.Services = services
	cfg.Entries = 2
	cfg.Adapters = adapters
	cfg.Slots = 2
	cfg.Store.Rate = 50
	return cfg
}

// play runs the traffic, injects the faults meanwhile, and checks the results.
func (h *history) play(pair [2]Fault) {
	var wg sync.WaitGroup
	keys := make([]*charge, 0, charges)
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
	for i := range charges {
		c := &charge{
			body:    fmt.Sprintf("card-%d", i),
			created: time.Now(),
		}
		keys = append(keys, c)
		first := h.rng.IntN(2)
		spawn(func() { h.charge(c, first) })
	}
	for i := range streams {
		adapter := fmt.Sprintf("a%04d", h.rng.IntN(adapters))
		spawn(func() { h.stream(adapter, i%2) })
	}
	for i := range lookups {
		spawn(func() { h.lookup(i % 2) })
	}
	h.happen(pair)
	h.join(&wg)
	for _, c := range keys {
		h.check(c)
	}
	h.recover()
}

// happen injects and heals both faults at random times.
func (h *history) happen(pair [2]Fault) {
	pause := func(most int) {
		time.Sleep(time.Duration(h.rng.IntN(most)) * time.Millisecond)
	}
	pause(150)
	pair[0].begin(h)
	pause(100)
	pair[1].begin(h)
	pause(400)
	pair[0].heal(h)
	pause(200)
	pair[1].heal(h)
	if h.rng.IntN(2) == 0 { // inject the first fault again
		pair[0].begin(h)
		pause(100)
		pair[0].heal(h)
	}
	// A fault can undo the healing of the other one, so heal everything at the end.
	healNet(h)
	healLog(h)
	healStore(h)
	h.sys.Hosts.SetDown(false)
}

func (h *history) join(wg *sync.WaitGroup) {
	ended := make(chan struct{})
	go func() {
		wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-h.patience():
		h.fail("requests without an answer after %v", patience)
		wg.Wait()
	}
}

// charge is a request that must run at most once, with the responses to its caller.
type charge struct {
	body    string
	created time.Time
	answers []string // bodies of the responses with outcome done
	told    []wardturn.OutcomeKind
}

// told returns the outcome in the headers of a response.
func told(res *fasthttp.Response) wardturn.OutcomeKind {
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
func (h *history) charge(c *charge, first int) {
	for i := range tries {
		req := fasthttp.AcquireRequest()
		res := &fasthttp.Response{}
		req.SetRequestURI("http://" + h.sys.Addrs()[(first+i)%2] + "/v1/services/" + string(demo.Service) + "/charge")
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.Set(entry.HeaderKey, c.body)
		req.Header.Set(entry.HeaderKeyCreated, c.created.UTC().Format(time.RFC3339))
		req.SetBodyString(c.body)
		if err := h.http.DoTimeout(req, res, patience); err != nil {
			h.fail("%s: no answer: %v", c.body, err)
			return
		}
		kind := told(res)
		c.told = append(c.told, kind)
		h.countOutcome(kind)
		if kind == wardturn.Done {
			c.answers = append(c.answers, string(res.Body()))
			if len(c.answers) == 2 {
				return
			}
			continue // send it once more: the response must be the same
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (h *history) countOutcome(kind wardturn.OutcomeKind) {
	h.count(func(n *Counts) {
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

// check compares the outcomes of a charge with its runs at the upstreams.
func (h *history) check(c *charge) {
	runs := 0
	for _, u := range h.sys.Upstreams {
		if u.Service != nil {
			runs += u.Service.Runs(c.body)
		}
	}
	if runs > 1 {
		h.fail("%s ran %d times; its caller was told %v", c.body, runs, c.told)
	}
	if len(c.answers) > 0 && runs != 1 {
		h.fail("%s was answered as done and ran %d times", c.body, runs)
	}
	for _, a := range c.answers {
		if a != c.answers[0] {
			h.fail("%s has two answers: %s and %s", c.body, c.answers[0], a)
		}
	}
	onlyNotRun := len(c.told) > 0
	for _, k := range c.told {
		onlyNotRun = onlyNotRun && k == wardturn.NotRun
	}
	if onlyNotRun && runs > 0 {
		h.fail("%s was always told not to have run, and ran", c.body)
	}
}

var (
	tokenText = regexp.MustCompile(`"model":"([^"]*)","choices":\[\{"index":0,"text":" w(\d+)"`)
	endMark   = []byte("data: [DONE]\n\n")
)

// stream requests a streamed completion and checks that it is complete or ends with an
// error event.
func (h *history) stream(adapter string, at int) {
	req := fasthttp.AcquireRequest()
	res := &fasthttp.Response{}
	req.SetRequestURI("http://" + h.sys.Addrs()[at] + "/v1/completions")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString(fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":%d,"stream":true}`, adapter, tokens))
	if err := h.http.DoTimeout(req, res, patience); err != nil {
		h.fail("stream of %s: no answer: %v", adapter, err)
		return
	}
	if res.StatusCode() != fasthttp.StatusOK {
		h.countOutcome(told(res))
		return
	}
	n := 0
	for _, m := range tokenText.FindAllSubmatch(res.Body(), -1) {
		if string(m[1]) != adapter+"@1" {
			h.fail("stream of %s has a token of %s", adapter, m[1])
		}
		if string(m[2]) != strconv.Itoa(n) {
			h.fail("stream of %s has token %s at place %d", adapter, m[2], n)
		}
		n++
	}
	switch {
	case !bytes.HasSuffix(res.Body(), endMark):
		h.count(func(c *Counts) { c.Cut++ })
		if !bytes.Contains(res.Body(), []byte("event: error\n")) {
			h.fail("stream of %s is cut short without saying so", adapter)
		}
	case n != tokens:
		h.fail("stream of %s looks whole with %d of %d tokens", adapter, n, tokens)
	default:
		h.countOutcome(wardturn.Done)
	}
}

// lookup sends a request that may run more than once.
func (h *history) lookup(at int) {
	req := fasthttp.AcquireRequest()
	res := &fasthttp.Response{}
	req.SetRequestURI("http://" + h.sys.Addrs()[at] + "/v1/services/" + string(demo.Service) + "/tariff")
	if err := h.http.DoTimeout(req, res, patience); err != nil {
		h.fail("lookup: no answer: %v", err)
		return
	}
	kind := told(res)
	h.countOutcome(kind)
	if kind != wardturn.Done {
		return
	}
	var receipt struct {
		Path string `json:"path"`
	}
	if json.Unmarshal(res.Body(), &receipt) != nil || receipt.Path != "/tariff" {
		h.fail("lookup got another's answer: %s", res.Body())
	}
}

// recover waits until every adapter is served again through every entry.
func (h *history) recover() {
	end := time.Now().Add(patience)
	for at := range h.sys.Entries {
		for i := range adapters {
			for !h.served(at, fmt.Sprintf("a%04d", i)) {
				if time.Now().After(end) {
					h.fail("adapter %d is not served %v after the faults", i, patience)
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
}

func (h *history) served(at int, adapter string) bool {
	req := fasthttp.AcquireRequest()
	res := &fasthttp.Response{}
	req.SetRequestURI("http://" + h.sys.Addrs()[at] + "/v1/completions")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString(fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":1}`, adapter))
	return h.http.DoTimeout(req, res, patience) == nil && res.StatusCode() == fasthttp.StatusOK
}
