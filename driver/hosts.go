package driver

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"wardturn"
	"wardturn/process"
)

const hostsTimeout = 2 * time.Second

// HostList is a client for the platform's list of hosts. It uses conditional
// requests (ETag, If-None-Match): downloading a list of thousands of hosts every
// second would cost more than all other control traffic of a process.
type HostList struct {
	url    string
	client *fasthttp.Client

	mu    sync.Mutex
	etag  string
	hosts []wardturn.Host
}

// NewHostList returns a client for the list at addr, which has the form IP:port.
func NewHostList(addr string) *HostList {
	return &HostList{
		url: "http://" + addr + PathHosts,
		client: &fasthttp.Client{
			MaxIdleConnDuration: maxIdleConn,
			MaxResponseBodySize: maxResponseSize,
			Dial:                process.CheckResponses(fasthttp.Dial),
		},
	}
}

// Hosts implements wardturn.HostList.
func (l *HostList) Hosts(ctx context.Context) ([]wardturn.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(l.url)
	if l.etag != "" {
		req.Header.Set(fasthttp.HeaderIfNoneMatch, l.etag)
	}
	if err := l.client.DoTimeout(req, res, timeoutFor(ctx, hostsTimeout)); err != nil {
		l.client.CloseIdleConnections()
		return nil, errors.Wrapf(wardturn.ErrUnavailable, "hosts: %v", err)
	}
	switch res.StatusCode() {
	case fasthttp.StatusNotModified:
		return slices.Clone(l.hosts), nil
	case fasthttp.StatusOK:
		return l.store(res)
	}
	return nil, errors.Wrapf(wardturn.ErrUnavailable, "hosts: status %d", res.StatusCode())
}

func (l *HostList) store(res *fasthttp.Response) ([]wardturn.Host, error) {
	var hosts []wardturn.Host
	if err := json.Unmarshal(res.Body(), &hosts); err != nil {
		return nil, errors.Wrapf(wardturn.ErrUnavailable, "hosts: %v", err)
	}
	l.hosts = hosts
	l.etag = string(res.Header.Peek(fasthttp.HeaderETag))
	return slices.Clone(hosts), nil
}

// notSent reports whether a request failed before a connection was established, so
// that no part of it reached the server.
func notSent(err error) bool {
	if errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout) {
		return true
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
