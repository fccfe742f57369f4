package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn"
	"wardturn/control"
	"wardturn/decide"
	"wardturn/policy"
)

const (
	minFenceRetry = 500 * time.Millisecond
	maxFenceRetry = 5 * time.Second
)

// startOrder sends an order to the engine in the background. a.mu is held.
func (a *Agent) startOrder(so decide.SlotOrder, do func(wardturn.SlotOrder)) {
	order := wardturn.SlotOrder{
		ID:      so.ID,
		Fence:   a.fence,
		Adapter: so.Adapter,
	}
	a.tasks.Go(func() {
		do(order)
	})
}

func (a *Agent) load(order wardturn.SlotOrder) {
	start := a.clock.Now()
	err := a.sendOrder(order, a.engine.Load)
	result := orderResult(err)
	a.metrics.loadEnded(result, a.clock.Now().Sub(start))
	if result != decide.OrderDone {
		a.logger.Warn("load failed", "adapter", order.Adapter, "order", order.ID, "error", err)
	}
	a.apply(func(now time.Time, out *decide.Orders) {
		a.core.Loaded(now, order.ID, result, out)
	})
}

func (a *Agent) unload(order wardturn.SlotOrder) {
	err := a.sendOrder(order, a.engine.Unload)
	result := orderResult(err)
	if result != decide.OrderDone {
		a.logger.Warn("unload failed", "adapter", order.Adapter, "order", order.ID, "error", err)
	}
	a.apply(func(now time.Time, out *decide.Orders) {
		a.core.Unloaded(now, order.ID, result, out)
	})
}

// sendOrder sends an order to the engine. If a fence is required and there is none yet, it
// returns ErrFenced instead: the engine could not tell such an order from the orders
// of a later agent.
func (a *Agent) sendOrder(order wardturn.SlotOrder, do func(context.Context, wardturn.SlotOrder) error) error {
	if order.Fence == 0 && a.cfg.RequireFence {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.suppressedOrders++
		return wardturn.ErrFenced
	}
	return do(a.tasks.Context(), order)
}

// orderResult converts the error of an order to its result. It distinguishes orders that
// were refused from those that may have been executed.
func orderResult(err error) decide.OrderResult {
	switch {
	case err == nil:
		return decide.OrderDone
	case errors.Is(err, wardturn.ErrStoreBusy):
		return decide.OrderStoreBusy
	case errors.Is(err, wardturn.ErrFenced),
		errors.Is(err, wardturn.ErrNoSlot),
		errors.Is(err, wardturn.ErrAdapterBusy),
		errors.Is(err, wardturn.ErrNotStarted),
		errors.Is(err, wardturn.ErrUnavailable):
		return decide.OrderRefused
	}
	return decide.OrderUncertain
}

// acquireFence appends the agent's start record to the log, with retries until it
// succeeds. The offset of the record is the agent's fence.
func (a *Agent) acquireFence() {
	wait := minFenceRetry
	for a.tasks.Context().Err() == nil {
		fence, err := a.replica.AppendStart(a.tasks.Context(), control.AgentStart{
			Upstream: a.cfg.Upstream,
			Process:  a.cfg.Process,
		})
		if err == nil {
			a.mu.Lock()
			a.fence = fence
			a.mu.Unlock()
			a.logger.Info("fence taken", "fence", fence)
			return
		}
		// If the reply was lost, the retry appends a second start record. That is
		// harmless: it only gives this agent a higher fence.
		if !a.tasks.Sleep(wait) {
			return
		}
		wait = min(2*wait, maxFenceRetry)
	}
}

// watchEngine polls the engine's report.
func (a *Agent) watchEngine() {
	for a.tasks.Sleep(a.cfg.ReportInterval) {
		rep, err := a.engine.Report(a.tasks.Context())
		if err != nil {
			continue
		}
		a.apply(func(now time.Time, out *decide.Orders) {
			a.core.Report(now, rep, out)
		})
	}
}

// watchHosts polls the host list.
func (a *Agent) watchHosts() {
	for {
		hosts, err := a.hosts.Hosts(a.tasks.Context())
		if err == nil {
			a.onHosts(hosts)
		}
		if !a.tasks.Sleep(a.cfg.HostsInterval) {
			return
		}
	}
}

// listingState records which states of the agent's upstream the host list has shown since
// the agent started. The list lags, so at first it may still contain the entry of the
// previous process for the same upstream, either live or leaving. An agent that shut
// down because of that entry would stop serving for good. Only a live entry that
// follows a leaving one certainly belongs to this process.
type listingState uint8

const (
	listingInitial   listingState = iota // not yet leaving; live may be the previous process
	listingLeaving                       // leaving; may be the previous process
	listingLiveAgain                     // live after leaving: this process
)

// next returns the state after another entry for the upstream.
func (l listingState) next(s wardturn.HostState) listingState {
	switch {
	case l == listingInitial && s == wardturn.HostLeaving:
		return listingLeaving
	case l == listingLeaving && s == wardturn.HostLive:
		return listingLiveAgain
	}
	return l
}

// maxHostListLag is how long the list may still contain the entry of the previous process:
// five times the 2 s by which the list of the embedded system lags.
const maxHostListLag = 10 * time.Second

func (a *Agent) onHosts(hosts []wardturn.Host) {
	a.allocator.setHosts(hosts)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, h := range hosts {
		if h.Upstream != a.cfg.Upstream {
			continue
		}
		a.listing = a.listing.next(h.State)
		if h.State == wardturn.HostLeaving && (a.listing == listingLiveAgain || a.clock.Now().Sub(a.started) > maxHostListLag) {
			a.startLeaving("host list")
		}
	}
}

// onConfig handles a changed configuration document.
func (a *Agent) onConfig(key control.Key) {
	switch {
	case key == control.DrainKey(a.cfg.Upstream):
		a.checkDrain()
	case control.KindOf(key) == control.KindPolicy:
		a.applyPolicy()
	case control.KindOf(key) == control.KindTeam:
		a.applyShares()
	case control.KindOf(key) == control.KindAdapter:
		a.refuseReplaced(wardturn.AdapterID(control.NameOf(key)))
	}
}

// checkDrain starts the shutdown if an operator has requested a drain of the upstream.
func (a *Agent) checkDrain() {
	if _, ok := a.replica.Get(control.DrainKey(a.cfg.Upstream)); !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.startLeaving("operator")
}

// applyPolicy applies the active policy and the shadow policy of the configuration.
// Programs are checked before publication; if the active one still does not compile
// here, the present policies stay in use. Without a published active policy the
// built-in one is used.
func (a *Agent) applyPolicy() {
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	active := a.builtin
	if doc, ok := control.ActivePolicy(a.replica); ok {
		p := a.compilePolicy(doc)
		if p == nil {
			return
		}
		active = p
	}
	var shadow wardturn.Policy
	if doc, ok := control.ShadowPolicy(a.replica); ok {
		if p := a.compilePolicy(doc); p != nil {
			shadow = p
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.SetPolicy(active)
	a.core.SetShadow(shadow)
	a.logger.Info("policy applied", "policy", active.Name(), "config", a.replica.AppliedOffset())
}

// applyShares applies the teams' shares of the configuration.
func (a *Agent) applyShares() {
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	weights := control.TeamShares(a.replica)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.SetWeights(weights)
}

func (a *Agent) compilePolicy(doc control.NamedPolicy) wardturn.Policy {
	p, err := policy.Compile(doc.Name, doc.Source)
	if err != nil {
		a.logger.Error("policy rejected", "policy", doc.Name, "version", doc.Version, "error", err)
		return nil
	}
	return p
}
