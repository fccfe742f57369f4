package cli

import (
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"wardturn/control"
	"wardturn/driver"
	"wardturn/entry"
)

// entryFlags are the flags of commands that call the operators' API of an entry.
type entryFlags struct {
	Entry       []string `required:"" placeholder:"IP:PORT" help:"Address of an entry host; several are tried in turn."`
	OperatorKey string   `required:"" help:"Key of the operator."`
	HTTPS       bool     `name:"https" help:"Use TLS."`
	Output      string   `default:"table" enum:"table,json" help:"Output for people or for programs: table or json."`
}

const requestTimeout = 15 * time.Second

// ErrRefused matches errors of requests that the entry refused.
var ErrRefused = errors.New("refused")

// client is a client of the operators' API.
type client struct {
	flags entryFlags
	http  fasthttp.Client
}

func (f entryFlags) client() *client {
	return &client{
		flags: f,
	}
}

// do sends a request to the entries in order until one responds, and decodes the response
// into into. A refusal also counts as a response.
func (c *client) do(method, path string, body, result any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return errors.Wrap(err, "request")
		}
	}
	var err error
	for _, addr := range c.flags.Entry {
		if err = c.doAddr(addr, method, path, data, result); err == nil || errors.Is(err, ErrRefused) {
			return err
		}
	}
	return err
}

// doAddr sends a request to the entry at addr.
func (c *client) doAddr(addr, method, path string, body []byte, result any) error {
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	scheme := "http"
	if c.flags.HTTPS {
		scheme = "https"
	}
	req.SetRequestURI(scheme + "://" + addr + path)
	req.Header.SetMethod(method)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.flags.OperatorKey)
	req.SetBody(body)
	if err := c.http.DoTimeout(req, res, requestTimeout); err != nil {
		return errors.Wrapf(err, "entry %s", addr)
	}
	if res.StatusCode() != fasthttp.StatusOK {
		return decodeRefusal(res)
	}
	return errors.Wrap(json.Unmarshal(res.Body(), result), "answer")
}

// refusedError is the error of a request that an entry refused.
type refusedError struct {
	code    string
	message string
}

// Error implements error.
func (e *refusedError) Error() string {
	return e.message + " (" + e.code + ")"
}

// Is reports that every refusedError matches ErrRefused.
func (e *refusedError) Is(target error) bool {
	return target == ErrRefused
}

// decodeRefusal returns the error in a response whose status is not 200.
func decodeRefusal(res *fasthttp.Response) error {
	var body driver.ErrorBody
	if json.Unmarshal(res.Body(), &body) != nil || body.Error.Code == "" {
		return &refusedError{
			code:    "http_error",
			message: fmt.Sprintf("status %d", res.StatusCode()),
		}
	}
	return &refusedError{
		code:    body.Error.Code,
		message: body.Error.Message,
	}
}

// doc returns the current version of a document, or false if there is none.
func (c *client) doc(key control.Key) (entry.DocView, bool, error) {
	var d entry.DocView
	err := c.do(fasthttp.MethodGet, entry.PathDocs+"/"+string(key), nil, &d)
	var refused *refusedError
	if errors.As(err, &refused) && refused.code == entry.CodeUnknownDoc {
		return d, false, nil
	}
	return d, err == nil, err
}

// docs returns the current versions of all documents of a kind.
func (c *client) docs(kind string) ([]entry.DocView, error) {
	var all []entry.DocView
	after := control.Key("")
	for {
		var page entry.DocPage
		path := fmt.Sprintf("%s?kind=%s&limit=1000&after=%s", entry.PathDocs, url.QueryEscape(kind), url.QueryEscape(string(after)))
		if err := c.do(fasthttp.MethodGet, path, nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Docs...)
		if page.Next == "" {
			return all, nil
		}
		after = page.Next
	}
}
