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
)

const (
	orderLimit   = 60 * time.Second
	reportLimit  = 2 * time.Second
	maxAnswer    = 16 << 20
	engineConns  = 4096
	readPiece    = 16 << 10
	silentLimit  = 2 * time.Minute // without a byte of an answer
	maxFirstPart = 64 << 10
)

var (
	// ErrWrongVersion is returned when an engine answers on another adapter
	// version than the one asked for. No byte of the answer is passed on.
	ErrWrongVersion = errors.New("driver: engine answered on another adapter version")
	errBadAnswer    = errors.New("driver: unreadable answer of the engine")
)

// Engine is a client of a model engine with an OpenAI-compatible API and
// dynamic LoRA loading. Adapters are named "adapter@version" towards it, and
// the name in its answer is checked.
type Engine struct {
	base   string
	client *fasthttp.Client
	stream *fasthttp.Client
}

// NewEngine returns a client of the engine at an address, IP:port.
func NewEngine(addr string) *Engine {
	return &Engine{
		base: "http://" + addr,
		client: &fasthttp.Client{
			MaxConnsPerHost:           engineConns,
			MaxIdemponentCallAttempts: 1,
		},
		stream: &fasthttp.Client{
			MaxConnsPerHost:           engineConns,
			MaxIdemponentCallAttempts: 1,
			StreamResponseBody:        true,
			ReadTimeout:               silentLimit,
			MaxResponseBodySize:       maxAnswer,
		},
	}
}

// Run implements wardturn.Engine. Cancelling ctx closes the connection at the
// next piece of the answer, which the engine takes as a cancel.
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
	req.Header.Set(HeaderAttempt, r.Attempt.String())
	req.SetBodyRaw(r.Body)
	if err := e.stream.Do(req, res); err != nil {
		if notSent(err) {
			return wardturn.EngineResult{}, errors.Wrapf(wardturn.ErrNotStarted, "engine: %v", err)
		}
		return wardturn.EngineResult{}, errors.Wrap(err, "engine")
	}
	if res.StatusCode() != fasthttp.StatusOK {
		return wardturn.EngineResult{}, e.refusal(res)
	}
	return e.pass(ctx, r, res, emit)
}

// refusal reads an error answer. Codes that say so mean that nothing ran, and
// so do the statuses for a request that the engine did not accept.
func (e *Engine) refusal(res *fasthttp.Response) error {
	err := codeError(res)
	switch res.StatusCode() {
	case fasthttp.StatusBadRequest, fasthttp.StatusNotFound, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		if !errors.Is(err, wardturn.ErrNotLoaded) {
			return errors.Mark(err, wardturn.ErrNotStarted)
		}
	}
	return err
}

func (e *Engine) pass(ctx context.Context, r wardturn.EngineRequest, res *fasthttp.Response, emit func([]byte) error) (wardturn.EngineResult, error) {
	body := res.BodyStream()
	if body == nil {
		body = bytes.NewReader(res.Body())
	}
	defer res.CloseBodyStream()
	p := passer{
		ctx:  ctx,
		want: r.Adapter,
		emit: emit,
	}
	err := p.copy(body)
	return p.result, err
}

// passer copies an answer and checks the model named in its first part.
type passer struct {
	ctx     context.Context
	want    wardturn.AdapterRef
	emit    func([]byte) error
	first   []byte
	checked bool
	tail    []byte
	result  wardturn.EngineResult
}

// readBuffers holds buffers for reading answers, by pointer so that the pool does
// not allocate.
var readBuffers = sync.Pool{
	New: func() any {
		buf := make([]byte, readPiece)
		return &buf
	},
}

var parsers fastjson.ParserPool

func (p *passer) copy(body io.Reader) error {
	pooled := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(pooled)
	buf := *pooled
	for {
		n, err := body.Read(buf)
		if p.ctx.Err() != nil {
			return p.ctx.Err()
		}
		if n > 0 {
			if err := p.piece(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return p.finish()
		}
		if err != nil {
			return errors.Wrap(err, "engine: answer cut short")
		}
	}
}

func (p *passer) piece(data []byte) error {
	if p.checked {
		return p.pass(data)
	}
	p.first = append(p.first, data...)
	if len(p.first) > maxFirstPart {
		return p.check()
	}
	if bytes.HasPrefix(p.first, sseData) && bytes.Contains(p.first, sseEnd) {
		return p.check()
	}
	return nil
}

var (
	sseData = []byte("data: ")
	sseEnd  = []byte("\n\n")
	sseDone = []byte("data: [DONE]\n\n")
)

// check compares the model of the first part, then passes it on.
func (p *passer) check() error {
	doc := p.first
	if bytes.HasPrefix(doc, sseData) {
		doc, _, _ = bytes.Cut(doc[len(sseData):], sseEnd)
	}
	parser := parsers.Get()
	defer parsers.Put(parser)
	v, err := parser.ParseBytes(doc)
	if err != nil {
		return errors.Wrapf(errBadAnswer, "%v", err)
	}
	ref, err := wardturn.ParseAdapterRef(string(v.GetStringBytes("model")))
	if err != nil || ref != p.want {
		return errors.Wrapf(ErrWrongVersion, "asked for %s, got %q", p.want, v.GetStringBytes("model"))
	}
	p.checked = true
	p.result.Adapter = ref
	return p.pass(p.first)
}

func (p *passer) pass(data []byte) error {
	p.tail = append(p.tail, data...)
	if extra := len(p.tail) - len(sseDone); extra > 0 {
		p.tail = append(p.tail[:0], p.tail[extra:]...)
	}
	return p.emit(data)
}

// finish checks that the answer is whole: a stream ends with its end marker, a
// document is one JSON value.
func (p *passer) finish() error {
	if !p.checked {
		return p.check()
	}
	if bytes.HasPrefix(p.first, sseData) && !bytes.Equal(p.tail, sseDone) {
		return errors.Wrap(errBadAnswer, "stream without its end")
	}
	return nil
}

// Load implements wardturn.Engine.
func (e *Engine) Load(ctx context.Context, order wardturn.SlotOrder) error {
	body := AdapterOrder{
		Name: order.Adapter.String(),
		Path: "store://" + order.Adapter.String(),
	}
	return e.order(ctx, PathLoadAdapter, order, body)
}

// Unload implements wardturn.Engine.
func (e *Engine) Unload(ctx context.Context, order wardturn.SlotOrder) error {
	body := AdapterOrder{
		Name: order.Adapter.String(),
	}
	return e.order(ctx, PathUnloadAdapter, order, body)
}

func (e *Engine) order(ctx context.Context, path string, order wardturn.SlotOrder, body AdapterOrder) error {
	_, ended, err := await(ctx, func() (struct{}, error) {
		return struct{}{}, e.send(ctx, path, order, body)
	})
	if !ended {
		return errors.Wrap(wardturn.ErrReplyLost, "engine: order canceled")
	}
	return err
}

func (e *Engine) send(ctx context.Context, path string, order wardturn.SlotOrder, body AdapterOrder) error {
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
	req.Header.Set(HeaderOrder, strconv.FormatUint(uint64(order.ID), 10))
	req.SetBodyRaw(data)
	if err := e.client.DoTimeout(req, res, limitOf(ctx, orderLimit)); err != nil {
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

// codeError turns an error answer into the error that its code stands for.
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
	status, body, err := e.client.GetTimeout(nil, e.base+PathReport, limitOf(ctx, reportLimit))
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
