package decide_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wardturn"
	"wardturn/decide"
	"wardturn/policy"
)

// agentModel drives an Agent against a model of its engine: orders may be carried out,
// refused or lost with either effect, the engine may restart empty, and reports arrive
// late. The invariants in Check must hold after each step.
type agentModel struct {
	now      time.Time
	agent    *decide.Agent
	slots    int
	out      decide.Orders
	resident map[wardturn.AdapterRef]int // running requests by adapter, as counted by the engine
	loads    []decide.SlotOrder
	unloads  []decide.SlotOrder
	state    map[wardturn.AttemptID]attemptState
	adapter  map[wardturn.AttemptID]wardturn.AdapterRef
	running  []wardturn.AttemptID
	reports  []wardturn.EngineReport // made and not yet delivered
	// foreignLoads are the adapters whose loads were ordered by an earlier agent and are
	// still in progress.
	foreignLoads []wardturn.AdapterRef
	// foreignRequests are the adapters of requests sent by an earlier agent that are still
	// running.
	foreignRequests []wardturn.AdapterRef
	permits         int
	next            uint64
	leaving         bool
}

type attemptState int

const (
	waiting attemptState = iota
	started
	refused
	finished
)

const (
	modelSlots    = 3
	modelRunning  = 4
	modelAdapters = 5
)

func newAgentModel(t *rapid.T) *agentModel {
	m := &agentModel{
		now:      start,
		slots:    modelSlots,
		resident: make(map[wardturn.AdapterRef]int),
		state:    make(map[wardturn.AttemptID]attemptState),
		adapter:  make(map[wardturn.AttemptID]wardturn.AdapterRef),
	}
	m.permits = rapid.IntRange(0, 2).Draw(t, "permits")
	m.newAgent()
	return m
}

func (m *agentModel) newAgent() {
	limit := decide.StoreLimit{
		Rate:     20,
		Parallel: 4,
	}
	var permits decide.Permits
	switch m.permits {
	case 0:
		permits = decide.NewStaticPermits(limit, 2)
	case 1:
		permits = decide.NewAdaptivePermits(limit, 2)
	default:
		permits = decide.NewAllocatedPermits(limit, 2)
	}
	m.agent = decide.NewAgent(m.now, decide.AgentConfig{
		Upstream:     "u",
		Slots:        m.slots,
		MaxRunning:   modelRunning,
		MaxQueue:     12,
		ReserveSlots: 1,
	}, policy.Default{}, permits)
}

// applyOrders executes the agent's orders.
func (m *agentModel) applyOrders(t *rapid.T) {
	out := m.out
	m.out = decide.Orders{}
	for _, r := range out.Refuse {
		if m.state[r.Attempt] != waiting {
			t.Fatalf("refused %v in state %d", r.Attempt, m.state[r.Attempt])
		}
		if r.Outcome.Kind != wardturn.NotRun {
			t.Fatalf("refusal with outcome %v", r.Outcome)
		}
		m.state[r.Attempt] = refused
	}
	for _, o := range out.Unload {
		if n := m.resident[o.Adapter]; n > 0 {
			t.Fatalf("unload of %v under %d running requests", o.Adapter, n)
		}
		m.unloads = append(m.unloads, o)
	}
	m.loads = append(m.loads, out.Load...)
	for _, st := range out.Run {
		m.begin(t, st.Attempt)
	}
}

func (m *agentModel) begin(t *rapid.T, id wardturn.AttemptID) {
	if m.state[id] != waiting {
		t.Fatalf("started %v in state %d", id, m.state[id])
	}
	ref := m.adapter[id]
	if _, ok := m.resident[ref]; !ok {
		// Only an engine that restarted may lack an adapter that the agent expects.
		m.agent.NotLoaded(m.now, id, &m.out)
		m.applyOrders(t)
		return
	}
	m.state[id] = started
	m.resident[ref]++
	m.running = append(m.running, id)
}

func (m *agentModel) Admit(t *rapid.T) {
	for range rapid.IntRange(1, 3).Draw(t, "burst") {
		m.admit(t)
	}
}

func (m *agentModel) admit(t *rapid.T) {
	m.next++
	id := wardturn.AttemptID{
		Entry: "e",
		Seq:   m.next,
	}
	ref := wardturn.AdapterRef{
		Adapter: wardturn.AdapterID(fmt.Sprintf("a%d", rapid.IntRange(0, modelAdapters-1).Draw(t, "adapter"))),
		Version: wardturn.Version(rapid.IntRange(1, 2).Draw(t, "version")),
	}
	w := decide.Work{
		Attempt: id,
		Adapter: ref,
		Class:   wardturn.Class(rapid.IntRange(0, 1).Draw(t, "class")),
	}
	if rapid.Bool().Draw(t, "has deadline") {
		w.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 10_000).Draw(t, "deadline")) * time.Millisecond)
	}
	m.state[id] = waiting
	m.adapter[id] = ref
	m.agent.Admit(m.now, w, &m.out)
	m.applyOrders(t)
	if m.leaving && m.state[id] != refused {
		t.Fatalf("admitted %v while leaving", id)
	}
}

func (m *agentModel) Finish(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("nothing runs")
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "which")
	id := m.running[i]
	m.running = append(m.running[:i:i], m.running[i+1:]...)
	m.state[id] = finished
	if n, ok := m.resident[m.adapter[id]]; ok && n > 0 {
		m.resident[m.adapter[id]]--
	}
	m.agent.Finished(m.now, id, &m.out)
	m.applyOrders(t)
}

func (m *agentModel) Cancel(t *rapid.T) {
	if m.next == 0 {
		t.Skip("no attempts")
	}
	id := wardturn.AttemptID{
		Entry: "e",
		Seq:   uint64(rapid.IntRange(1, int(m.next)).Draw(t, "which")),
	}
	queued := m.agent.Cancel(m.now, id, &m.out)
	if queued != (m.state[id] == waiting) {
		t.Fatalf("cancel of %v in state %d returned %v", id, m.state[id], queued)
	}
	if queued {
		m.state[id] = refused
	}
	m.applyOrders(t)
}

func (m *agentModel) Load(t *rapid.T) {
	if len(m.loads) == 0 {
		t.Skip("no loads")
	}
	o := m.loads[0]
	m.loads = m.loads[1:]
	result := decide.OrderResult(rapid.IntRange(0, 3).Draw(t, "result"))
	effect := result == decide.OrderDone || result == decide.OrderUncertain && rapid.Bool().Draw(t, "took effect")
	if effect {
		if len(m.resident)+len(m.foreignLoads) >= m.slots {
			t.Fatalf("load of %v into a full engine", o.Adapter)
		}
		m.resident[o.Adapter] = 0
	}
	m.agent.Loaded(m.now, o.ID, result, &m.out)
	m.applyOrders(t)
	m.agent.Loaded(m.now, o.ID, decide.OrderDone, &m.out) // a duplicate, delayed result
	m.applyOrders(t)
}

func (m *agentModel) Unload(t *rapid.T) {
	if len(m.unloads) == 0 {
		t.Skip("no unloads")
	}
	o := m.unloads[0]
	m.unloads = m.unloads[1:]
	result := decide.OrderResult(rapid.SampledFrom([]int{0, 1, 3}).Draw(t, "result"))
	effect := result == decide.OrderDone || result == decide.OrderUncertain && rapid.Bool().Draw(t, "took effect")
	if effect {
		delete(m.resident, o.Adapter)
	}
	m.agent.Unloaded(m.now, o.ID, result, &m.out)
	m.applyOrders(t)
}

func (m *agentModel) Restart(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "seldom") != 0 {
		t.Skip("not now")
	}
	m.resident = make(map[wardturn.AdapterRef]int)
	m.foreignLoads = nil
	m.foreignRequests = nil
	running := m.running
	m.running = nil
	for _, id := range running {
		m.state[id] = finished
		m.agent.Finished(m.now, id, &m.out)
	}
	m.applyOrders(t)
}

// RestartAgent replaces the agent beside a busy engine. Requests and loads of the earlier
// agent may continue at the engine.
func (m *agentModel) RestartAgent(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "seldom") != 0 {
		t.Skip("not now")
	}
	for _, id := range m.running {
		m.foreignRequests = append(m.foreignRequests, m.adapter[id])
	}
	for _, o := range m.loads {
		if rapid.Bool().Draw(t, "under way") && len(m.resident)+len(m.foreignLoads) < m.slots {
			m.foreignLoads = append(m.foreignLoads, o.Adapter)
		}
	}
	for id, st := range m.state {
		if st == waiting {
			m.state[id] = refused
		}
	}
	m.running = nil
	m.loads = nil
	m.unloads = nil
	m.reports = nil
	m.leaving = false
	m.now = m.now.Add(time.Millisecond)
	m.newAgent()
}

// EndForeignRequest ends a request of an earlier agent.
func (m *agentModel) EndForeignRequest(t *rapid.T) {
	if len(m.foreignRequests) == 0 {
		t.Skip("none")
	}
	m.resident[m.foreignRequests[0]]--
	m.foreignRequests = m.foreignRequests[1:]
}

// EndForeignLoad completes a load ordered by an earlier agent.
func (m *agentModel) EndForeignLoad(t *rapid.T) {
	if len(m.foreignLoads) == 0 {
		t.Skip("none")
	}
	m.resident[m.foreignLoads[0]] += 0
	m.foreignLoads = m.foreignLoads[1:]
}

// MakeReport makes an engine report, and Report delivers the oldest one. Other steps may
// come between them.
func (m *agentModel) MakeReport(*rapid.T) {
	m.now = m.now.Add(time.Millisecond)
	rep := wardturn.EngineReport{
		At:    m.now,
		Slots: m.slots,
	}
	for ref, n := range m.resident {
		rep.Resident = append(rep.Resident, wardturn.ResidentAdapter{
			Adapter: ref,
			Running: n,
		})
	}
	for _, o := range m.loads {
		rep.Loading = append(rep.Loading, o.Adapter)
	}
	rep.Loading = append(rep.Loading, m.foreignLoads...)
	m.reports = append(m.reports, rep)
	m.now = m.now.Add(time.Millisecond)
}

func (m *agentModel) Report(t *rapid.T) {
	if len(m.reports) == 0 {
		t.Skip("no report")
	}
	rep := m.reports[0]
	m.reports = m.reports[1:]
	m.now = m.now.Add(time.Millisecond)
	m.agent.Report(m.now, rep, &m.out)
	m.applyOrders(t)
}

func (m *agentModel) Leave(t *rapid.T) {
	if rapid.IntRange(0, 49).Draw(t, "seldom") != 0 {
		t.Skip("not now")
	}
	m.leaving = true
	m.agent.Leave(m.now, &m.out)
	m.applyOrders(t)
	for id, st := range m.state {
		if st == waiting {
			t.Fatalf("%v still waits at a leaving agent", id)
		}
	}
}

func (m *agentModel) PassTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	m.agent.Tick(m.now, &m.out)
	m.applyOrders(t)
}

// Check verifies the invariants after every step.
func (m *agentModel) Check(t *rapid.T) {
	if len(m.running) > modelRunning {
		t.Fatalf("%d requests run, limit is %d", len(m.running), modelRunning)
	}
	seen := make(map[wardturn.AdapterRef]bool)
	for _, v := range m.agent.Slots() {
		if v.State == decide.SlotEmpty {
			continue
		}
		if seen[v.Adapter] {
			t.Fatalf("%v holds two slots", v.Adapter)
		}
		seen[v.Adapter] = true
	}
	h := m.agent.Hint()
	if h.Running != len(m.running) {
		t.Fatalf("agent counts %d running requests, want %d", h.Running, len(m.running))
	}
}

func TestAgentModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newAgentModel(t)
		t.Repeat(rapid.StateMachineActions(m))
	})
}
