package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"wardturn"
	"wardturn/control"
	"wardturn/report"
)

// getWindows responds with this entry's counts of service-level indicators, from which
// the burn report is made.
func (e *Entry) getWindows(ctx *fasthttp.RequestCtx, _ operator) {
	since, _ := time.Parse(time.RFC3339, string(ctx.QueryArgs().Peek("since")))
	writeJSON(ctx, fasthttp.StatusOK, e.recorder.Counts(since))
}

// recordIndicators updates the service-level indicators with a request that has ended.
func (e *Entry) recordIndicators(x *exchange) {
	key := report.SeriesKey{
		Team:   e.requestTeam(x),
		Policy: e.activePolicyName(),
	}
	count := func(i report.Indicator, d time.Duration) {
		key.Indicator = i
		e.recorder.Add(key, d)
	}
	if x.req.Class != wardturn.Interactive {
		return
	}
	if x.outcome.Kind != wardturn.Done {
		key.Indicator = report.Answered
		e.recorder.AddBad(key)
		return
	}
	total := x.now().Sub(x.arrived)
	count(report.Answered, total)
	if x.req.Service != "" {
		count(report.Lookup, total)
		return
	}
	if x.head != nil {
		count(report.LoadStall, x.head.AdapterWait)
	}
	timeToFirst := x.firstByteAt.Sub(x.arrived)
	count(report.FirstToken, timeToFirst)
	if x.stream && x.req.Output > 1 {
		count(report.TokenGap, (total-timeToFirst)/time.Duration(x.req.Output-1))
	}
}

func (e *Entry) requestTeam(x *exchange) wardturn.TeamID {
	if x.req.Service != "" {
		d, _ := e.catalog.Service(x.req.Service)
		return d.Team
	}
	d, _ := e.catalog.Adapter(x.req.Adapter.Adapter)
	return d.Team
}

// activePolicyName returns the name of the active policy.
func (e *Entry) activePolicyName() string {
	if name := e.activePolicy.Load(); name != nil {
		return *name
	}
	return ""
}

// onConfig updates the name of the active policy when a policy document changes.
func (e *Entry) onConfig(key control.Key) {
	if control.KindOf(key) == control.KindPolicy {
		e.updateActivePolicy()
	}
}

func (e *Entry) updateActivePolicy() {
	name := ""
	if p, ok := control.ActivePolicy(e.replica); ok {
		name = p.Name
	}
	e.activePolicy.Store(&name)
}
