package scenario_test

import (
	"context"
	"fmt"
	"net"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"wardturn/agent"
	"wardturn/demo"
	"wardturn/entry"
	"wardturn/standin"
)

const (
	defaultSpeed = 10 // of the clock, unless a scenario sets another
	// waitTimeout bounds the wait for a condition that must become true. It only determines
	// when a failed scenario is aborted.
	waitTimeout  = 30 * time.Second
	pollInterval = 2 * time.Millisecond
	// connectTimeout is in real time. The entry's default is 0.05 s of real time at the
	// scenarios' speed, and the first connection may take longer on a loaded machine. It
	// has to be less than the deadline of requests, for the scenario blocked.
	connectTimeout = 2 * time.Second
	// deadlineGrace is the real time that an agent's result may take after the deadline of a
	// request. The entry's default is 0.05 s of real time at the scenarios' speed.
	deadlineGrace = 500 * time.Millisecond
)

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			s := &scenario{
				calls: make(map[string]*callResult),
			}
			env.Values[scenarioKey{}] = s
			env.Defer(s.close)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"system":  command(startSystem),
			"call":    command(startCall),
			"service": command(startService),
			"vanish":  command(disconnect),
			"ended":   command(waitCall),
			"running": command(waitRunning),
			"expect":  command(expectReply),
			"runs":    command(expectRuns),
			"charged": command(waitRuns),
			"log":     command(logFault),
			"store":   command(storeFault),
			"net":     command(netFault),
			"agent":   command(agentFault),
			"engine":  command(engineFault),
			"hold":    command(holdService),
			"entry":   command(entryFault),
			"publish": command(publishDoc),
			"policy":  command(waitPolicy),
			"ready":   command(waitStatus),
			"knows":   command(waitConfig),
		},
	})
}

type scenarioKey struct{}

// scenario is the state of one scenario.
type scenario struct {
	clock           *standin.FastClock
	sys             *demo.System
	calls           map[string]*callResult
	releaseServices func()
	wg              sync.WaitGroup
}

// callResult is the response to a call, as far as it was received.
type callResult struct {
	mu     sync.Mutex
	body   strings.Builder
	status int
	header map[string]string
	err    error
	done   chan struct{}
}

// command adapts a command that has no negation.
func command(f func(*testscript.TestScript, *scenario, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("this command has no negation")
		}
		f(ts, ts.Value(scenarioKey{}).(*scenario), args)
	}
}

func (s *scenario) close() {
	if s.releaseServices != nil {
		s.releaseServices()
	}
	if s.sys != nil {
		s.sys.Close()
	}
	s.wg.Wait()
}

// parseOptions splits arguments into key=value options and the rest.
func parseOptions(args []string) (map[string]string, []string) {
	opts := make(map[string]string)
	var rest []string
	for _, a := range args {
		if k, v, ok := strings.Cut(a, "="); ok {
			opts[k] = v
			continue
		}
		rest = append(rest, a)
	}
	return opts, rest
}

// intOption returns an option as a number, or def if it is missing.
func intOption(opts map[string]string, name string, def int) int {
	n, err := strconv.Atoi(opts[name])
	if err != nil {
		return def
	}
	return n
}

// waitUntil polls until a condition is true, for waitTimeout at most.
func waitUntil(ts *testscript.TestScript, what string, holds func() bool) {
	end := time.Now().Add(waitTimeout)
	for !holds() {
		if time.Now().After(end) {
			ts.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// system engines=N services=N entries=N adapters=N slots=N speed=N: starts a system.
//
// With a lower speed than the default, the timeouts of the daemons, such as that of
// appending a claim to the log, are longer in real time.
func startSystem(ts *testscript.TestScript, s *scenario, args []string) {
	opts, _ := parseOptions(args)
	speed := intOption(opts, "speed", defaultSpeed)
	s.clock = standin.NewFastClock(speed)
	cfg := demo.ZurichConfig()
	cfg.Clock = s.clock
	cfg.FaultProxies = true
	cfg.Logger = hclog.NewNullLogger()
	cfg.HostListDelay = 0
	cfg.ServiceTime = 0
	cfg.Engines = intOption(opts, "engines", 1)
	cfg.Services = intOption(opts, "services", 0)
	cfg.Entries = intOption(opts, "entries", 1)
	cfg.Adapters = intOption(opts, "adapters", 5)
	cfg.AdapterSlots = intOption(opts, "slots", 2)
	cfg.Log.Retention = time.Duration(intOption(opts, "retention", 0)) * time.Second
	cfg.Deadline = time.Duration(intOption(opts, "deadline", 0)) * time.Second
	cfg.Store.Rate = 100
	cfg.ConnectTimeout = connectTimeout * time.Duration(speed)
	cfg.DeadlineGrace = deadlineGrace * time.Duration(speed)
	sys, err := demo.Start(context.Background(), cfg)
	ts.Check(err)
	s.sys = sys
	for _, u := range sys.Upstreams {
		waitConfig(ts, s, []string{string(u.ID)})
		if u.Engine != nil {
			waitUntil(ts, "fence of "+string(u.ID), func() bool { return u.Agent.Status().Fence > 0 })
		}
	}
}

func (s *scenario) upstream(ts *testscript.TestScript, id string) *demo.Upstream {
	for _, u := range s.sys.Upstreams {
		if string(u.ID) == id {
			return u
		}
	}
	ts.Fatalf("no upstream %s", id)
	return nil
}

// call NAME ADAPTER [entry=N] [tokens=N] [whole=1] [class=C] [deadline=MS]
func startCall(ts *testscript.TestScript, s *scenario, args []string) {
	opts, rest := parseOptions(args)
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://" + s.sys.EntryAddrs()[intOption(opts, "entry", 0)] + "/v1/completions")
	req.Header.SetMethod(fasthttp.MethodPost)
	if c := opts["class"]; c != "" {
		req.Header.Set(entry.HeaderClass, c)
	}
	if d := opts["deadline"]; d != "" {
		req.Header.Set(entry.HeaderDeadline, d)
	}
	stream := opts["whole"] == ""
	req.SetBodyString(fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":%d,"stream":%v}`, rest[1], intOption(opts, "tokens", 3), stream))
	s.start(rest[0], req)
}

// vanish ADAPTER tokens=N: requests a stream, reads its first byte and disconnects.
func disconnect(ts *testscript.TestScript, s *scenario, args []string) {
	opts, rest := parseOptions(args)
	c, err := net.Dial("tcp", s.sys.EntryAddrs()[0])
	ts.Check(err)
	defer c.Close()
	body := fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":%d,"stream":true}`, rest[0], intOption(opts, "tokens", 3))
	_, err = fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	ts.Check(err)
	_, err = c.Read(make([]byte, 1))
	ts.Check(err)
}

// service NAME METHOD PATH BODY [entry=N] [key=K] [age=SECONDS] [deadline=MS]
func startService(_ *testscript.TestScript, s *scenario, args []string) {
	opts, rest := parseOptions(args)
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://" + s.sys.EntryAddrs()[intOption(opts, "entry", 0)] + "/v1/services/" + string(demo.Service) + rest[2])
	req.Header.SetMethod(rest[1])
	if k := opts["key"]; k != "" {
		created := s.clock.Now().Add(-time.Duration(intOption(opts, "age", 0)) * time.Second)
		req.Header.Set(entry.HeaderIdempotencyKey, k)
		req.Header.Set(entry.HeaderIdempotencyKeyCreated, created.UTC().Format(time.RFC3339))
	}
	if d := opts["deadline"]; d != "" {
		req.Header.Set(entry.HeaderDeadline, d)
	}
	if len(rest) > 3 {
		req.SetBodyString(rest[3])
	}
	s.start(rest[0], req)
}

func (s *scenario) start(name string, req *fasthttp.Request) {
	r := &callResult{
		header: make(map[string]string),
		done:   make(chan struct{}),
	}
	s.calls[name] = r
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		defer close(r.done)
		r.run(req)
	}()
}

func (r *callResult) run(req *fasthttp.Request) {
	client := fasthttp.Client{
		StreamResponseBody:        true,
		MaxIdemponentCallAttempts: 1,
	}
	res := fasthttp.AcquireResponse()
	err := client.Do(req, res)
	r.mu.Lock()
	r.err = err
	if err != nil {
		r.mu.Unlock()
		return
	}
	r.status = res.StatusCode()
	for k, v := range res.Header.All() {
		r.header[string(k)] = string(v)
	}
	r.mu.Unlock()
	buf := make([]byte, 4096)
	for {
		n, err := res.BodyStream().Read(buf)
		r.mu.Lock()
		r.body.Write(buf[:n])
		r.mu.Unlock()
		if err != nil {
			return
		}
	}
}

func (r *callResult) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.body.String()
}

func (s *scenario) result(ts *testscript.TestScript, name string) *callResult {
	r := s.calls[name]
	if r == nil {
		ts.Fatalf("no call %s", name)
	}
	return r
}

// ended NAME...
func waitCall(ts *testscript.TestScript, s *scenario, args []string) {
	for _, name := range args {
		select {
		case <-s.result(ts, name).done:
		case <-time.After(waitTimeout):
			ts.Fatalf("call %s did not end", name)
		}
	}
}

// running NAME: waits for the first bytes of a response, which must not be a refusal.
func waitRunning(ts *testscript.TestScript, s *scenario, args []string) {
	r := s.result(ts, args[0])
	waitUntil(ts, "first bytes of "+args[0], func() bool { return r.text() != "" })
	if r.status != fasthttp.StatusOK {
		ts.Fatalf("%s does not run: %s", args[0], r.text())
	}
}

// expect NAME status=N [outcome=O] [reason=R] [body=REGEXP] [tokens=N]
func expectReply(ts *testscript.TestScript, s *scenario, args []string) {
	opts, rest := parseOptions(args)
	waitCall(ts, s, rest[:1])
	r := s.result(ts, rest[0])
	if r.err != nil {
		ts.Fatalf("%s: %v", rest[0], r.err)
	}
	checkOption := func(name, got string) {
		if want, ok := opts[name]; ok && want != got {
			ts.Fatalf("%s: %s is %q, want %q; response: %s", rest[0], name, got, want, r.text())
		}
	}
	checkOption("status", strconv.Itoa(r.status))
	checkOption("outcome", r.header[entry.HeaderOutcome])
	checkOption("reason", r.header[entry.HeaderReason])
	checkOption("version", r.header[entry.HeaderVersion])
	checkOption("tokens", strconv.Itoa(countTokens(r.text())))
	if re, ok := opts["body"]; ok {
		re, err := url.QueryUnescape(re)
		ts.Check(err)
		if !regexp.MustCompile(re).MatchString(r.text()) {
			ts.Fatalf("%s: response %q does not match %q", rest[0], r.text(), re)
		}
	}
}

// countTokens returns the number of tokens of a stream, or -1 unless each token occurs
// once, in order, and the end marker follows.
func countTokens(body string) int {
	n := 0
	for _, m := range regexp.MustCompile(`"text":" w(\d+)"`).FindAllStringSubmatch(body, -1) {
		if m[1] != strconv.Itoa(n) {
			return -1
		}
		n++
	}
	if !strings.HasSuffix(body, "data: [DONE]\n\n") {
		return -1
	}
	return n
}

// runs BODY N: checks how often the services ran a call with this body.
func expectRuns(ts *testscript.TestScript, s *scenario, args []string) {
	n := 0
	for _, u := range s.sys.Upstreams {
		if u.Service != nil {
			n += u.Service.Runs(args[0])
		}
	}
	if strconv.Itoa(n) != args[1] {
		ts.Fatalf("%q ran %d times, want %s", args[0], n, args[1])
	}
}

// charged BODY: waits until any service has run a call with this body.
func waitRuns(ts *testscript.TestScript, s *scenario, args []string) {
	waitUntil(ts, "run of "+args[0], func() bool {
		for _, u := range s.sys.Upstreams {
			if u.Service != nil && u.Service.Runs(args[0]) > 0 {
				return true
			}
		}
		return false
	})
}

// log down|up|lose
func logFault(ts *testscript.TestScript, s *scenario, args []string) {
	var f standin.LogFaults
	switch args[0] {
	case "down":
		f.Down = true
	case "lose":
		f.LoseReply = func() bool { return true }
	case "up":
	default:
		ts.Fatalf("log %s", args[0])
	}
	s.sys.Log.SetFaults(f)
}

// store down|up|slow
func storeFault(ts *testscript.TestScript, s *scenario, args []string) {
	var f standin.StoreFaults
	switch args[0] {
	case "down":
		f.Down = true
	case "slow":
		f.Slow = 10
	case "up":
	default:
		ts.Fatalf("store %s", args[0])
	}
	s.sys.Store.SetFaults(f)
}

// net cut|block|freeze|heal UPSTREAM
func netFault(ts *testscript.TestScript, s *scenario, args []string) {
	r := s.upstream(ts, args[1]).FaultProxy
	switch args[0] {
	case "cut":
		r.CloseConns()
	case "block":
		r.Block(true)
	case "freeze":
		r.Freeze(true)
	case "heal":
		r.Block(false)
		r.Freeze(false)
	default:
		ts.Fatalf("net %s", args[0])
	}
}

// agent kill|restart|leave|list-leaving|gone UPSTREAM
func agentFault(ts *testscript.TestScript, s *scenario, args []string) {
	u := s.upstream(ts, args[1])
	switch args[0] {
	case "kill":
		u.Agent.Close()
	case "restart":
		u.Agent.Close()
		ts.Check(s.sys.StartAgent(u, "127.0.0.1:0"))
	case "leave":
		u.Agent.Shutdown()
	case "list-leaving":
		s.sys.Hosts.Leave(u.ID)
		waitUntil(ts, "leaving of "+args[1], func() bool { return u.Agent.Status().Leaving })
	case "gone":
		select {
		case <-u.Agent.Shutdown():
		case <-time.After(waitTimeout):
			ts.Fatalf("%s did not finish", args[1])
		}
	default:
		ts.Fatalf("agent %s", args[0])
	}
}

// publish KEY FILE [entry=N]: publishes a document as an operator.
func publishDoc(ts *testscript.TestScript, s *scenario, args []string) {
	opts, rest := parseOptions(args)
	base := "http://" + s.sys.EntryAddrs()[intOption(opts, "entry", 0)] + entry.PathDocs + "/" + rest[0]
	req := fasthttp.AcquireRequest()
	res := &fasthttp.Response{}
	req.SetRequestURI(base)
	req.Header.Set("Authorization", "Bearer "+demo.OperatorKey)
	ts.Check(fasthttp.Do(req, res))
	tag := string(res.Header.Peek("ETag"))
	if tag == "" {
		req.Header.Set("If-None-Match", "*")
	} else {
		req.Header.Set("If-Match", tag)
	}
	req.Header.SetMethod(fasthttp.MethodPut)
	req.SetBodyString(ts.ReadFile(rest[1]))
	ts.Check(fasthttp.Do(req, res))
	if res.StatusCode() != fasthttp.StatusOK {
		ts.Fatalf("publish %s: %s", rest[0], res.Body())
	}
}

// policy UPSTREAM NAME: waits until an agent uses a policy.
func waitPolicy(ts *testscript.TestScript, s *scenario, args []string) {
	waitUntil(ts, "policy "+args[1], func() bool {
		return s.upstream(ts, args[0]).Agent.Status().Policy == args[1]
	})
}

// knows UPSTREAM: waits until an agent has applied the configuration of the first entry.
func waitConfig(ts *testscript.TestScript, s *scenario, args []string) {
	want := s.sys.Entries[0].Replica().AppliedOffset()
	waitUntil(ts, "configuration at "+args[0], func() bool {
		return s.upstream(ts, args[0]).Agent.Status().Config >= want
	})
}

// entry start: adds an entry and waits until it is ready.
func entryFault(ts *testscript.TestScript, s *scenario, args []string) {
	if args[0] != "start" {
		ts.Fatalf("entry %s", args[0])
	}
	ts.Check(s.sys.StartEntry())
	e := s.sys.Entries[len(s.sys.Entries)-1]
	waitUntil(ts, "new entry to be ready", e.Ready)
}

// engine restart UPSTREAM
func engineFault(ts *testscript.TestScript, s *scenario, args []string) {
	switch args[0] {
	case "restart":
		s.upstream(ts, args[1]).Engine.Restart()
	default:
		ts.Fatalf("engine %s", args[0])
	}
}

// hold on|off: blocks the responses of the services after their calls have run.
func holdService(ts *testscript.TestScript, s *scenario, args []string) {
	if args[0] == "off" {
		s.releaseServices()
		s.releaseServices = nil
		return
	}
	var releases []func()
	for _, u := range s.sys.Upstreams {
		if u.Service != nil {
			releases = append(releases, u.Service.Hold())
		}
	}
	s.releaseServices = func() {
		for _, f := range releases {
			f()
		}
	}
}

// ready UPSTREAM running=N | queued=N | leaving=true: waits until the status of an agent
// has the given values.
func waitStatus(ts *testscript.TestScript, s *scenario, args []string) {
	opts, rest := parseOptions(args)
	status := func() agent.Status { return s.upstream(ts, rest[0]).Agent.Status() }
	waitUntil(ts, strings.Join(args, " "), func() bool {
		st := status()
		leaving, ok := opts["leaving"]
		if ok && leaving != strconv.FormatBool(st.Leaving) {
			return false
		}
		return optionMatches(opts, "running", st.Hint.Running) && optionMatches(opts, "queued", st.Hint.Queued)
	})
}

// optionMatches reports whether an option is missing or equal to got.
func optionMatches(opts map[string]string, name string, got int) bool {
	want, ok := opts[name]
	return !ok || want == strconv.Itoa(got)
}
