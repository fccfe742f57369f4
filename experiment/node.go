package experiment

import (
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/standin"
)

// admit passes a request to the agent core.
func (n *node) admit(c *call) {
	req := n.sim.trace[c.index]
	w := decide.Work{
		Attempt: c.id,
		Adapter: req.AdapterRef(),
		Class:   n.sim.samples[c.index].class,
		Prompt:  req.PromptTokens,
		Output:  req.OutputTokens,
	}
	if req.DeadlineMS > 0 {
		w.Deadline = standin.Epoch.Add(req.ArrivalTime() + time.Duration(req.DeadlineMS)*time.Millisecond)
	}
	n.calls[c.id] = c
	n.agent.Admit(n.sim.clock.Now(), w, &n.orders)
	n.executeOrders()
}

// executeOrders executes the orders of the agent core, including those that follow from
// them.
func (n *node) executeOrders() {
	out := n.orders
	n.orders = decide.Orders{}
	for _, r := range out.Refuse {
		c := n.calls[r.Attempt]
		delete(n.calls, r.Attempt)
		n.sim.reply(c, r.Outcome)
	}
	for _, o := range out.Unload {
		n.unload(o)
	}
	for _, o := range out.Load {
		n.load(o)
	}
	for _, st := range out.Run {
		n.start(st)
	}
	for _, w := range out.PermitRequests {
		n.requestPermit(w)
	}
}

// handleEvent passes an event to the agent core and executes the resulting orders.
func (n *node) handleEvent(f func(now time.Time, out *decide.Orders)) {
	f(n.sim.clock.Now(), &n.orders)
	n.executeOrders()
}

// engineOrder converts an order of the agent core to an order for the engine.
func engineOrder(o decide.SlotOrder) wardturn.SlotOrder {
	return wardturn.SlotOrder{
		ID:      o.ID,
		Fence:   1,
		Adapter: o.Adapter,
	}
}

func (n *node) load(o decide.SlotOrder) {
	n.engine.Load(engineOrder(o), func(err error) {
		n.handleEvent(func(now time.Time, out *decide.Orders) {
			n.agent.Loaded(now, o.ID, orderResult(err), out)
		})
	})
}

func (n *node) unload(o decide.SlotOrder) {
	n.engine.Unload(engineOrder(o), func(err error) {
		n.handleEvent(func(now time.Time, out *decide.Orders) {
			n.agent.Unloaded(now, o.ID, orderResult(err), out)
		})
	})
}

func orderResult(err error) decide.OrderResult {
	switch err {
	case nil:
		return decide.OrderDone
	case wardturn.ErrStoreBusy:
		return decide.OrderStoreBusy
	}
	return decide.OrderRefused
}

// start submits a request to the engine.
func (n *node) start(st decide.Start) {
	c := n.calls[st.Attempt]
	req := n.sim.trace[c.index]
	sm := &n.sim.samples[c.index]
	sm.stall = st.AdapterWait
	sm.wait = n.sim.elapsed() - c.sentAt
	gen := standin.Generation{
		Request: wardturn.EngineRequest{
			Attempt:  c.id,
			Adapter:  req.AdapterRef(),
			Priority: int(sm.class),
			Prompt:   req.PromptTokens,
			Output:   req.OutputTokens,
			Path:     string(req.Caller),
		},
		OnToken: func(i int) {
			if i == 0 {
				sm.ttft = n.sim.elapsed() - c.sentAt
			}
		},
		OnEnd: func(_ wardturn.EngineResult, err error) {
			n.finish(c, err)
		},
	}
	if err := n.engine.Submit(gen); err != nil {
		n.handleEvent(func(now time.Time, out *decide.Orders) {
			n.agent.NotLoaded(now, c.id, out)
		})
	}
}

func (n *node) finish(c *call, err error) {
	delete(n.calls, c.id)
	n.handleEvent(func(now time.Time, out *decide.Orders) {
		n.agent.Finished(now, c.id, out)
	})
	outcome := wardturn.Finished()
	if err != nil {
		outcome = wardturn.Uncertain(wardturn.ReasonUpstreamLost)
	}
	n.sim.reply(c, outcome)
}

// tick calls the agent core periodically.
func (n *node) tick() {
	n.handleEvent(n.agent.Tick)
	n.sim.clock.AfterFunc(tickInterval, n.tick)
}

// report passes the engine's report to the agent core, periodically.
func (n *node) report() {
	rep := n.engine.Report()
	n.handleEvent(func(now time.Time, out *decide.Orders) {
		n.agent.Report(now, rep, out)
	})
	n.sim.clock.AfterFunc(reportInterval, n.report)
}

// requestPermit sends a permit request to the allocator.
func (n *node) requestPermit(w decide.PermitRequest) {
	if n.alloc == nil {
		return
	}
	n.sim.clock.AfterFunc(n.sim.setup.NetworkDelay, func() {
		n.alloc.send(n.alloc.core.Request(n.sim.clock.Now(), w, nil))
	})
}
