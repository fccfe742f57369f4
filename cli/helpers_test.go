package cli_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wardturn"
	"wardturn/cli"
	"wardturn/control"
	"wardturn/standin"
)

func keyDigest(key string) string { return control.KeyDigest(key) }

func testHost(addr string) wardturn.Host {
	return wardturn.Host{
		Upstream: "u",
		Addr:     addr,
		Region:   "r",
		Domain:   "d",
		Model:    "base",
	}
}

func listenAndServe(t *testing.T, h fasthttp.RequestHandler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(standin.Serve(ln, h))
	return ln.Addr().String()
}

func publishAdapter(t *testing.T, log *standin.Log) {
	t.Helper()
	data, err := control.EncodeRecord(control.Record{
		Change: &control.Change{
			ID: "setup",
			Docs: []control.DocChange{{
				Key:  "adapter/a",
				Body: []byte("base_model: base\nversion: 1\n"),
			}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(context.Background(), data); err != nil {
		t.Fatal(err)
	}
}

// logBuffer collects the log of a daemon and can be read while the daemon runs.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *logBuffer) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(data)
}

// String returns the log so far.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// startedPattern matches the address in the line that a daemon logs when it starts to
// serve.
var startedPattern = regexp.MustCompile(` started: .*\baddr=(\S+) `)

// start runs a daemon's main function until the test ends, and then expects it to exit
// with ExitOK. The kernel chooses the port; start returns the address that the daemon
// listens on.
func start(t *testing.T, main func(context.Context, []string, cli.Streams) int, args []string) string {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	logs := &logBuffer{}
	ended := make(chan struct{})
	code := cli.ExitOK // read only after the daemon has ended
	go func() {
		defer close(ended)
		code = main(ctx, append([]string{"--listen=127.0.0.1:0"}, args...), cli.Streams{
			Out: io.Discard,
			Err: logs,
		})
	}()
	t.Cleanup(func() {
		stop()
		<-ended
		if code != cli.ExitOK {
			t.Errorf("daemon ended with exit code %d:\n%s", code, logs)
		}
	})
	addr := ""
	waitFor(t, "start of a daemon", func() bool {
		select {
		case <-ended:
			t.Fatalf("daemon ended at its start with exit code %d:\n%s", code, logs)
		default:
		}
		if m := startedPattern.FindStringSubmatch(logs.String()); m != nil {
			addr = m[1]
		}
		return addr != ""
	})
	return addr
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

type client struct {
	http fasthttp.Client
}

func httpsClient(t *testing.T, ca string) *client {
	t.Helper()
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(ca)) {
		t.Fatal("bad CA")
	}
	return &client{
		http: fasthttp.Client{
			TLSConfig: &tls.Config{
				RootCAs: pool,
			},
		},
	}
}

func (c *client) status(url, key string) int {
	return c.do("GET", url, key, "")
}

func (c *client) complete(url, key string) int {
	return c.do("POST", url, key, `{"model":"a","prompt":"x","max_tokens":2}`)
}

func (c *client) do(method, url, key, body string) int {
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(url)
	req.Header.SetMethod(method)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	req.SetBodyString(body)
	if c.http.Do(req, res) != nil {
		return 0
	}
	return res.StatusCode()
}

// dialTLS connects to an agent with mutual TLS and reads the first byte that it sends.
func dialTLS(addr, cert, key, ca string) error {
	pair, err := tls.X509KeyPair([]byte(cert), []byte(key))
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM([]byte(ca))
	c, err := tls.Dial("tcp", addr, &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ServerName:   "wardturn",
	})
	if err != nil {
		return err
	}
	defer c.Close()
	_, err = c.Read(make([]byte, 1))
	return err
}
