package gateway

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"wardturn"
)

const (
	// originRetryAfter is the Retry-After of resumptions of a stream whose origin is not
	// known.
	originRetryAfter = 500 * time.Millisecond
	// maxListAge is the age up to which the list of upstreams tells which software versions
	// there are.
	maxListAge = 3 * time.Second
)

// originSource is how the origin of a stream that a caller resumes was found.
type originSource string

const (
	originUnstated originSource = "unstated" // no upstream states its software version
	originLocal    originSource = "local"    // the stream began at this gateway
	originKeeper   originSource = "keeper"
	originStore    originSource = "store"
	originOnly     originSource = "only_version"
	originUnknown  originSource = "unknown"
)

// resumes reports whether the caller resumes a stream that began in an earlier attempt.
func (x *exchange) resumes() bool {
	return x.route.Resumable && x.r.Header.Get(x.g.names.LastEventID) != ""
}

// resolveOrigin determines the service and the software version that began the stream which
// the caller resumes. The rest of it may come only from there, because what two versions
// generate does not fit together and upstreams do not check it. It reports false after it has
// refused a request for which that is not known.
func (x *exchange) resolveOrigin() bool {
	l := x.findOrigin()
	x.g.metrics.streamResumed(l.source)
	switch {
	case l.source == originUnstated:
		return true
	case l.source == originUnknown:
		x.refuse(wardturn.ReasonOrigin, originRetryAfter, l.fields()...)
		return false
	case !routeLeadsTo(x.route, l.origin.Service):
		x.refuse(wardturn.ReasonSoftware, originRetryAfter, "service", l.origin.Service)
		return false
	}
	x.service = l.origin.Service
	x.setSoftware(l.origin.Software)
	return true
}

// findOrigin looks for the origin of the stream that the caller resumes.
func (x *exchange) findOrigin() *originLookup {
	if x.g.servesUnstated(x.service) {
		return &originLookup{
			source: originUnstated,
		}
	}
	attempt := x.resumedAttempt()
	l := &originLookup{
		source: originUnknown,
	}
	if attempt != "" {
		l = x.g.origins.find(x.r.Context(), attempt, x.timeLeft())
		if l.source != originUnknown {
			return l
		}
	}
	v, whole, ok := x.g.onlySoftware(x.service)
	if !ok {
		return l
	}
	// A gateway that has followed the list for a short time does not know which versions have left
	// before. For a caller that names no attempt, the streams recorded in the store tell; one whose
	// attempt is recorded nowhere may have begun at any.
	if !whole && (attempt != "" || !x.g.originRecords.onlyVersion(x.r.Context(), x.timeLeft(), x.service, v)) {
		return l
	}
	// The stream may have begun at an upstream that had just restarted, whose version an older
	// list lacks.
	if !x.g.lifetimes.awaitList(x.r.Context(), x.arrived, min(listedTimeout, x.timeLeft())) {
		return l
	}
	if now, _, ok := x.g.onlySoftware(x.service); !ok || now != v {
		return l
	}
	l.source = originOnly
	l.origin = wardturn.StreamOrigin{
		Service:  x.service,
		Software: v,
	}
	return l
}

// resumedAttempt returns the ID of the attempt that brought the first event of the stream that
// the caller resumes, or "" if the caller does not name it.
func (x *exchange) resumedAttempt() string {
	return x.r.Header.Get(x.g.names.Resumes)
}

// serviceKey returns the ID that selects the service of the request: an attempt that resumes
// a stream goes where the stream began.
func (x *exchange) serviceKey() string {
	if !x.resumes() {
		return x.attempt
	}
	return cmp.Or(x.resumedAttempt(), x.attempt)
}

func routeLeadsTo(r *wardturn.Route, s wardturn.ServiceName) bool {
	for _, t := range r.Targets {
		if t.Service == s {
			return true
		}
	}
	return false
}

// setSoftware restricts the request to upstreams of a software version.
func (x *exchange) setSoftware(v wardturn.SoftwareVersion) {
	x.software = wardturn.SoftwareVersions{v}
}

// recordOrigin records, before the first event from an upstream is forwarded, which software
// version began the stream. A resumed stream is recorded again under both attempts, for
// keepers that have lost the record.
func (x *exchange) recordOrigin(a assignment) {
	if x.eventsFrom == a.Member.ID {
		return
	}
	if x.eventsFrom != "" || x.resumes() {
		x.g.logger.Info("stream goes on", "id", x.attempt, "resumes", x.resumedAttempt(), "after", x.lastEvent(), "upstream", a.Member.ID, "software", a.Member.Software, "before", x.software, "connected_ago", x.g.clock.Now().Sub(x.send.connected), "list_age", x.g.reads.membersAge())
	}
	first := x.eventsFrom == ""
	x.eventsFrom = a.Member.ID
	x.setSoftware(a.Member.Software)
	if !first || !x.g.statesSoftware(x.service) {
		return
	}
	x.begun = &streamStart{
		upstream:  a.Member.ID,
		connected: x.send.connected,
	}
	x.begun.proved.Store(x.send.proved || !x.needsLifetime(a.Member))
	origin := wardturn.StreamOrigin{
		Service:  x.service,
		Software: a.Member.Software,
	}
	attempts := []string{x.attempt}
	if attempt := x.resumedAttempt(); x.resumes() && attempt != "" {
		attempts = append(attempts, attempt)
	}
	x.begun.record(x.g, attempts, origin, x.deadline)
}

// streamStart is where the first forwarded event of a stream came from.
type streamStart struct {
	upstream  wardturn.UpstreamID
	connected time.Time   // when the connection was opened
	proved    atomic.Bool // it is known that the event came from this lifetime
}

// record records the origin of a stream under its attempts, if need be once the list shows that
// it began at the lifetime that was assumed.
func (s *streamStart) record(g *Gateway, attempts []string, origin wardturn.StreamOrigin, deadline time.Time) {
	if s.proved.Load() {
		for _, attempt := range attempts {
			g.origins.record(attempt, origin, deadline)
		}
		return
	}
	g.tasks.Go(func() {
		if s.known(g.tasks.Context(), g, originListedTimeout) {
			s.record(g, attempts, origin, deadline)
		}
	})
}

// known reports whether the stream is known to have begun at the lifetime that was assumed. It
// waits for that for a time.
func (s *streamStart) known(ctx context.Context, g *Gateway, timeout time.Duration) bool {
	if !s.proved.Load() && g.lifetimes.awaitListed(ctx, s.upstream, s.connected, timeout) {
		s.proved.Store(true)
	}
	return s.proved.Load()
}

// servesUnstated reports whether upstreams of a service have been listed and none has stated
// its software version. A service that has not been listed may turn out to have versions.
func (g *Gateway) servesUnstated(s wardturn.ServiceName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.fleet.Software()
	return h.Listed(s) && !h.Stated(s)
}

// statesSoftware reports whether upstreams of a service state their software version.
func (g *Gateway) statesSoftware(s wardturn.ServiceName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.Software().Stated(s)
}

// onlySoftware returns the software version of a service if the current list of upstreams has
// had no other for as long as a stream can be resumed, as far as it was read then. whole reports that
// it was read throughout: upstreams of another version may have left before this gateway started.
func (g *Gateway) onlySoftware(s wardturn.ServiceName) (v wardturn.SoftwareVersion, whole, ok bool) {
	now := g.clock.Now()
	if !g.reads.membersCurrent(now, maxListAge) {
		return "", false, false
	}
	within := g.routes.Load().resumableFor(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.Software().Only(now, s, within)
}

// resumableFor returns how long after its start a stream of a service can be resumed.
func (rs *routes) resumableFor(s wardturn.ServiceName) time.Duration {
	longest := time.Duration(0)
	for _, list := range rs.byHost {
		for _, r := range list {
			if r.Resumable && routeLeadsTo(r, s) {
				longest = max(longest, cmp.Or(r.Timeout, defaultTimeout))
			}
		}
	}
	return longest + originGrace
}
