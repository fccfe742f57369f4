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
	fenceRetry    = 500 * time.Millisecond
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
	err := a.give(order, a.engine.Load)
	result := resultOf(err)
	a.metrics.loaded(result, a.clock.Now().Sub(start))
	if result != decide.OrderDone {
		a.logger.Warn("load failed", "adapter", order.Adapter, "order", order.ID, "error", err)
	}
	a.event(func(now time.Time, out *decide.Orders) {
		a.core.Loaded(now, order.ID, result, out)
	})
}

func (a *Agent) unload(order wardturn.SlotOrder) {
	err := a.give(order, a.engine.Unload)
	result := resultOf(err)
	if result != decide.OrderDone {
		a.logger.Warn("unload failed", "adapter", order.Adapter, "order", order.ID, "error", err)
	}
	a.event(func(now time.Time, out *decide.Orders) {
		a.core.Unloaded(now, order.ID, result, out)
	})
}

// give sends an order to the engine. If a fence is required and there is none yet, it
// returns ErrFenced instead: the engine could not tell such an order from the orders
// of a later agent.
func (a *Agent) give(order wardturn.SlotOrder, do func(context.Context, wardturn.SlotOrder) error) error {
	if order.Fence == 0 && a.cfg.RequireFence {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.unfenced++
		return wardturn.ErrFenced
	}
	return do(a.tasks.Context(), order)
}

// resultOf converts the error of an order to its result. It distinguishes orders that
// were refused from those that may have been executed.
func resultOf(err error) decide.OrderResult {
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

// takeFence appends the agent's start record to the log, with retries until it
// succeeds. The offset of the record is the agent's fence.
func (a *Agent) takeFence() {
	wait := fenceRetry
	for a.tasks.Context().Err() == nil {
		fence, err := a.replica.AppendStart(a.tasks.Context(), control.Start{
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
		if !a.tasks.Pause(wait) {
			return
		}
		wait = min(2*wait, maxFenceRetry)
	}
}

// watchEngine polls the engine's report.
func (a *Agent) watchEngine() {
	for a.tasks.Pause(a.cfg.ReportEvery) {
		rep, err := a.engine.Report(a.tasks.Context())
		if err != nil {
			continue
		}
		a.event(func(now time.Time, out *decide.Orders) {
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
		if !a.tasks.Pause(a.cfg.HostsEvery) {
			return
		}
	}
}

// listedAs records which states of the agent's upstream the host list has shown since
// the agent started. The list lags, so at first it may still contain the entry of the
// previous process for the same upstream, either live or leaving. An agent that shut
// down because of that entry would stop serving for good. Only a live entry that
// follows a leaving one certainly belongs to this process.
type listedAs uint8

const (
	listedBefore  listedAs = iota // no leaving entry yet; a live one may be the previous process
	listedLeaving                 // leaving; may be the previous process
	listedAgain                   // live after leaving: this process
)

// next returns the state after another entry for the upstream.
func (l listedAs) next(s wardturn.HostState) listedAs {
	switch {
	case l == listedBefore && s == wardturn.HostLeaving:
		return listedLeaving
	case l == listedLeaving && s == wardturn.HostLive:
		return listedAgain
	}
	return l
}

// listBehind is how long the list may still contain the entry of the previous process:
// five times the 2 s by which the list of the embedded system lags.
const listBehind = 10 * time.Second

func (a *Agent) onHosts(hosts []wardturn.Host) {
	a.alloc.setHosts(hosts)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, h := range hosts {
		if h.Upstream != a.cfg.Upstream {
			continue
		}
		a.listed = a.listed.next(h.State)
		if h.State == wardturn.HostLeaving && (a.listed == listedAgain || a.clock.Now().Sub(a.started) > listBehind) {
			a.leave("host list")
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
		a.replaceVersion(wardturn.AdapterID(control.NameOf(key)))
	}
}

// checkDrain starts the shutdown if an operator has requested a drain of the upstream.
func (a *Agent) checkDrain() {
	if _, ok := a.replica.Get(control.DrainKey(a.cfg.Upstream)); !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leave("operator")
}

// applyPolicy applies the active policy and the shadow policy of the configuration.
// Programs are checked before publication; if the active one still does not compile
// here, the present policies stay in force. Without a published active policy the
// built-in one is used.
func (a *Agent) applyPolicy() {
	a.applying.Lock()
	defer a.applying.Unlock()
	active := a.builtin
	if doc, ok := control.ActivePolicy(a.replica); ok {
		p := a.compile(doc)
		if p == nil {
			return
		}
		active = p
	}
	var beside wardturn.Policy
	if doc, ok := control.ShadowPolicy(a.replica); ok {
		if p := a.compile(doc); p != nil {
			beside = p
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.SetPolicy(active)
	a.core.SetShadow(beside)
	a.logger.Info("policy applied", "policy", active.Name(), "config", a.replica.Applied())
}

// applyShares applies the teams' shares of the configuration.
func (a *Agent) applyShares() {
	a.applying.Lock()
	defer a.applying.Unlock()
	weights := control.Shares(a.replica)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.SetShares(weights)
}

func (a *Agent) compile(doc control.NamedPolicy) wardturn.Policy {
	p, err := policy.Compile(doc.Name, doc.Source)
	if err != nil {
		a.logger.Error("policy rejected", "policy", doc.Name, "version", doc.Version, "error", err)
		return nil
	}
	return p
}
