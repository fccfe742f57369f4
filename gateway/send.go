package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn"
	"wardturn/process"
)

var (
	// errNotSent marks failures before any byte of the request was sent.
	errNotSent = errors.New("gateway: request not sent")
	// errRefused marks a refused connection: nothing listens at the address.
	errRefused = errors.New("gateway: connection refused")
	// errNotAccepting is returned if the upstream stopped accepting requests after it was
	// chosen.
	errNotAccepting = errors.New("gateway: upstream no longer accepts requests")
	// errHeadTooLarge is returned if the head of an upstream's response is too long.
	errHeadTooLarge = errors.New("gateway: head of a response is too large")
	// errForeignResponses is returned if an upstream sends only responses to other
	// requests.
	errForeignResponses = errors.New("gateway: upstream sent only responses to other requests")
)

// hopHeaders are the hop-by-hop headers, which are not forwarded. Expect is among them
// because the gateway has read the complete body before it sends the request.
var hopHeaders = []string{
	"Connection",
	"Expect",
	"Keep-Alive",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// response is a response of an upstream whose headers were read. The body is read from
// res.Body; after that, release or discard must be called to free the connection.
type response struct {
	conn *upstreamConn
	res  *http.Response
	head wardturn.ResponseHead
	stop func() bool
	pool *pool
}

// send sends a request to an upstream and reads the response's headers. The connection is
// aborted when ctx ends.
func (g *Gateway) send(ctx context.Context, x *exchange, m wardturn.Member, header []byte) (*response, error) {
	c, err := x.connect(ctx, m)
	if err != nil {
		return nil, err
	}
	// Checked only after the dial, during which the time may end in which a leaving upstream
	// may still receive new requests.
	if !g.accepts(m) {
		c.returnUnused(g.pool)
		return nil, errNotAccepting
	}
	x.send.connected = c.openedAt
	stop := context.AfterFunc(ctx, c.abort)
	resp, err := x.roundTrip(c, m, header)
	if err != nil {
		stop()
		c.abort()
		return nil, err
	}
	resp.stop = stop
	return resp, nil
}

// roundTrip writes the request and reads the headers of its response. Responses to other
// requests, which a faulty upstream may send late, are skipped.
func (x *exchange) roundTrip(c *upstreamConn, m wardturn.Member, header []byte) (*response, error) {
	n, err := c.Write(header)
	if err != nil && n == 0 {
		return nil, errors.Mark(errors.Wrap(err, "send"), errNotSent)
	}
	if err == nil && len(x.body) > 0 {
		_, err = c.Write(x.body)
	}
	if err != nil {
		return nil, errors.Wrap(err, "send")
	}
	for range maxForeignResponses {
		res, err := c.readHead(x.r)
		if err != nil {
			return nil, errors.Wrap(err, "answer")
		}
		head := x.g.responseReader.ReadResponse(res.StatusCode, res.Header)
		own := res.StatusCode >= http.StatusOK && head.Attempt == x.attempt
		x.observe(m, head, res.StatusCode, own)
		if own {
			return &response{
				conn: c,
				res:  res,
				head: head,
				pool: x.g.pool,
			}, nil
		}
		if res.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.Wrap(process.ErrNotHTTP, "another protocol follows, which was not asked for")
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		x.g.logger.Warn("skipped a response to another request", "id", x.attempt, "answers", head.Attempt, "addr", c.addr)
		if err := c.skipBody(res, maxSkippedBody, skippedBodyTimeout); err != nil {
			return nil, errors.Wrap(err, "answer to another request")
		}
	}
	return nil, errForeignResponses
}

// sendFailed classifies and logs an error of a send.
func (x *exchange) sendFailed(a assignment, err error) result {
	if x.r.Context().Err() != nil {
		return resultCallerGone
	}
	if x.headerWritten && !errors.Is(err, errNotSent) {
		return resultTruncated
	}
	x.g.logger.Info("send failed", x.sendFields(a, "addr", a.Member.Addr, "error", err)...)
	if errors.Is(err, errRefused) {
		x.g.recordRefused(a.Member.ID)
		x.g.crashes.disappeared(a.Member.ID)
	}
	if errors.Is(err, errNotSent) {
		x.send.unreached = true
		return resultNotRun
	}
	return resultUnknown
}

// release ends the use of a response that was read completely. It returns the connection
// to the pool if the connection can be reused, or closes it.
func (r *response) release() {
	idleTime := idleTimeAfter(r.res)
	if !r.stop() || idleTime <= 0 || r.conn.br.Buffered() > 0 {
		r.conn.Close()
		return
	}
	r.pool.put(r.conn, idleTime)
}

// discard aborts the connection of a response whose rest is not needed.
func (r *response) discard() {
	r.stop()
	r.conn.abort()
}

// encodeHeader returns the request line and the headers that are sent to an upstream.
func (x *exchange) encodeHeader(a assignment, remaining time.Duration) []byte {
	n := x.g.names
	b := make([]byte, 0, headSize)
	b = append(b, x.r.Method...)
	b = append(b, ' ')
	b = append(b, x.r.RequestURI...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendHeader(b, "Host", x.r.Host)
	for name, values := range x.r.Header {
		if slices.Contains(hopHeaders, name) || x.stripsHeader(name) {
			continue
		}
		for _, v := range values {
			b = appendHeader(b, name, v)
		}
	}
	b = appendHeader(b, n.DeadlineMS, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	b = appendHeader(b, n.ExpectInstance, a.Member.ID.Instance())
	if x.events.last != "" {
		b = appendHeader(b, n.LastEventID, x.events.last)
	}
	if x.team != nil && wardturn.ValidHeaderValue(string(x.team.ID)) {
		b = appendHeader(b, n.Team, string(x.team.ID))
	}
	if x.engine {
		b = appendHeader(b, n.Priority, strconv.Itoa(min(x.priority(), maxPriority)))
	}
	if a.Version > 0 {
		b = appendHeader(b, n.ExpectVersion, strconv.FormatInt(int64(a.Version), 10))
	}
	if len(x.body) > 0 || x.r.Method != http.MethodGet && x.r.Method != http.MethodHead {
		b = appendHeader(b, "Content-Length", strconv.Itoa(len(x.body)))
	}
	return append(b, "\r\n"...)
}

const (
	headSize    = 1 << 10 // initial capacity for the encoded header
	maxPriority = 9       // the least urgent priority that upstreams accept
)

// stripsHeader reports whether a header of the caller is not forwarded, because the
// gateway sets it itself or callers may not send it.
func (x *exchange) stripsHeader(name string) bool {
	n := x.g.names
	switch name {
	case "Content-Length", http.CanonicalHeaderKey(n.DeadlineMS), http.CanonicalHeaderKey(n.ExpectInstance):
		return true
	case http.CanonicalHeaderKey(n.ExpectVersion), http.CanonicalHeaderKey(n.Priority), http.CanonicalHeaderKey(n.Team):
		return true
	case headerAuthorization:
		return x.teamsConfigured
	case http.CanonicalHeaderKey(n.LastEventID):
		return x.events.last != ""
	}
	// Reserved headers claim memory of an upstream. For lack of that memory, requests of
	// other callers would be refused.
	return slices.Contains(n.Reserved, name)
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
