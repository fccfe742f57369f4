package demo_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wardturn/demo"
)

// benchSystem starts one entry and one engine whose steps take no time, so that the
// benchmarks measure the request path alone.
func benchSystem(b *testing.B) *demo.System {
	b.Helper()
	cfg := demo.ZurichConfig()
	cfg.Engines = 1
	cfg.Services = 0
	cfg.Entries = 1
	cfg.Adapters = 8
	cfg.Batch = 512
	cfg.HostListDelay = 0
	cfg.Engine.StepBase = 0
	cfg.Engine.StepSequence = 0
	cfg.Engine.StepPrompt = 0
	cfg.Engine.StepTokens = 1 << 20
	cfg.Store.FetchTime = time.Millisecond
	sys, err := demo.Start(context.Background(), cfg)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(sys.Close)
	// The first request loads the adapter.
	send(b, &fasthttp.Client{}, "http://"+sys.EntryAddrs()[0]+"/v1/completions", "a0001")
	return sys
}

func send(b *testing.B, c *fasthttp.Client, url, model string) {
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(url)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString(`{"model":"` + model + `","prompt":"a short question","max_tokens":1}`)
	if err := c.Do(req, res); err != nil {
		b.Error(err)
	}
	if res.StatusCode() != fasthttp.StatusOK {
		b.Errorf("status %d: %s", res.StatusCode(), res.Body())
	}
}

// benchSequential measures sequential requests.
func benchSequential(b *testing.B, url, model string) {
	c := &fasthttp.Client{}
	times := make([]time.Duration, 0, b.N)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		start := time.Now()
		send(b, c, url, model)
		times = append(times, time.Since(start))
	}
	b.StopTimer()
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
}

// BenchmarkSequential compares sequential requests through entry and agent with direct
// requests to the stand-in engine.
func BenchmarkSequential(b *testing.B) {
	sys := benchSystem(b)
	b.Run("direct", func(b *testing.B) {
		benchSequential(b, "http://"+sys.Upstreams[0].Addr()+"/v1/completions", "a0001@1")
	})
	b.Run("through", func(b *testing.B) {
		benchSequential(b, "http://"+sys.EntryAddrs()[0]+"/v1/completions", "a0001")
	})
}

// BenchmarkParallel measures the throughput of parallel requests, with the same
// comparison as BenchmarkSequential.
func BenchmarkParallel(b *testing.B) {
	sys := benchSystem(b)
	run := func(name, url, model string) {
		b.Run(name, func(b *testing.B) {
			c := &fasthttp.Client{
				MaxConnsPerHost: 1024,
			}
			b.ReportAllocs()
			b.SetParallelism(16)
			start := time.Now()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					send(b, c, url, model)
				}
			})
			b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "req/s")
		})
	}
	run("direct", "http://"+sys.Upstreams[0].Addr()+"/v1/completions", "a0001@1")
	run("through", "http://"+sys.EntryAddrs()[0]+"/v1/completions", "a0001")
}
