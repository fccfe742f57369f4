package gateway

import (
	"net/http"
	"time"

	"wardturn"
)

const (
	headerAuthorization = "Authorization"
	headerAuthenticate  = "Www-Authenticate"
	// keySlack is kept before the bound on the age of keys: what another gateway has
	// read counts from its word, and the least delay of two words in a row, one wait
	// of a reading apart, can be wrong by that wait if both were held up until one
	// moment.
	keySlack = configWait + 100*time.Millisecond
)

// identify finds the team whose key the request carries. It answers a request
// without a good key, and any request while the keys known here may have been taken
// away too long ago.
func (x *exchange) identify(rs *routes, known time.Time) bool {
	x.keyed = rs.table.Keyed
	x.routeLevels = rs.levels
	if !x.keyed || x.route.Public {
		return true
	}
	if !x.g.keysHold(x.arrived, known) {
		x.g.metrics.staleKeys.Inc(1)
		x.refuse(wardturn.ReasonStaleConfig, unreadyPause, "keys_known_ago", x.arrived.Sub(known))
		return false
	}
	why := ""
	x.team, why = rs.teamOf(x.r.Header)
	if x.team == nil {
		x.w.Header().Set(headerAuthenticate, "Bearer")
		x.fail(http.StatusUnauthorized, why)
		return false
	}
	return true
}

// keysHold reports whether a request that arrived at a time may run with the keys
// that are known, which were those of the configuration at another. A key that was
// taken away after that lets requests begin that were sent up to KeyBound later; this
// one was sent before it arrived, however long it then waits, also on a host that
// froze in between.
func (g *Gateway) keysHold(arrived, known time.Time) bool {
	return g.cfg.KeyBound <= 0 || arrived.Sub(known) <= g.cfg.KeyBound-keySlack
}

// teamOf returns the team of a request's key, or why there is none.
func (rs *routes) teamOf(h http.Header) (team *wardturn.Team, why string) {
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

// priority returns how urgent the request is, 0 first: by its team if that says so, and
// among equal teams by its route.
func (x *exchange) priority() int {
	if x.team == nil || x.team.Priority == nil {
		return x.route.Priority
	}
	return max(*x.team.Priority, 0)*x.routeLevels + x.route.Priority
}
