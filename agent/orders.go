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

// startOrder gives the engine an order; the lock is held.
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

// give carries out an order, unless this agent may give none: without a fence,
// a later agent could not be told from it.
func (a *Agent) give(order wardturn.SlotOrder, do func(context.Context, wardturn.SlotOrder) error) error {
	if order.Fence == 0 && a.cfg.RequireFence {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.unfenced++
		return wardturn.ErrFenced
	}
	return do(a.tasks.Context(), order)
}

// resultOf tells orders that were refused from those that may have been carried
// out.
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

// takeFence appends the start record until that succeeds. Its offset is the
// agent's fence.
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
		// After a lost reply another start record is appended: a fence of one's
		// own that is too high is harmless.
		if !a.tasks.Pause(wait) {
			return
		}
		wait = min(2*wait, maxFenceRetry)
	}
}

// watchEngine reads the engine's report again and again.
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

// watchHosts reads the host list again and again.
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

// listedAs is what the list has shown under an agent's name since its start. The entries of
// a process before it may come first, live or leaving: an agent that left by them would
// serve no more for good. Only a live entry after a leaving one is surely its own.
type listedAs uint8

const (
	listedBefore  listedAs = iota // perhaps as the process before
	listedLeaving                 // as leaving, perhaps that one
	listedAgain                   // as live after that
)

// next returns what the list has shown after one more entry.
func (l listedAs) next(s wardturn.HostState) listedAs {
	switch {
	case l == listedBefore && s == wardturn.HostLeaving:
		return listedLeaving
	case l == listedLeaving && s == wardturn.HostLive:
		return listedAgain
	}
	return l
}

// listBehind is how long the list may still have the entry of the process before this one:
// five times the 2 s that the embedded system's list is behind.
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

// onConfig reacts to a changed document.
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

// checkDrain leaves if an operator ordered it.
func (a *Agent) checkDrain() {
	if _, ok := a.replica.Get(control.DrainKey(a.cfg.Upstream)); !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leave("operator")
}

// applyPolicy puts the active policy of the configuration in force, and the
// shadow policy beside it. A program that does not compile here, though it was
// checked before publication, leaves the present one in force; without an active
// policy the one of the start is.
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
	a.logger.Info("policy in force", "policy", active.Name(), "config", a.replica.Applied())
}

// applyShares puts the teams' shares of the configuration in force.
func (a *Agent) applyShares() {
	a.applying.Lock()
	defer a.applying.Unlock()
	weights := control.Shares(a.replica)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.SetWeights(weights)
}

func (a *Agent) compile(doc control.NamedPolicy) wardturn.Policy {
	p, err := policy.Compile(doc.Name, doc.Source)
	if err != nil {
		a.logger.Error("policy rejected", "policy", doc.Name, "version", doc.Version, "error", err)
		return nil
	}
	return p
}
