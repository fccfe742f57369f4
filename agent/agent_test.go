package agent_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"wardturn"
	"wardturn/agent"
	"wardturn/decide"
	"wardturn/peer"
	"wardturn/policy"
	"wardturn/process"
	"wardturn/standin"
)

var adapterA = wardturn.AdapterRef{
	Adapter: "a",
	Version: 1,
}

// fakeEngine holds one adapter and answers with what its test sends.
type fakeEngine struct {
	clock wardturn.Clock
	runs  chan fakeRun
	loads chan wardturn.SlotOrder
}

// fakeRun is one request under way. What is sent to answer is emitted; closing
// it ends the answer.
type fakeRun struct {
	answer chan<- []byte
}

func newFakeEngine(clock wardturn.Clock) *fakeEngine {
	return &fakeEngine{
		clock: clock,
		runs:  make(chan fakeRun, 16),
		loads: make(chan wardturn.SlotOrder, 1024),
	}
}

func (f *fakeEngine) Run(ctx context.Context, req wardturn.EngineRequest, emit func([]byte) error) (wardturn.EngineResult, error) {
	answer := make(chan []byte, 16)
	f.runs <- fakeRun{
		answer: answer,
	}
	for {
		select {
		case data, ok := <-answer:
			if !ok {
				return wardturn.EngineResult{
					Adapter: req.Adapter,
				}, nil
			}
			if err := emit(data); err != nil {
				return wardturn.EngineResult{}, err
			}
		case <-ctx.Done():
			return wardturn.EngineResult{}, ctx.Err()
		}
	}
}

func (f *fakeEngine) Load(_ context.Context, o wardturn.SlotOrder) error {
	f.loads <- o
	return nil
}

func (f *fakeEngine) Unload(context.Context, wardturn.SlotOrder) error { return nil }

func (f *fakeEngine) Report(context.Context) (wardturn.EngineReport, error) {
	return wardturn.EngineReport{
		At: f.clock.Now(),
		Resident: []wardturn.ResidentAdapter{{
			Adapter: adapterA,
		}},
	}, nil
}

// tester is an entry that sends messages of its own making.
type tester struct {
	t      *testing.T
	agent  *agent.Agent
	engine *fakeEngine
	log    *standin.Log
	client *peer.Client
	got    chan peer.Message
	up     chan *peer.Conn
}

func (x *tester) Connected(c *peer.Conn) { x.up <- c }

func (x *tester) Handle(_ *peer.Conn, m peer.Message) {
	switch m.(type) {
	case *peer.Head, *peer.Chunk, *peer.End:
		x.got <- m
	}
}

func (x *tester) Closed(*peer.Conn, error) {}

const agentProcess wardturn.Incarnation = "a1"

func newTester(t *testing.T, cfg agent.Config) *tester {
	t.Helper()
	return newTesterWithLog(t, cfg, standin.LogFaults{})
}

func newTesterWithLog(t *testing.T, cfg agent.Config, faults standin.LogFaults) *tester {
	t.Helper()
	return newTesterOn(t, cfg, standin.NewFastClock(10), faults)
}

func newTesterOn(t *testing.T, cfg agent.Config, clock wardturn.Clock, faults standin.LogFaults) *tester {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	metrics := process.NewMetrics()
	t.Cleanup(metrics.Close)
	cfg.Upstream = "u"
	cfg.Process = agentProcess
	cfg.Region = "r"
	cfg.Domain = "d"
	cfg.Model = "m"
	cfg.Slots = 2
	cfg.RequireFence = true
	cfg.Store = decide.StoreLimit{
		Rate:     100,
		Parallel: 1,
	}
	cfg.ReportEvery = time.Millisecond
	x := &tester{
		t:      t,
		engine: newFakeEngine(clock),
		log:    standin.NewLog(clock, standin.LogConfig{}),
		got:    make(chan peer.Message, 1024),
		up:     make(chan *peer.Conn, 16),
	}
	x.log.SetFaults(faults)
	x.agent = agent.New(agent.Deps{
		Config:   cfg,
		Clock:    clock,
		Logger:   hclog.NewNullLogger(),
		Metrics:  agent.NewMetrics(metrics.Scope),
		Log:      x.log,
		Hosts:    standin.NewHostList(clock, 0),
		Engine:   x.engine,
		Policy:   policy.Default{},
		Listener: ln,
	})
	t.Cleanup(x.agent.Close)
	x.client = peer.NewClient(x.agent.Addr(), nil, clock, peer.Identity{
		Role:    peer.RoleEntry,
		Process: "e1",
		Config:  func() wardturn.Offset { return 0 },
	}, x)
	t.Cleanup(x.client.Close)
	<-x.up
	return x
}

func attempt(seq uint64) wardturn.AttemptID {
	return wardturn.AttemptID{
		Entry: "e1",
		Seq:   seq,
	}
}

func (x *tester) send(m peer.Message) {
	x.t.Helper()
	if err := x.client.Conn().Send(m); err != nil {
		x.t.Fatal(err)
	}
}

func (x *tester) submit(seq uint64, credit int64) {
	x.t.Helper()
	x.send(&peer.Submit{
		Attempt:    attempt(seq),
		Adapter:    adapterA,
		Repeatable: true,
		Credit:     credit,
	})
}

func (x *tester) next() peer.Message {
	x.t.Helper()
	select {
	case m := <-x.got:
		return m
	case <-time.After(20 * time.Second):
		x.t.Fatal("no message")
		return nil
	}
}

// end skips to the end of an attempt and returns it with the bytes before.
func (x *tester) end() (*peer.End, string) {
	x.t.Helper()
	data := ""
	for {
		switch m := x.next().(type) {
		case *peer.Chunk:
			data += string(m.Data)
		case *peer.End:
			return m, data
		}
	}
}

// quiet checks that the agent has sent nothing more: the answer to a later
// question comes first.
func (x *tester) quiet(seq uint64) {
	x.t.Helper()
	x.send(&peer.Attach{
		Attempt: attempt(seq),
		Process: agentProcess,
	})
	if e, ok := x.next().(*peer.End); !ok || e.Attempt != attempt(seq) {
		x.t.Fatal("the agent sent something that it must not send")
	}
}

func TestDuplicateSubmitRunsOnce(t *testing.T) {
	x := newTester(t, agent.Config{})
	x.submit(1, peer.CreditWindow)
	run := <-x.engine.runs
	x.submit(1, peer.CreditWindow)
	run.answer <- []byte("answer")
	close(run.answer)
	if e, data := x.end(); e.Outcome.Kind != wardturn.Done || data != "answer" {
		t.Fatalf("%+v %q", e.Outcome, data)
	}
	x.submit(1, peer.CreditWindow) // late
	x.quiet(99)
	if len(x.engine.runs) != 0 {
		t.Fatal("a copy ran")
	}
}

func TestAskedForBeforeItCame(t *testing.T) {
	x := newTester(t, agent.Config{})
	x.send(&peer.Attach{
		Attempt: attempt(7),
		Process: agentProcess,
	})
	if e, _ := x.end(); e.Outcome.Kind != wardturn.NotRun {
		t.Fatalf("%+v", e.Outcome)
	}
	x.submit(7, peer.CreditWindow) // delayed on its way
	if e, _ := x.end(); e.Outcome.Kind != wardturn.NotRun {
		t.Fatalf("delayed copy: %+v", e.Outcome)
	}
	if len(x.engine.runs) != 0 {
		t.Fatal("an attempt ran that was said not to have run")
	}
}

func TestAnotherProcessIsUnknown(t *testing.T) {
	x := newTester(t, agent.Config{})
	x.send(&peer.Attach{
		Attempt: attempt(1),
		Process: "a0",
	})
	if e, _ := x.end(); e.Outcome.Kind != wardturn.Unknown {
		t.Fatalf("%+v", e.Outcome)
	}
}

func TestCreditBoundsWhatIsSent(t *testing.T) {
	x := newTester(t, agent.Config{})
	x.submit(1, 4)
	run := <-x.engine.runs
	run.answer <- []byte("0123456789")
	close(run.answer)
	if _, ok := x.next().(*peer.Head); !ok {
		t.Fatal("no head")
	}
	if c, ok := x.next().(*peer.Chunk); !ok || string(c.Data) != "0123" {
		t.Fatalf("%+v", c)
	}
	x.quiet(99)
	x.send(&peer.Credit{
		Attempt: attempt(1),
		Upto:    100,
	})
	if e, data := x.end(); e.Outcome.Kind != wardturn.Done || data != "456789" || e.Length != 10 {
		t.Fatalf("%+v %q", e, data)
	}
}

func TestResumeFromOffset(t *testing.T) {
	x := newTester(t, agent.Config{})
	x.submit(1, peer.CreditWindow)
	run := <-x.engine.runs
	run.answer <- []byte("0123456789")
	x.next() // head
	x.next() // chunk
	x.client.Conn().Close()
	<-x.up
	x.send(&peer.Attach{
		Attempt: attempt(1),
		Process: agentProcess,
		From:    6,
		Credit:  peer.CreditWindow,
	})
	run.answer <- []byte("ab")
	close(run.answer)
	if e, data := x.end(); e.Outcome.Kind != wardturn.Done || data != "6789ab" {
		t.Fatalf("%+v %q", e.Outcome, data)
	}
}

func TestSlowCallerHoldsUpOnlyItself(t *testing.T) {
	x := newTester(t, agent.Config{
		ResponseBuffer: 8,
	})
	x.submit(1, 0)
	run := <-x.engine.runs
	run.answer <- []byte("01234567")
	run.answer <- []byte("89") // blocks: the buffer is full
	x.next()                   // head
	x.submit(2, peer.CreditWindow)
	<-x.engine.runs // the other runs meanwhile,
	x.send(&peer.Cancel{
		Attempt: attempt(1),
	})
	if e, _ := x.end(); e.Attempt != attempt(1) || e.Outcome.Kind != wardturn.Unknown {
		t.Fatalf("%+v", e)
	}
}

// TestKeptAnswersAreBounded ends two answers that do not fit together: the older
// one's outcome is unknown to whoever asks again, never wrong.
func TestKeptAnswersAreBounded(t *testing.T) {
	x := newTester(t, agent.Config{
		KeepBytes: 15,
	})
	for seq := uint64(1); seq <= 2; seq++ {
		x.submit(seq, peer.CreditWindow)
		run := <-x.engine.runs
		run.answer <- []byte("0123456789")
		close(run.answer)
		x.end()
	}
	for seq, want := range map[uint64]wardturn.OutcomeKind{1: wardturn.Unknown, 2: wardturn.Done} {
		x.send(&peer.Attach{
			Attempt: attempt(seq),
			Process: agentProcess,
			Credit:  peer.CreditWindow,
		})
		if e, _ := x.end(); e.Outcome.Kind != want {
			t.Fatalf("attempt %d: %+v, want %v", seq, e.Outcome, want)
		}
	}
}

// TestNoOrdersWithoutFence starts an agent while the log is out: it serves what
// its engine holds, and orders nothing until it has a fence from the log.
func TestNoOrdersWithoutFence(t *testing.T) {
	x := newTesterWithLog(t, agent.Config{}, standin.LogFaults{
		Down: true,
	})
	x.send(&peer.Submit{
		Attempt: attempt(1),
		Adapter: wardturn.AdapterRef{
			Adapter: "b",
			Version: 1,
		},
		Repeatable: true,
		Credit:     peer.CreditWindow,
	})
	x.submit(2, peer.CreditWindow)
	run := <-x.engine.runs // what is loaded is served
	close(run.answer)
	if e, _ := x.end(); e.Attempt != attempt(2) || e.Outcome.Kind != wardturn.Done {
		t.Fatalf("%+v", e)
	}
	// Let the agent refuse itself the load a few times.
	for x.agent.Status().Refusals < 2 {
		if len(x.engine.loads) != 0 {
			t.Fatal("an order without a fence")
		}
		time.Sleep(time.Millisecond)
	}
	x.log.SetFaults(standin.LogFaults{})
	if o := <-x.engine.loads; o.Fence == 0 {
		t.Fatalf("%+v", o)
	}
}
