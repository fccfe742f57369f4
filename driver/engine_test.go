package driver_test

import (
	"context"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"wardturn"
	"wardturn/driver"
	"wardturn/standin"
)

// startServer starts a server with the handler h and returns its address.
func startServer(t *testing.T, h fasthttp.RequestHandler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(standin.Serve(ln, h))
	return ln.Addr().String()
}

func run(addr string) (wardturn.EngineResult, string, error) {
	got := ""
	res, err := driver.NewEngine(addr).Run(context.Background(), wardturn.EngineRequest{
		Adapter: wardturn.AdapterRef{
			Adapter: "a",
			Version: 3,
		},
		Path: driver.PathCompletions,
		Body: []byte(`{}`),
	}, func(data []byte) error {
		got += string(data)
		return nil
	})
	return res, got, err
}

func respondWith(status int, body string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(status)
		ctx.SetBodyString(body)
	}
}

const firstEvent = "data: {\"model\":\"a@3\",\"choices\":[]}\n\n"

func TestEngineRun(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		body   string
		want   error // nil if no particular error is expected
		fails  bool
		passed string
	}{
		{"whole stream", 200, firstEvent + "data: [DONE]\n\n", nil, false, firstEvent + "data: [DONE]\n\n"},
		{"whole document", 200, `{"model":"a@3"}`, nil, false, `{"model":"a@3"}`},
		{"another version", 200, "data: {\"model\":\"a@2\"}\n\ndata: [DONE]\n\n", driver.ErrWrongVersion, true, ""},
		{"another adapter", 200, `{"model":"b@3"}`, driver.ErrWrongVersion, true, ""},
		{"no model", 200, `{}`, driver.ErrWrongVersion, true, ""},
		{"no JSON", 200, `oops`, nil, true, ""},
		{"stream cut short", 200, firstEvent, nil, true, firstEvent},
		{"empty", 200, ``, nil, true, ""},
		{"not loaded", 404, `{"error":{"code":"adapter_not_loaded"}}`, wardturn.ErrNotLoaded, true, ""},
		{"refused", 429, `{"error":{"code":"busy"}}`, wardturn.ErrNotStarted, true, ""},
		{"broken", 500, `{}`, nil, true, ""},
	} {
		res, passed, err := run(startServer(t, respondWith(c.status, c.body)))
		if c.fails != (err != nil) || c.want != nil && !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", c.name, err, c.want)
		}
		if c.status == 500 && (errors.Is(err, wardturn.ErrNotStarted) || errors.Is(err, wardturn.ErrNotLoaded)) {
			t.Errorf("%s: the error says that the request did not run, but it may have", c.name)
		}
		if passed != c.passed {
			t.Errorf("%s: passed %q, want %q", c.name, passed, c.passed)
		}
		if err == nil && res.Adapter.Version != 3 {
			t.Errorf("%s: result %+v", c.name, res)
		}
	}
}

func TestEngineUnreachable(t *testing.T) {
	if _, _, err := run(refusingAddr(t)); !errors.Is(err, wardturn.ErrNotStarted) {
		t.Fatalf("%v, want ErrNotStarted", err)
	}
}

// refusingAddr returns an address that refuses connections. Its port is the local port of
// an open connection, so nothing else can listen on it until the test ends.
func refusingAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	dialer := net.Dialer{
		LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)},
	}
	c, err := dialer.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.LocalAddr().String()
}

// TestEngineLost checks that the error does not say "not started" if the engine closes
// the connection after it has read the request: the request may have run.
func TestEngineLost(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			buf := make([]byte, 1024)
			_, _ = c.Read(buf)
			c.Close()
		}
	}()
	if _, _, err := run(ln.Addr().String()); err == nil || errors.Is(err, wardturn.ErrNotStarted) {
		t.Fatalf("%v, but the request may have run", err)
	}
}

func TestEngineOrders(t *testing.T) {
	codes := map[string]error{
		driver.CodeFenced:      wardturn.ErrFenced,
		driver.CodeAdapterBusy: wardturn.ErrAdapterBusy,
		driver.CodeNoSlot:      wardturn.ErrNoSlot,
		driver.CodeStoreBusy:   wardturn.ErrStoreBusy,
		driver.CodeUnavailable: wardturn.ErrUnavailable,
	}
	for code, want := range codes {
		addr := startServer(t, respondWith(409, `{"error":{"code":"`+code+`"}}`))
		err := driver.NewEngine(addr).Load(context.Background(), wardturn.SlotOrder{
			ID: 1,
		})
		if !errors.Is(err, want) {
			t.Errorf("%s: %v, want %v", code, err, want)
		}
	}
}
