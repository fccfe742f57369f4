package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"wardturn"
	"wardturn/decide"
	"wardturn/peer"
)

const (
	// originGrace is how long after the deadline of its attempt a stream can be resumed.
	originGrace = 30 * time.Second
	// originHolders is the number of keepers that a stream's origin is recorded at.
	originHolders = 2
	// originAsked is the number of keepers that are asked for it. Gateways that are connected
	// to different keepers choose different holders.
	originAsked = 4
	// originAskedAgain is the number of keepers that are asked if those do not know, since
	// keepers that joined after the stream began come before its holders.
	originAskedAgain = 16
	// originTimeout bounds a lookup. A refusal may be the last that its caller hears, so it
	// may take longer than any reply on a busy host.
	originTimeout = time.Second
	// originReplyTimeout bounds the wait for the replies to one query. Keepers reply within a
	// few milliseconds.
	originReplyTimeout = 150 * time.Millisecond
	// originRepeatDelay is when keepers are asked again, since the record of a stream that
	// has just begun may still be on its way.
	originRepeatDelay = 50 * time.Millisecond
	// originCandidatesAge is how long the list of connected keepers is reused.
	originCandidatesAge = 200 * time.Millisecond
)

// origins knows where streams began that a caller may resume at any gateway. The gateway that
// forwards the first event of a stream records its origin at keepers that every gateway finds
// by the ID of the attempt.
type origins struct {
	g *Gateway

	mu           sync.Mutex
	local        *decide.StreamOrigins // streams of this gateway
	queries      map[uint64]chan *peer.OriginReply
	lastQuery    uint64
	listed       *decide.Spread[originCandidate] // keepers of listed engines
	all          *decide.Spread[originCandidate] // and former ones
	candidatesAt time.Time
}

// originCandidate is a connected keeper.
type originCandidate struct {
	conn   *peer.Conn
	addr   string
	domain wardturn.FailureDomain
}

func newOrigins(g *Gateway) *origins {
	return &origins{
		g:       g,
		local:   decide.NewStreamOrigins(),
		queries: make(map[uint64]chan *peer.OriginReply),
	}
}

// maxOriginKey is the length in bytes up to which the ID of an attempt is kept as it is.
const maxOriginKey = 64

// originKey returns the ID under which the origin of an attempt's stream is kept here, at keepers and
// in the store: a digest of a long one. Callers choose the IDs, within the limit on heads, and each
// process keeps tens of thousands.
func originKey(attempt string) string {
	if len(attempt) <= maxOriginKey {
		return attempt
	}
	digest := sha256.Sum256([]byte(attempt))
	return "sha256-" + hex.EncodeToString(digest[:])[:maxOriginKey-len("sha256-")]
}

// record records where the stream of an attempt with a deadline began.
func (o *origins) record(attempt string, origin wardturn.StreamOrigin, deadline time.Time) {
	attempt = originKey(attempt)
	now := o.g.clock.Now()
	until := deadline.Add(originGrace)
	o.mu.Lock()
	o.local.Record(now, attempt, origin, until)
	o.mu.Unlock()
	o.g.originRecords.add(attempt, origin)
	m := &peer.StreamStarts{
		Starts: []peer.StreamStart{
			{
				Attempt: attempt,
				Origin:  origin,
				For:     until.Sub(now),
			},
		},
	}
	recorded := 0
	for _, c := range o.holders(attempt, originHolders) {
		// Errors are counted only: the other holder has it too, and an origin that nobody
		// knows has the resumption refused.
		if c.conn.Send(m) == nil {
			recorded++
		}
	}
	o.g.metrics.originRecorded(recorded)
}

// originLookup is the result of looking for where a stream began.
type originLookup struct {
	origin  wardturn.StreamOrigin
	source  originSource
	keepers int // connected keepers that record origins, former ones included
	asked   int // queries sent to keepers
	replied int // replies that arrived in time
	took    time.Duration
	// storeErr is the error of the read of the store, if it was read.
	storeErr error
}

// fields returns the fields of a log line.
func (l *originLookup) fields() []any {
	list := []any{"keepers", l.keepers, "asked", l.asked, "replied", l.replied, "lookup", l.took}
	if l.storeErr != nil {
		list = append(list, "store", l.storeErr)
	}
	return list
}

// find looks for where the stream of an attempt began, for at most a time: here, at keepers,
// and if none of the first that are asked knows, also in the store. The first that knows
// decides. The source of the result is originUnknown if nobody knows.
func (o *origins) find(ctx context.Context, attempt string, left time.Duration) *originLookup {
	attempt = originKey(attempt)
	started := o.g.clock.Now()
	l := &originLookup{
		source: originUnknown,
	}
	defer func() {
		l.took = o.g.clock.Now().Sub(started)
		o.g.metrics.originLookup(l)
	}()
	o.mu.Lock()
	origin, ok := o.local.Find(started, attempt)
	o.mu.Unlock()
	if ok {
		l.origin, l.source = origin, originLocal
		return l
	}
	ctx, cancel := wardturn.WithTimeout(ctx, o.g.clock, min(originTimeout, left))
	defer cancel()
	replies, id, end := o.startQuery()
	defer end()
	o.ask(l, id, attempt, originAsked)
	if o.awaitReplies(ctx, l, replies) {
		return l
	}
	stored := make(chan storedOrigin, 1)
	go func() {
		origin, known, err := o.g.originRecords.find(ctx, attempt)
		stored <- storedOrigin{
			origin: origin,
			known:  known,
			err:    err,
		}
	}()
	wardturn.Sleep(ctx, o.g.clock, originRepeatDelay)
	o.ask(l, id, attempt, originAskedAgain)
	if o.awaitReplies(ctx, l, replies) {
		return l
	}
	for {
		select {
		case r := <-replies:
			if l.add(r) {
				return l
			}
		case s := <-stored:
			l.storeErr = s.err
			if s.known {
				l.origin, l.source = s.origin, originStore
			}
			if s.err == nil {
				return l
			}
		case <-ctx.Done():
			return l
		}
	}
}

// storedOrigin is the result of looking for an origin in the store.
type storedOrigin struct {
	origin wardturn.StreamOrigin
	known  bool
	err    error
}

// add records a reply and reports whether it decides.
func (l *originLookup) add(r *peer.OriginReply) bool {
	l.replied++
	if r.Known {
		l.origin, l.source = r.Origin, originKeeper
	}
	return r.Known
}

// awaitReplies waits for the replies to all queries, for at most originReplyTimeout, and
// reports whether one decides.
func (o *origins) awaitReplies(ctx context.Context, l *originLookup, replies <-chan *peer.OriginReply) bool {
	ctx, cancel := wardturn.WithTimeout(ctx, o.g.clock, originReplyTimeout)
	defer cancel()
	for l.replied < l.asked {
		select {
		case r := <-replies:
			if l.add(r) {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// ask sends a query to keepers, those first at which the origin was recorded first.
func (o *origins) ask(l *originLookup, id uint64, attempt string, keepers int) {
	_, all := o.spreads()
	l.keepers = all.Len()
	for _, c := range all.Choose(attempt, keepers) {
		err := c.conn.Send(&peer.OriginQuery{
			ID:      id,
			Attempt: attempt,
		})
		if err == nil {
			l.asked++
		}
	}
}

// startQuery registers a query. The channel has room for all replies to it.
func (o *origins) startQuery() (replies chan *peer.OriginReply, id uint64, end func()) {
	replies = make(chan *peer.OriginReply, originAsked+originAskedAgain)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastQuery++
	id = o.lastQuery
	o.queries[id] = replies
	return replies, id, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.queries, id)
	}
}

// handleReply handles a keeper's reply to a query.
func (o *origins) handleReply(m *peer.OriginReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	replies := o.queries[m.ID]
	if replies == nil {
		return // the query has ended
	}
	select {
	case replies <- m:
	default: // more replies than queries
	}
}

// holders returns the n keepers at which the origin of an attempt's stream is recorded first.
func (o *origins) holders(attempt string, n int) []originCandidate {
	listed, _ := o.spreads()
	return listed.Choose(attempt, n)
}

// spreads returns the connected keepers of listed engines, and these with former keepers.
func (o *origins) spreads() (listed, all *decide.Spread[originCandidate]) {
	now := o.g.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.listed == nil || now.Sub(o.candidatesAt) >= originCandidatesAge {
		list := o.g.links.keepersWith(peer.FeatureStreamOrigins)
		o.listed = newOriginSpread(list)
		o.all = newOriginSpread(append(list, o.g.links.formerCandidates()...))
		o.candidatesAt = now
	}
	return o.listed, o.all
}

func newOriginSpread(list []originCandidate) *decide.Spread[originCandidate] {
	return decide.NewSpread(list, func(c originCandidate) string {
		return c.addr
	}, func(c originCandidate) string {
		return string(c.domain)
	})
}

// keepersWith returns the connected keepers of listed engines that have a feature.
func (ls *links) keepersWith(f peer.Features) []originCandidate {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	list := make([]originCandidate, 0, len(ls.byAddr))
	for _, l := range ls.byAddr {
		conn, domain := l.current()
		if conn != nil && conn.Understands(f) {
			list = append(list, originCandidate{
				conn:   conn,
				addr:   l.addr(),
				domain: domain,
			})
		}
	}
	return list
}
