package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"wardturn/process"
)

// BenchmarkCallerRequest measures a request of a caller on an open connection, without its forwarding.
func BenchmarkCallerRequest(b *testing.B) {
	head := "POST /look/x HTTP/1.1\r\nHost: h.example\r\nX-Wardturn-Attempt-Id: 9c41d07be2a35f68\r\nX-Wardturn-Model: daka510000\r\nX-Wardturn-Token-Count: 1460,80\r\nX-Wardturn-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nX-Wardturn-Deadline-Ms: 6000\r\n"
	for _, c := range []struct {
		name    string
		request string
	}{
		{"without_body", head + "Content-Length: 0\r\n\r\n"},
		{"with_body", head + "Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000)},
		{"in_chunks", head + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n"},
	} {
		b.Run(c.name, func(b *testing.B) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			clock := process.Clock{}
			tasks := process.NewTasks(clock)
			defer tasks.Stop()
			s := newBenchServer(ln, clock, tasks, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Content-Length", "2")
				_, _ = io.WriteString(w, "ok")
			}))
			s.start()
			defer s.stop()
			conn, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			r := bufio.NewReader(conn)
			request := []byte(c.request)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(request); err != nil {
					b.Fatal(err)
				}
				if err := skipResponse(r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func newBenchServer(ln net.Listener, clock process.Clock, tasks *process.Tasks, h http.Handler) *callerServer {
	return newCallerServer(h, Deps{
		Clock:    clock,
		Logger:   hclog.NewNullLogger(),
		Metrics:  NewMetrics(tally.NoopScope),
		Listener: ln,
		Config: Config{
			MaxConnections: 1000,
			MaxHeadBytes:   32 << 20,
		},
	}, tasks)
}

// skipResponse reads a response with a body of two bytes.
func skipResponse(r *bufio.Reader) error {
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return fmt.Errorf("response: %w", err)
		}
		if len(line) == 2 {
			_, err := r.Discard(2)
			return err
		}
	}
}
