package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn"
)

const (
	// lifetimeTimeout bounds the probe of a connection for the lifetime at its other end, so that
	// an upstream that hangs does not hold up a stream that can go on elsewhere.
	lifetimeTimeout = 300 * time.Millisecond
	// listedTimeout bounds the wait for a read of the list by which the lifetime is told
	// instead, for which the stream pauses.
	listedTimeout = 500 * time.Millisecond
	// originListedTimeout is the same for recording where a stream began, for which no
	// caller waits.
	originListedTimeout = 5 * time.Second
	// maxProbeBody bounds the body of a response to a probe, in bytes.
	maxProbeBody = 1 << 20
)

var (
	// errOtherLifetime is returned if another lifetime of the upstream answers than the one
	// that the request was assigned to.
	errOtherLifetime = errors.New("gateway: the upstream has restarted")
	// errOtherInstance is returned if another upstream listens at the address.
	errOtherInstance = errors.New("gateway: another upstream at the address")
	// errLifetimeUnknown is returned if it is not known which lifetime answers.
	errLifetimeUnknown = errors.New("gateway: lifetime of the upstream not known")
	// errConnectionEnds is returned if an upstream closes the connection after the probe.
	errConnectionEnds = errors.New("gateway: connection ends after the probe")
)

// lifetimes establishes which lifetime of an upstream is at the other end of a connection. The
// list of upstreams does not tell: an upstream that has restarted under its ID accepts
// connections before the list with its new lifetime has been read, and may run other software.
type lifetimes struct {
	g     *Gateway
	probe wardturn.LifetimeProbe

	mu       sync.Mutex
	silent   map[wardturn.UpstreamID]bool // upstreams that do not tell their lifetime
	listAsOf time.Time                    // when the list in use was up to date
	applied  chan struct{}                // closed and replaced when a list was applied
}

func newLifetimes(g *Gateway, probe wardturn.LifetimeProbe) *lifetimes {
	return &lifetimes{
		g:       g,
		probe:   probe,
		silent:  make(map[wardturn.UpstreamID]bool),
		applied: make(chan struct{}),
	}
}

// listApplied records that a list which was up to date at the time asOf is in use. A zero time
// is not known.
func (l *lifetimes) listApplied(asOf time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if asOf.After(l.listAsOf) {
		l.listAsOf = asOf
	}
	close(l.applied)
	l.applied = make(chan struct{})
}

// retain forgets the upstreams that are not listed any more.
func (l *lifetimes) retain(listed func(wardturn.UpstreamID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.silent {
		if !listed(id) {
			delete(l.silent, id)
		}
	}
}

func (l *lifetimes) setSilent(id wardturn.UpstreamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.silent[id] {
		l.g.logger.Info("upstream does not tell its lifetime", "upstream", id)
	}
	l.silent[id] = true
}

func (l *lifetimes) isSilent(id wardturn.UpstreamID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent[id]
}

// awaitListed reports whether a list that was up to date after a connection was opened has the
// lifetime, for which it waits for a time. Upstreams are listed before they accept connections,
// so the connection does not lead to a later lifetime then.
func (l *lifetimes) awaitListed(ctx context.Context, id wardturn.UpstreamID, opened time.Time, timeout time.Duration) bool {
	return l.g.listsLifetime(id) && l.awaitList(ctx, opened, timeout) && l.g.listsLifetime(id)
}

// awaitList waits for a list that was up to date after the time at, and reports whether there is
// one in use.
func (l *lifetimes) awaitList(ctx context.Context, at time.Time, timeout time.Duration) bool {
	ctx, cancel := wardturn.WithTimeout(ctx, l.g.clock, timeout)
	defer cancel()
	for requested := false; ; requested = true {
		l.mu.Lock()
		applied, current := l.applied, l.listAsOf.After(at)
		l.mu.Unlock()
		if current {
			return true
		}
		if !requested {
			l.g.markMembersStale()
		}
		select {
		case <-applied:
		case <-ctx.Done():
			return false
		}
	}
}

// prove establishes that a connection leads to the lifetime id. It returns nil if it does,
// errOtherLifetime if another one answers, and errLifetimeUnknown if the upstream does not tell.
// After any other error the connection is of no use.
func (l *lifetimes) prove(ctx context.Context, c *upstreamConn, id wardturn.UpstreamID) error {
	if c.lifetime == "" && !l.isSilent(id) {
		lifetime, err := l.ask(ctx, c, id)
		if err != nil {
			l.g.metrics.lifetimeProbed(probeFailed)
			return err
		}
		c.lifetime = lifetime
		l.countProbe(id, lifetime)
	}
	switch c.lifetime {
	case id:
		return nil
	case "":
		return errLifetimeUnknown
	}
	return errOtherLifetime
}

// countProbe counts the result of a probe. An upstream that does not tell its lifetime is not
// asked again.
func (l *lifetimes) countProbe(id, lifetime wardturn.UpstreamID) {
	switch lifetime {
	case id:
		l.g.metrics.lifetimeProbed(probeListed)
	case "":
		l.g.metrics.lifetimeProbed(probeUnstated)
		l.setSilent(id)
	default:
		l.g.metrics.lifetimeProbed(probeOther)
	}
}

// ask sends the probe on a connection. It returns the lifetime that answers, or "" if that is not
// stated.
func (l *lifetimes) ask(ctx context.Context, c *upstreamConn, id wardturn.UpstreamID) (wardturn.UpstreamID, error) {
	ctx, cancel := wardturn.WithTimeout(ctx, l.g.clock, lifetimeTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, c.abort)
	status, body, err := l.roundTrip(c, id)
	if !stop() || err != nil {
		return "", errors.Wrap(errors.CombineErrors(err, ctx.Err()), "lifetime")
	}
	switch status {
	case http.StatusOK:
		if startMS := l.probe.StartMS(body); startMS != 0 {
			return wardturn.NewUpstreamID(id.Instance(), startMS), nil
		}
	case http.StatusMisdirectedRequest:
		return "", errOtherInstance
	}
	return "", nil
}

// roundTrip sends the probe and reads the response. Late responses to requests, which a faulty
// upstream may send, are skipped.
func (l *lifetimes) roundTrip(c *upstreamConn, id wardturn.UpstreamID) (status int, body []byte, err error) {
	b := make([]byte, 0, headSize)
	b = append(b, "GET "...)
	b = append(b, l.probe.Path()...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendHeader(b, "Host", c.addr)
	b = appendHeader(b, l.g.names.ExpectInstance, id.Instance())
	if _, err := c.Write(append(b, "\r\n"...)); err != nil {
		return 0, nil, errors.Wrap(err, "send")
	}
	for range maxForeignResponses {
		res, err := c.readHead(nil)
		if err != nil {
			return 0, nil, errors.Wrap(err, "answer")
		}
		body, err := io.ReadAll(io.LimitReader(res.Body, maxProbeBody+1))
		if err == nil && len(body) > maxProbeBody {
			err = errBodyTooLong
		}
		if err != nil {
			return 0, nil, errors.Wrap(err, "answer")
		}
		if l.g.responseReader.ReadResponse(res.StatusCode, res.Header).Attempt != "" {
			continue
		}
		if idleTimeAfter(res) <= 0 {
			return 0, nil, errConnectionEnds
		}
		return res.StatusCode, body, nil
	}
	return 0, nil, errForeignResponses
}
