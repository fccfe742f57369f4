package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/gomega"
)

// reply is the response that a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // the request failed or the response was truncated
}

// attempts numbers the attempts of all tests, so that each has a unique id.
var attempts atomic.Int64

// send sends a request to the gateway and reads the response.
func (x *rig) send(method, id, path, model, body string) reply {
	req, err := http.NewRequest(method, x.frontURL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set("X-Wardturn-Attempt-Id", id)
	req.Header.Set("X-Wardturn-Deadline-Ms", "3000")
	if model != "" {
		req.Header.Set("X-Wardturn-Model", model)
	}
	return x.do(req)
}

// do sends a request and reads the response.
func (x *rig) do(req *http.Request) reply {
	res, err := x.client.Do(req)
	if err != nil {
		return reply{
			err: err,
		}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return reply{
		status: res.StatusCode,
		header: res.Header,
		body:   string(data),
		err:    err,
	}
}

// get sends a POST request with an attempt id that starts with name.
func (x *rig) get(name, path, model string) reply {
	return x.send("POST", fmt.Sprintf("%s-%d", name, attempts.Add(1)), path, model, "prompt")
}

// headersOf returns the headers that a worker received with an attempt, or nil.
func (x *rig) headersOf(id string) http.Header {
	for _, m := range append(x.engines, x.apps...) {
		if h := m.Headers(id); h != nil {
			return h
		}
	}
	return nil
}

// runs returns how often an attempt was run by all workers together.
func (x *rig) runs(id string) int {
	n := 0
	for _, m := range append(x.engines, x.apps...) {
		n += m.Runs(id)
	}
	return n
}
