package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"wardturn"
	"wardturn/control"
	"wardturn/report"
)

// getWindows answers with what this entry counted for the report on
// service-level burn.
func (e *Entry) getWindows(ctx *fasthttp.RequestCtx, _ operator) {
	since, _ := time.Parse(time.RFC3339, string(ctx.QueryArgs().Peek("since")))
	writeBody(ctx, fasthttp.StatusOK, e.recorder.Batch(since))
}

// record counts a request that has ended.
func (e *Entry) record(x *exchange) {
	key := report.Key{
		Team:   e.teamOfRequest(x),
		Policy: e.policyName(),
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
	whole := x.now().Sub(x.arrived)
	count(report.Answered, whole)
	if x.req.Service != "" {
		count(report.Lookup, whole)
		return
	}
	if x.head != nil {
		count(report.LoadStall, x.head.AdapterWait)
	}
	first := x.firstAt.Sub(x.arrived)
	count(report.FirstToken, first)
	if x.stream && x.req.Output > 1 {
		count(report.TokenGap, (whole-first)/time.Duration(x.req.Output-1))
	}
}

func (e *Entry) teamOfRequest(x *exchange) wardturn.TeamID {
	if x.req.Service != "" {
		d, _ := e.catalog.Service(x.req.Service)
		return d.Team
	}
	d, _ := e.catalog.Adapter(x.req.Adapter.Adapter)
	return d.Team
}

// policyName returns the name of the policy in force.
func (e *Entry) policyName() string {
	if name := e.policy.Load(); name != nil {
		return *name
	}
	return ""
}

// onConfig follows the policy in force.
func (e *Entry) onConfig(key control.Key) {
	if control.KindOf(key) == control.KindPolicy {
		e.findPolicy()
	}
}

func (e *Entry) findPolicy() {
	name := ""
	if p, ok := control.ActivePolicy(e.replica); ok {
		name = p.Name
	}
	e.policy.Store(&name)
}
