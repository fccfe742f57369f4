package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"wardturn"
	"wardturn/control"
	"wardturn/decide"
)

// anonymous is the caller of requests without a key, where that is allowed.
const anonymous wardturn.CallerID = "anonymous"

// keyDigest returns the digest of the request's key, or the empty string.
func keyDigest(ctx *fasthttp.RequestCtx) string {
	key, ok := wardturn.BearerKey(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if !ok {
		return ""
	}
	return control.KeyDigest(key)
}

// authenticate returns the caller that a key belongs to.
func (e *Entry) authenticate(ctx *fasthttp.RequestCtx) (wardturn.CallerID, bool) {
	digest := keyDigest(ctx)
	if digest == "" {
		return anonymous, e.cfg.Open
	}
	if id, ok := e.catalog.CallerOfKey(digest); ok {
		return id, true
	}
	for _, k := range e.cfg.CallerKeys {
		if k.Digest == digest {
			return wardturn.CallerID(k.Name), true
		}
	}
	return "", false
}

// patternsOf returns what a caller may use.
type patternsOf func(control.CallerDoc) []string

func adaptersOf(d control.CallerDoc) []string { return d.Adapters }

func servicesOf(d control.CallerDoc) []string { return d.Services }

// mayUse reports whether a caller may use a name. Callers that exist only in
// the settings may use everything.
func (e *Entry) mayUse(caller wardturn.CallerID, name string, patterns patternsOf) bool {
	d, ok := e.catalog.Caller(caller)
	return !ok || control.Allowed(patterns(d), name)
}

// teamOfCaller returns a caller's team; callers of the settings have none.
func (e *Entry) teamOfCaller(caller wardturn.CallerID) wardturn.TeamID {
	d, _ := e.catalog.Caller(caller)
	return d.Team
}

// enter applies a caller's quota.
func (e *Entry) enter(caller wardturn.CallerID) (time.Duration, bool) {
	d, ok := e.catalog.Caller(caller)
	if !ok {
		return 0, true
	}
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	q := e.quotas[caller]
	if q == nil {
		q = &decide.Quota{}
		e.quotas[caller] = q
	}
	q.Rate = d.Rate
	q.Burst = d.Burst
	q.Concurrency = d.Concurrency
	return q.Acquire(e.clock.Now())
}

// leave records the end of a request that enter admitted.
func (e *Entry) leave(caller wardturn.CallerID) {
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	if q := e.quotas[caller]; q != nil && q.Active() > 0 {
		q.Release()
	}
}
