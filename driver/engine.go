package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"wardturn"
	"wardturn/process"
)

const (
	orderTimeout    = 60 * time.Second
	reportTimeout   = 2 * time.Second
	maxResponseSize = 16 << 20
	maxConns        = 4096
	readBufferSize  = 16 << 10
	readTimeout     = 2 * time.Minute // maximum time without a byte of the response
	maxFirstPart    = 64 << 10
)

var (
	// ErrWrongVersion is returned when the response of an engine names another
	// adapter or version than the request. No byte of the response is forwarded.
	ErrWrongVersion      = errors.New("driver: engine used another adapter version")
	errMalformedResponse = errors.New("driver: malformed engine response")
)

// Engine is a client for a model engine with an OpenAI-compatible API and dynamic
// LoRA loading. In requests an adapter is named "adapter@version"; the client
// checks that the response names the same adapter and version.
type Engine struct {
	base   string
	client *fasthttp.Client
	stream *fasthttp.Client
}

// NewEngine returns a client for the engine at addr, which has the form IP:port.
func NewEngine(addr string) *Engine {
	return &Engine{
		base: "http://" + addr,
		client: &fasthttp.Client{
			MaxConnsPerHost:           maxConns,
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       maxResponseSize,
			Dial:                      process.CheckResponses(fasthttp.Dial),
		},
		stream: &fasthttp.Client{
			MaxConnsPerHost:           maxConns,
			MaxIdemponentCallAttempts: 1,
			StreamResponseBody:        true,
			Dial:                      process.CheckResponses(fasthttp.Dial),
			ReadTimeout:               readTimeout,
			MaxResponseBodySize:       maxResponseSize,
		},
	}
}

// Run implements wardturn.Engine. After ctx is canceled, the connection is closed
// at the next read from the response, and the engine treats that as a cancellation.
func (e *Engine) Run(ctx context.Context, r wardturn.EngineRequest, emit func([]byte) error) (wardturn.EngineResult, error) {
	res, _, err := await(ctx, func() (wardturn.EngineResult, error) {
		return e.run(ctx, r, emit)
	})
	return res, err
}

func (e *Engine) run(ctx context.Context, r wardturn.EngineRequest, emit func([]byte) error) (wardturn.EngineResult, error) {
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(e.base + r.Path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set(HeaderRequestID, r.Attempt.String())
	req.SetBodyRaw(r.Body)
	if err := e.stream.Do(req, res); err != nil {
		if notSent(err) {
			return wardturn.EngineResult{}, errors.Wrapf(wardturn.ErrNotStarted, "engine: %v", err)
		}
		return wardturn.EngineResult{}, errors.Wrap(err, "engine")
	}
	if res.StatusCode() != fasthttp.StatusOK {
		return wardturn.EngineResult{}, e.responseError(res)
	}
	return e.forward(ctx, r, res, emit)
}

// responseError converts an error response to an error. Besides the codes that codeError
// recognizes, the statuses 400, 404, 429 and 503 mean that the engine did not accept
// the request and that nothing ran.
func (e *Engine) responseError(res *fasthttp.Response) error {
	err := codeError(res)
	switch res.StatusCode() {
	case fasthttp.StatusBadRequest, fasthttp.StatusNotFound, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		if !errors.Is(err, wardturn.ErrNotLoaded) {
			return errors.Mark(err, wardturn.ErrNotStarted)
		}
	}
	return err
}

func (e *Engine) forward(ctx context.Context, r wardturn.EngineRequest, res *fasthttp.Response, emit func([]byte) error) (wardturn.EngineResult, error) {
	body := res.BodyStream()
	if body == nil {
		body = bytes.NewReader(res.Body())
	}
	defer res.CloseBodyStream()
	f := forwarder{
		ctx:  ctx,
		want: r.Adapter,
		emit: emit,
	}
	err := f.copy(body)
	return f.result, err
}

// forwarder forwards a response and checks the model named in its first part.
type forwarder struct {
	ctx     context.Context
	want    wardturn.AdapterRef
	emit    func([]byte) error
	first   []byte
	checked bool
	tail    []byte
	result  wardturn.EngineResult
}

// readBuffers pools buffers for reading responses. It holds pointers, because
// putting a slice into the pool would allocate.
var readBuffers = sync.Pool{
	New: func() any {
		buf := make([]byte, readBufferSize)
		return &buf
	},
}

var jsonParsers fastjson.ParserPool

func (f *forwarder) copy(body io.Reader) error {
	pooled := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(pooled)
	buf := *pooled
	for {
		n, err := body.Read(buf)
		if f.ctx.Err() != nil {
			return f.ctx.Err()
		}
		if n > 0 {
			if err := f.add(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return f.finish()
		}
		if err != nil {
			return errors.Wrap(err, "engine: reading response")
		}
	}
}

func (f *forwarder) add(data []byte) error {
	if f.checked {
		return f.forward(data)
	}
	f.first = append(f.first, data...)
	if len(f.first) > maxFirstPart {
		return f.check()
	}
	if bytes.HasPrefix(f.first, sseData) && bytes.Contains(f.first, sseEnd) {
		return f.check()
	}
	return nil
}

var (
	sseData = []byte("data: ")
	sseEnd  = []byte("\n\n")
	sseDone = []byte("data: [DONE]\n\n")
)

// check compares the model named in the first part with the requested one and
// forwards the part if they match.
func (f *forwarder) check() error {
	doc := f.first
	if bytes.HasPrefix(doc, sseData) {
		doc, _, _ = bytes.Cut(doc[len(sseData):], sseEnd)
	}
	parser := jsonParsers.Get()
	defer jsonParsers.Put(parser)
	v, err := parser.ParseBytes(doc)
	if err != nil {
		return errors.Wrapf(errMalformedResponse, "%v", err)
	}
	ref, err := wardturn.ParseAdapterRef(string(v.GetStringBytes("model")))
	if err != nil || ref != f.want {
		return errors.Wrapf(ErrWrongVersion, "asked for %s, got %q", f.want, v.GetStringBytes("model"))
	}
	f.checked = true
	f.result.Adapter = ref
	return f.forward(f.first)
}

func (f *forwarder) forward(data []byte) error {
	f.tail = append(f.tail, data...)
	if extra := len(f.tail) - len(sseDone); extra > 0 {
		f.tail = append(f.tail[:0], f.tail[extra:]...)
	}
	return f.emit(data)
}

// finish checks that the response is complete: a stream ends with the [DONE]
// marker, and a document is a single JSON value.
func (f *forwarder) finish() error {
	if !f.checked {
		return f.check()
	}
	if bytes.HasPrefix(f.first, sseData) && !bytes.Equal(f.tail, sseDone) {
		return errors.Wrap(errMalformedResponse, "stream ended without [DONE]")
	}
	return nil
}

// Load implements wardturn.Engine.
func (e *Engine) Load(ctx context.Context, order wardturn.SlotOrder) error {
	body := AdapterRequest{
		Name: order.Adapter.String(),
		Path: "store://" + order.Adapter.String(),
	}
	return e.order(ctx, PathLoadAdapter, order, body)
}

// Unload implements wardturn.Engine.
func (e *Engine) Unload(ctx context.Context, order wardturn.SlotOrder) error {
	body := AdapterRequest{
		Name: order.Adapter.String(),
	}
	return e.order(ctx, PathUnloadAdapter, order, body)
}

func (e *Engine) order(ctx context.Context, path string, order wardturn.SlotOrder, body AdapterRequest) error {
	_, ended, err := await(ctx, func() (struct{}, error) {
		return struct{}{}, e.sendOrder(ctx, path, order, body)
	})
	if !ended {
		return errors.Wrap(wardturn.ErrReplyLost, "engine: order canceled")
	}
	return err
}

func (e *Engine) sendOrder(ctx context.Context, path string, order wardturn.SlotOrder, body AdapterRequest) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "engine: order")
	}
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(e.base + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set(HeaderFence, strconv.FormatInt(int64(order.Fence), 10))
	req.Header.Set(HeaderOrderID, strconv.FormatUint(uint64(order.ID), 10))
	req.SetBodyRaw(data)
	if err := e.client.DoTimeout(req, res, timeoutFor(ctx, orderTimeout)); err != nil {
		if notSent(err) {
			return errors.Wrapf(wardturn.ErrNotStarted, "engine: %v", err)
		}
		return errors.Wrapf(wardturn.ErrReplyLost, "engine: %v", err)
	}
	if res.StatusCode() == fasthttp.StatusOK {
		return nil
	}
	return codeError(res)
}

// codeError converts an error response to the error for its code, or to an error
// with the status and message if the code is unknown.
func codeError(res *fasthttp.Response) error {
	var body ErrorBody
	_ = json.Unmarshal(res.Body(), &body)
	base := errors.Newf("engine: status %d: %s", res.StatusCode(), body.Error.Message)
	switch body.Error.Code {
	case CodeNotLoaded:
		return wardturn.ErrNotLoaded
	case CodeFenced:
		return wardturn.ErrFenced
	case CodeAdapterBusy:
		return wardturn.ErrAdapterBusy
	case CodeNoSlot:
		return wardturn.ErrNoSlot
	case CodeStoreBusy:
		return wardturn.ErrStoreBusy
	case CodeUnavailable:
		return wardturn.ErrUnavailable
	}
	return base
}

// Report implements wardturn.Engine.
func (e *Engine) Report(ctx context.Context) (wardturn.EngineReport, error) {
	var rep wardturn.EngineReport
	status, body, err := e.client.GetTimeout(nil, e.base+PathReport, timeoutFor(ctx, reportTimeout))
	if err != nil {
		return rep, errors.Wrapf(wardturn.ErrUnavailable, "engine: %v", err)
	}
	if status != fasthttp.StatusOK {
		return rep, errors.Wrapf(wardturn.ErrUnavailable, "engine: status %d", status)
	}
	if err := json.Unmarshal(body, &rep); err != nil {
		return rep, errors.Wrapf(wardturn.ErrUnavailable, "engine: %v", err)
	}
	return rep, nil
}
