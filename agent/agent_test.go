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

// fakeEngine holds adapterA and responds with the data that the test sends.
type fakeEngine struct {
	clock wardturn.Clock
	runs  chan fakeRun
	loads chan wardturn.SlotOrder
}

// fakeRun is a running request. Data sent to answer is emitted; closing the channel
// ends the response.
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

// testEntry is a test client that connects to an agent as an entry and sends arbitrary
// messages.
type testEntry struct {
	t         *testing.T
	agent     *agent.Agent
	engine    *fakeEngine
	log       *standin.Log
	client    *peer.Client
	got       chan peer.Message
	connected chan *peer.Conn
}

func (x *testEntry) Connected(c *peer.Conn) { x.connected <- c }

func (x *testEntry) Handle(_ *peer.Conn, m peer.Message) {
	switch m.(type) {
	case *peer.Head, *peer.Chunk, *peer.End:
		x.got <- m
	}
}

func (x *testEntry) Closed(*peer.Conn, error) {}

const agentProcess wardturn.Incarnation = "a1"

func newTestEntry(t *testing.T, cfg agent.Config) *testEntry {
	t.Helper()
	return newTestEntryWithLog(t, cfg, standin.LogFaults{})
}

func newTestEntryWithLog(t *testing.T, cfg agent.Config, faults standin.LogFaults) *testEntry {
	t.Helper()
	return newTestEntryWithClock(t, cfg, standin.NewFastClock(10), faults)
}

func newTestEntryWithClock(t *testing.T, cfg agent.Config, clock wardturn.Clock, faults standin.LogFaults) *testEntry {
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
	cfg.ReportInterval = time.Millisecond
	x := &testEntry{
		t:         t,
		engine:    newFakeEngine(clock),
		log:       standin.NewLog(clock, standin.LogConfig{}),
		got:       make(chan peer.Message, 1024),
		connected: make(chan *peer.Conn, 16),
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
	<-x.connected
	return x
}

func attempt(seq uint64) wardturn.AttemptID {
	return wardturn.AttemptID{
		Entry: "e1",
		Seq:   seq,
	}
}

func (x *testEntry) send(m peer.Message) {
	x.t.Helper()
	if err := x.client.Conn().Send(m); err != nil {
		x.t.Fatal(err)
	}
}

func (x *testEntry) submit(seq uint64, credit int64) {
	x.t.Helper()
	x.send(&peer.Submit{
		Attempt:    attempt(seq),
		Adapter:    adapterA,
		Repeatable: true,
		Credit:     credit,
	})
}

func (x *testEntry) next() peer.Message {
	x.t.Helper()
	select {
	case m := <-x.got:
		return m
	case <-time.After(20 * time.Second):
		x.t.Fatal("no message")
		return nil
	}
}

// end returns the next End message and the response bytes received before it.
func (x *testEntry) end() (*peer.End, string) {
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

// expectNothing checks that the agent has sent no further message: the reply to an
// Attach for attempt seq, which it does not know, must be the next message received.
func (x *testEntry) expectNothing(seq uint64) {
	x.t.Helper()
	x.send(&peer.Attach{
		Attempt: attempt(seq),
		Process: agentProcess,
	})
	if e, ok := x.next().(*peer.End); !ok || e.Attempt != attempt(seq) {
		x.t.Fatal("unexpected message from the agent")
	}
}

func TestDuplicateSubmitRunsOnce(t *testing.T) {
	x := newTestEntry(t, agent.Config{})
	x.submit(1, peer.CreditWindow)
	run := <-x.engine.runs
	x.submit(1, peer.CreditWindow)
	run.answer <- []byte("answer")
	close(run.answer)
	if e, data := x.end(); e.Outcome.Kind != wardturn.Done || data != "answer" {
		t.Fatalf("%+v %q", e.Outcome, data)
	}
	x.submit(1, peer.CreditWindow) // duplicate after the end
	x.expectNothing(99)
	if len(x.engine.runs) != 0 {
		t.Fatal("a duplicate ran")
	}
}

func TestAttachBeforeSubmit(t *testing.T) {
	x := newTestEntry(t, agent.Config{})
	x.send(&peer.Attach{
		Attempt: attempt(7),
		Process: agentProcess,
	})
	if e, _ := x.end(); e.Outcome.Kind != wardturn.NotRun {
		t.Fatalf("%+v", e.Outcome)
	}
	x.submit(7, peer.CreditWindow) // delayed in the network
	if e, _ := x.end(); e.Outcome.Kind != wardturn.NotRun {
		t.Fatalf("delayed submit: %+v", e.Outcome)
	}
	if len(x.engine.runs) != 0 {
		t.Fatal("an attempt ran that was reported as not run")
	}
}

func TestAttachToPreviousProcess(t *testing.T) {
	x := newTestEntry(t, agent.Config{})
	x.send(&peer.Attach{
		Attempt: attempt(1),
		Process: "a0",
	})
	if e, _ := x.end(); e.Outcome.Kind != wardturn.Unknown {
		t.Fatalf("%+v", e.Outcome)
	}
}

func TestCreditBoundsWhatIsSent(t *testing.T) {
	x := newTestEntry(t, agent.Config{})
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
	x.expectNothing(99)
	x.send(&peer.Credit{
		Attempt: attempt(1),
		Upto:    100,
	})
	if e, data := x.end(); e.Outcome.Kind != wardturn.Done || data != "456789" || e.Length != 10 {
		t.Fatalf("%+v %q", e, data)
	}
}

func TestResumeFromOffset(t *testing.T) {
	x := newTestEntry(t, agent.Config{})
	x.submit(1, peer.CreditWindow)
	run := <-x.engine.runs
	run.answer <- []byte("0123456789")
	x.next() // head
	x.next() // chunk
	x.client.Conn().Close()
	<-x.connected
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

func TestSlowCallerBlocksOnlyItself(t *testing.T) {
	x := newTestEntry(t, agent.Config{
		ResponseBuffer: 8,
	})
	x.submit(1, 0)
	run := <-x.engine.runs
	run.answer <- []byte("01234567")
	run.answer <- []byte("89") // blocks: the buffer is full
	x.next()                   // head
	x.submit(2, peer.CreditWindow)
	<-x.engine.runs // the other request runs meanwhile
	x.send(&peer.Cancel{
		Attempt: attempt(1),
	})
	if e, _ := x.end(); e.Attempt != attempt(1) || e.Outcome.Kind != wardturn.Unknown {
		t.Fatalf("%+v", e)
	}
}

// TestKeptAnswersAreBounded ends two attempts whose responses together exceed
// RetainedBytes. An entry that asks for the older one must get an unknown outcome, never
// a wrong one.
func TestKeptAnswersAreBounded(t *testing.T) {
	x := newTestEntry(t, agent.Config{
		RetainedBytes: 15,
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

// TestNoOrdersWithoutFence starts an agent while the log is unavailable. The agent must
// serve the adapters that its engine holds, and send no orders until the log has
// assigned a fence.
func TestNoOrdersWithoutFence(t *testing.T) {
	x := newTestEntryWithLog(t, agent.Config{}, standin.LogFaults{
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
	run := <-x.engine.runs // the loaded adapter is served
	close(run.answer)
	if e, _ := x.end(); e.Attempt != attempt(2) || e.Outcome.Kind != wardturn.Done {
		t.Fatalf("%+v", e)
	}
	// Wait until the agent has suppressed the load order a few times.
	for x.agent.Status().SuppressedOrders < 2 {
		if len(x.engine.loads) != 0 {
			t.Fatal("order sent without a fence")
		}
		time.Sleep(time.Millisecond)
	}
	x.log.SetFaults(standin.LogFaults{})
	if o := <-x.engine.loads; o.Fence == 0 {
		t.Fatalf("%+v", o)
	}
}
