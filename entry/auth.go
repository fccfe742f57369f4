package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"wardturn"
	"wardturn/control"
	"wardturn/decide"
)

// anonymous is the caller of requests without a key, if the settings allow them.
const anonymous wardturn.CallerID = "anonymous"

// keyDigest returns the digest of the request's bearer key, or the empty string if there
// is none.
func keyDigest(ctx *fasthttp.RequestCtx) string {
	key, ok := wardturn.BearerKey(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if !ok {
		return ""
	}
	return control.KeyDigest(key)
}

// authenticate returns the caller that the request's key belongs to.
func (e *Entry) authenticate(ctx *fasthttp.RequestCtx) (wardturn.CallerID, bool) {
	digest := keyDigest(ctx)
	if digest == "" {
		return anonymous, e.cfg.AllowAnonymous
	}
	if id, ok := e.catalog.CallerByKeyDigest(digest); ok {
		return id, true
	}
	for _, k := range e.cfg.CallerKeys {
		if k.Digest == digest {
			return wardturn.CallerID(k.Name), true
		}
	}
	return "", false
}

// patternsFunc returns the patterns of the names that a caller may use.
type patternsFunc func(control.CallerDoc) []string

func adapterPatterns(d control.CallerDoc) []string { return d.Adapters }

func servicePatterns(d control.CallerDoc) []string { return d.Services }

// mayUse reports whether a caller may use the adapter or service of that name. Callers
// that exist only in the settings may use all of them.
func (e *Entry) mayUse(caller wardturn.CallerID, name string, patterns patternsFunc) bool {
	d, ok := e.catalog.Caller(caller)
	return !ok || control.MatchesPattern(patterns(d), name)
}

// callerTeam returns the caller's team. Callers that exist only in the settings have
// none.
func (e *Entry) callerTeam(caller wardturn.CallerID) wardturn.TeamID {
	d, _ := e.catalog.Caller(caller)
	return d.Team
}

// acquireQuota reports whether the caller's quota admits a request, and otherwise the delay
// after which the caller may retry.
func (e *Entry) acquireQuota(caller wardturn.CallerID) (time.Duration, bool) {
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

// releaseQuota returns the quota of a request that was admitted and has ended.
func (e *Entry) releaseQuota(caller wardturn.CallerID) {
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	if q := e.quotas[caller]; q != nil && q.Active() > 0 {
		q.Release()
	}
}
