package driver

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"wardturn"
	"wardturn/process"
)

const serviceTimeout = 30 * time.Second

// Service is a client for a plain service. It forwards requests with their method,
// path, headers and body.
type Service struct {
	base   string
	client *fasthttp.Client
}

// NewService returns a client for the service at addr, which has the form IP:port.
func NewService(addr string) *Service {
	return &Service{
		base: "http://" + addr,
		client: &fasthttp.Client{
			MaxConnsPerHost:           maxConns,
			MaxResponseBodySize:       maxResponseSize,
			MaxIdemponentCallAttempts: 1,
			Dial:                      process.CheckResponses(fasthttp.Dial),
		},
	}
}

// Call implements wardturn.Service.
func (s *Service) Call(ctx context.Context, r wardturn.Request) (wardturn.ServiceResponse, error) {
	res, _, err := await(ctx, func() (wardturn.ServiceResponse, error) {
		return s.call(ctx, r)
	})
	return res, err
}

func (s *Service) call(ctx context.Context, r wardturn.Request) (wardturn.ServiceResponse, error) {
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(s.base + r.Path)
	req.Header.SetMethod(r.Method)
	for _, h := range r.Header {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set(HeaderRequestID, string(r.ID))
	req.SetBodyRaw(r.Body)
	if err := s.client.DoTimeout(req, res, timeoutFor(ctx, serviceTimeout)); err != nil {
		if notSent(err) {
			return wardturn.ServiceResponse{}, errors.Wrapf(wardturn.ErrNotStarted, "service: %v", err)
		}
		return wardturn.ServiceResponse{}, errors.Wrap(err, "service")
	}
	out := wardturn.ServiceResponse{
		Status: res.StatusCode(),
		Body:   append([]byte(nil), res.Body()...),
	}
	for k, v := range res.Header.All() {
		if !isHopByHop(string(k)) {
			out.Header = append(out.Header, wardturn.HeaderField{
				Name:  string(k),
				Value: string(v),
			})
		}
	}
	return out, nil
}

// isHopByHop reports whether a response header applies to a single connection or is
// generated anew for each one, and is therefore not forwarded.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Upgrade", "Date", "Server":
		return true
	}
	return false
}
