package driver

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"wardturn"
	"wardturn/process"
)

const (
	logAppendTimeout = 3 * time.Second
	logReadExtraTime = 3 * time.Second
	maxLogPageSize   = 64 << 20
	// maxIdleConn is how long an unused connection to the platform is kept. One that has gone
	// silent delays a call by the whole timeout.
	maxIdleConn = 500 * time.Millisecond
)

// Log is a client for the platform's log.
type Log struct {
	base   string
	client *fasthttp.Client
}

// NewLog returns a client for the log at addr, which has the form IP:port.
func NewLog(addr string) *Log {
	return &Log{
		base: "http://" + addr,
		client: &fasthttp.Client{
			MaxResponseBodySize: maxLogPageSize,
			MaxConnsPerHost:     8,
			// A lost reply must be reported to the caller and not retried, because
			// the append may have taken effect.
			MaxIdemponentCallAttempts: 1,
			MaxIdleConnDuration:       maxIdleConn,
			Dial:                      process.CheckResponses(fasthttp.Dial),
		},
	}
}

// do sends a request. If it fails, the other connections may have been lost in the same way.
func (l *Log) do(req *fasthttp.Request, res *fasthttp.Response, timeout time.Duration) error {
	err := l.client.DoTimeout(req, res, timeout)
	if err != nil {
		l.client.CloseIdleConnections()
	}
	return err
}

// Append implements wardturn.Log.
func (l *Log) Append(ctx context.Context, data []byte) (wardturn.Offset, error) {
	offset, ended, err := await(ctx, func() (wardturn.Offset, error) {
		return l.append(ctx, data)
	})
	if !ended {
		return 0, errors.Wrap(wardturn.ErrReplyLost, "log: append canceled")
	}
	return offset, err
}

func (l *Log) append(ctx context.Context, data []byte) (wardturn.Offset, error) {
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(l.base + PathRecords)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyRaw(data)
	if err := l.do(req, res, timeoutFor(ctx, logAppendTimeout)); err != nil {
		return 0, appendError(err)
	}
	switch res.StatusCode() {
	case fasthttp.StatusOK:
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return 0, wardturn.ErrUnavailable
	default:
		return 0, errors.Wrapf(wardturn.ErrReplyLost, "log: status %d", res.StatusCode())
	}
	var a AppendResponse
	if err := json.Unmarshal(res.Body(), &a); err != nil {
		return 0, errors.Wrap(wardturn.ErrReplyLost, "log: malformed append response")
	}
	return a.Offset, nil
}

// appendError returns ErrUnavailable for a request that was never sent, and
// ErrReplyLost for one that the log may have received.
func appendError(err error) error {
	if notSent(err) {
		return errors.Wrapf(wardturn.ErrUnavailable, "log: %v", err)
	}
	return errors.Wrapf(wardturn.ErrReplyLost, "log: %v", err)
}

// Read implements wardturn.Log.
func (l *Log) Read(ctx context.Context, from wardturn.Offset, limit int, wait time.Duration) (wardturn.LogPage, error) {
	page, ended, err := await(ctx, func() (wardturn.LogPage, error) {
		return l.read(ctx, from, limit, wait)
	})
	if !ended {
		return wardturn.LogPage{}, errors.Wrap(wardturn.ErrUnavailable, "log: read canceled")
	}
	return page, err
}

func (l *Log) read(ctx context.Context, from wardturn.Offset, limit int, wait time.Duration) (wardturn.LogPage, error) {
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(l.base + PathRecords)
	args := req.URI().QueryArgs()
	args.Set("from", strconv.FormatInt(int64(from), 10))
	args.SetUint("limit", limit)
	args.SetUint("wait_ms", int(wait.Milliseconds()))
	if err := l.do(req, res, timeoutFor(ctx, wait+logReadExtraTime)); err != nil {
		return wardturn.LogPage{}, errors.Wrapf(wardturn.ErrUnavailable, "log: %v", err)
	}
	return readPage(res)
}

func readPage(res *fasthttp.Response) (wardturn.LogPage, error) {
	var p LogPage
	status := res.StatusCode()
	if status == fasthttp.StatusOK || status == fasthttp.StatusGone {
		if err := json.Unmarshal(res.Body(), &p); err != nil {
			return wardturn.LogPage{}, errors.Wrap(wardturn.ErrUnavailable, "log: malformed page")
		}
	}
	switch status {
	case fasthttp.StatusOK:
		return p.page(), nil
	case fasthttp.StatusGone:
		return p.page(), wardturn.ErrOutOfRetention
	}
	return wardturn.LogPage{}, errors.Wrapf(wardturn.ErrUnavailable, "log: status %d", status)
}

func (p LogPage) page() wardturn.LogPage {
	page := wardturn.LogPage{
		First:   p.First,
		Next:    p.Next,
		Records: make([]wardturn.LogRecord, 0, len(p.Records)),
	}
	for _, r := range p.Records {
		page.Records = append(page.Records, wardturn.LogRecord{
			Offset: r.Offset,
			Time:   r.Time,
			Data:   r.Data,
		})
	}
	return page
}

// timeoutFor returns the time until the deadline of ctx, at most limit and at least
// one millisecond.
func timeoutFor(ctx context.Context, limit time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return limit
	}
	return max(min(limit, time.Until(deadline)), time.Millisecond)
}
