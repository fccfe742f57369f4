package gateway

import (
	"net/http"
	"time"

	"wardturn"
)

const (
	headerAuthorization = "Authorization"
	headerAuthenticate  = "Www-Authenticate"
	// keyAgeMargin is subtracted from the bound on the age of keys. The time of another
	// gateway's read is estimated from the smallest delay of its announcements, and
	// successive ones are one long poll apart. If two were delayed until the same moment,
	// the estimate is off by up to the duration of that poll.
	keyAgeMargin = configWait + 100*time.Millisecond
)

// authenticate finds the team whose API key the request carries. It reports false after
// it has answered the request: with 401 if the key is missing or not valid, and with a
// refusal if the keys known here are too old, so that one may have been revoked for
// longer than KeyBound.
func (x *exchange) authenticate(rs *routes, keysAsOf time.Time) bool {
	x.teamsConfigured = rs.table.HasTeams
	x.routeLevels = rs.levels
	if !x.teamsConfigured || x.route.Public {
		return true
	}
	if !x.g.keysFresh(x.arrived, keysAsOf) {
		x.g.metrics.staleKeys.Inc(1)
		x.refuse(wardturn.ReasonStaleConfig, unreadyRetryAfter, "keys_known_ago", x.arrived.Sub(keysAsOf))
		return false
	}
	reason := ""
	x.team, reason = rs.teamOf(x.r.Header)
	if x.team == nil {
		x.w.Header().Set(headerAuthenticate, "Bearer")
		x.fail(http.StatusUnauthorized, reason)
		return false
	}
	return true
}

// keysFresh reports whether a request that arrived at the time arrived may run with the
// keys that were current at the time keysAsOf. A key that was revoked after that may still
// be used for requests sent up to KeyBound later. The request was sent before it arrived,
// so the check holds however long it waits afterwards, even on a host that froze in between.
func (g *Gateway) keysFresh(arrived, keysAsOf time.Time) bool {
	return g.cfg.KeyBound <= 0 || arrived.Sub(keysAsOf) <= g.cfg.KeyBound-keyAgeMargin
}

// teamOf returns the team of the API key in a request's headers, or why there is none.
func (rs *routes) teamOf(h http.Header) (team *wardturn.Team, reason string) {
	values := h[headerAuthorization]
	if len(values) == 0 {
		return nil, "no key"
	}
	if len(values) > 1 {
		return nil, "more than one key"
	}
	key, ok := wardturn.BearerKey(values[0])
	if !ok {
		return nil, "no key"
	}
	team = rs.byKey[wardturn.DigestKey(key)]
	if team == nil {
		return nil, "unknown key"
	}
	return team, ""
}

// priority returns the request's priority; 0 is the most urgent. The team's priority, if
// set, takes precedence over the route's.
func (x *exchange) priority() int {
	if x.team == nil || x.team.Priority == nil {
		return x.route.Priority
	}
	return max(*x.team.Priority, 0)*x.routeLevels + x.route.Priority
}
