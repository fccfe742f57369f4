// Package load sends open-loop traffic to entry hosts and measures it.
//
// Requests are sent at the times of a trace, whether or not earlier ones have been
// answered, and the latency of each is measured from its scheduled time. A slow system
// therefore can't hide its delays by slowing the load down (coordinated omission).
package load

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"wardturn"
	"wardturn/entry"
	"wardturn/experiment"
)

// Plan describes the traffic to send.
type Plan struct {
	Addrs  []string // of entry hosts, IP:port; used round-robin
	Trace  []experiment.Request
	Key    string // bearer key; empty: none
	Stream bool
	Clock  wardturn.Clock
	// MaxInFlight is the maximum number of requests in flight; a request beyond it is not
	// sent and counts as skipped. Zero means DefaultMaxInFlight.
	MaxInFlight int
}

// The range of the histograms, in microseconds.
const (
	histMin    = 1
	histMax    = 3_600_000_000
	histDigits = 3
)

// Summary is the result of a run. Latencies are in milliseconds.
type Summary struct {
	Sent          int            `json:"sent"`
	Done          int            `json:"done"`
	NotRun        int            `json:"not_run"`
	Unknown       int            `json:"unknown"`
	Failed        int            `json:"failed"` // no response, or one that could not be read
	Skipped       int            `json:"skipped"`
	Reasons       map[string]int `json:"reasons,omitempty"`
	Total         Latency        `json:"whole_ms"`
	FirstByte     Latency        `json:"first_byte_ms"`
	LoadStall     Latency        `json:"load_stall_ms"`
	Seconds       float64        `json:"seconds"`
	DonePerSecond float64        `json:"done_per_second"`
}

// Latency holds the mean and quantiles of a latency in milliseconds.
type Latency struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P95  float64 `json:"p95"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"max"`
}

// Runner sends the requests of a plan and measures them.
type Runner struct {
	plan     Plan
	client   *fasthttp.Client
	inFlight atomic.Int64

	mu        sync.Mutex
	totals    Summary
	total     *hdrhistogram.Histogram
	firstByte *hdrhistogram.Histogram
	loadStall *hdrhistogram.Histogram
}

// DefaultMaxInFlight is the default of Plan.MaxInFlight.
const DefaultMaxInFlight = 20_000

// NewRunner returns a runner for a plan.
func NewRunner(p Plan) *Runner {
	if p.MaxInFlight == 0 {
		p.MaxInFlight = DefaultMaxInFlight
	}
	return &Runner{
		plan: p,
		client: &fasthttp.Client{
			MaxConnsPerHost:           p.MaxInFlight,
			StreamResponseBody:        true,
			MaxIdemponentCallAttempts: 1,
		},
		totals: Summary{
			Reasons: make(map[string]int),
		},
		total:     hdrhistogram.New(histMin, histMax, histDigits),
		firstByte: hdrhistogram.New(histMin, histMax, histDigits),
		loadStall: hdrhistogram.New(histMin, histMax, histDigits),
	}
}

// Run sends the requests of the plan and waits for the responses. It stops sending when
// ctx is done.
func (r *Runner) Run(ctx context.Context) Summary {
	start := r.plan.Clock.Now()
	var wg sync.WaitGroup
	for i, req := range r.plan.Trace {
		scheduled := start.Add(req.ArrivalTime())
		if !wardturn.Sleep(ctx, r.plan.Clock, scheduled.Sub(r.plan.Clock.Now())) {
			break
		}
		if r.inFlight.Load() >= int64(r.plan.MaxInFlight) {
			r.updateTotals(func(s *Summary) { s.Skipped++ })
			continue
		}
		r.inFlight.Add(1)
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer r.inFlight.Add(-1)
			r.send(i, req, scheduled)
		}()
	}
	wg.Wait()
	return r.summary(r.plan.Clock.Now().Sub(start))
}

func (r *Runner) updateTotals(f func(*Summary)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.totals)
}

// Snapshot returns the counts so far.
func (r *Runner) Snapshot() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.totals
}

func (r *Runner) send(i int, t experiment.Request, scheduled time.Time) {
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	r.fillRequest(req, i, t)
	r.updateTotals(func(s *Summary) { s.Sent++ })
	if err := r.client.Do(req, res); err != nil {
		r.updateTotals(func(s *Summary) { s.Failed++ })
		return
	}
	firstByte, complete, err := r.readResponse(res)
	stall, _ := strconv.Atoi(string(res.Header.Peek(entry.HeaderLoadStall)))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.classify(res, complete, err)
	if err == nil && res.StatusCode() == fasthttp.StatusOK {
		_ = r.total.RecordValue(max(histMin, r.plan.Clock.Now().Sub(scheduled).Microseconds()))
		_ = r.firstByte.RecordValue(max(histMin, firstByte.Sub(scheduled).Microseconds()))
		_ = r.loadStall.RecordValue(max(histMin, int64(stall)*1000))
	}
}

// classify counts a response. The caller holds the lock.
func (r *Runner) classify(res *fasthttp.Response, complete bool, err error) {
	reason := string(res.Header.Peek(entry.HeaderReason))
	switch {
	case err != nil:
		r.totals.Failed++
	case res.StatusCode() == fasthttp.StatusOK && complete:
		r.totals.Done++
	case string(res.Header.Peek(entry.HeaderOutcome)) == wardturn.NotRun.String():
		r.totals.NotRun++
		r.totals.Reasons[reason]++
	default:
		r.totals.Unknown++
		r.totals.Reasons[reason]++
	}
}

// promptText is the text of which prompts are made.
var promptText = bytes.Repeat([]byte("wait "), 1<<16)

const bytesPerToken = 4

func (r *Runner) fillRequest(req *fasthttp.Request, i int, t experiment.Request) {
	req.SetRequestURI("http://" + r.plan.Addrs[i%len(r.plan.Addrs)] + "/v1/completions")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set(entry.HeaderClass, t.Class)
	if r.plan.Key != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+r.plan.Key)
	}
	if t.DeadlineMS > 0 {
		req.Header.Set(entry.HeaderDeadline, strconv.FormatInt(t.DeadlineMS, 10))
	}
	n := min(len(promptText), int(t.PromptTokens)*bytesPerToken)
	body := make([]byte, 0, n+128)
	body = append(body, `{"model":"`...)
	body = append(body, t.Adapter...)
	body = append(body, `","max_tokens":`...)
	body = strconv.AppendInt(body, int64(t.OutputTokens), 10)
	if r.plan.Stream {
		body = append(body, `,"stream":true`...)
	}
	body = append(body, `,"prompt":"`...)
	body = append(body, promptText[:n]...)
	body = append(body, `"}`...)
	req.SetBodyRaw(body)
}

var streamEnd = []byte("data: [DONE]")

// readResponse reads a response body to its end and returns when its first byte arrived.
// A stream is whole if it contains the end marker.
func (r *Runner) readResponse(res *fasthttp.Response) (firstByte time.Time, complete bool, err error) {
	body := res.BodyStream()
	if body == nil {
		return r.plan.Clock.Now(), true, nil
	}
	defer res.CloseBodyStream()
	br := bufio.NewReader(body)
	if _, err := br.Peek(1); err != nil {
		return r.plan.Clock.Now(), false, err
	}
	firstByte = r.plan.Clock.Now()
	complete = !r.plan.Stream
	for {
		line, err := br.ReadSlice('\n')
		if bytes.HasPrefix(line, streamEnd) {
			complete = true
		}
		switch err {
		case nil, bufio.ErrBufferFull:
		case io.EOF:
			return firstByte, complete, nil
		default:
			return firstByte, false, err
		}
	}
}

func (r *Runner) summary(took time.Duration) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.totals
	s.Total = latency(r.total)
	s.FirstByte = latency(r.firstByte)
	s.LoadStall = latency(r.loadStall)
	s.Seconds = took.Seconds()
	if took > 0 {
		s.DonePerSecond = float64(s.Done) / took.Seconds()
	}
	return s
}

func latency(h *hdrhistogram.Histogram) Latency {
	const perMilli = 1000.0
	return Latency{
		Mean: h.Mean() / perMilli,
		P50:  float64(h.ValueAtQuantile(50)) / perMilli,
		P95:  float64(h.ValueAtQuantile(95)) / perMilli,
		P99:  float64(h.ValueAtQuantile(99)) / perMilli,
		Max:  float64(h.Max()) / perMilli,
	}
}
