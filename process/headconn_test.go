package process_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"wardturn/process"
)

// scriptedConn is a connection whose bytes arrive in parts of random sizes.
type scriptedConn struct {
	net.Conn
	r    *bytes.Reader
	rand *rand.Rand
	most int
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	return c.r.Read(p[:min(len(p), 1+c.rand.IntN(c.most))])
}

func (c *scriptedConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }
func (c *scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

// Guards against bytes of a request that are lost or taken for those of another one, however requests
// follow one another and arrive.
func TestHeadConnKeepsRequestsApart(t *testing.T) {
	for seed := range uint64(5000) {
		r := rand.New(rand.NewPCG(seed, 1))
		var sent bytes.Buffer
		var bodies []string
		late := r.IntN(2) == 0
		chunked := late
		for i := range 1 + r.IntN(8) {
			if i == 0 || !chunked { // else the server may have read them with the body
				sent.WriteString(strings.Repeat("\r\n", r.IntN(3)))
			}
			body := strings.Repeat("\r\n\nb", r.IntN(300))
			bodies = append(bodies, body)
			fmt.Fprintf(&sent, "POST /%d HTTP/1.1\r\nHost: h\r\n%s", i, strings.Repeat("a:\n", r.IntN(500)))
			if r.IntN(4) == 0 {
				chunked = true
				fmt.Fprintf(&sent, "Transfer-Encoding: chunked\r\n\r\n")
				if body != "" {
					fmt.Fprintf(&sent, "%x\r\n%s\r\n", len(body), body)
				}
				sent.WriteString("0\r\n\r\n")
			} else {
				fmt.Fprintf(&sent, "Content-Length: %d\r\n\r\n%s", len(body), body)
			}
		}
		limit := process.NewHeadLimit(64<<10, 0, time.Second, hclog.NewNullLogger(), tally.NoopScope)
		c := limit.Conn(&scriptedConn{
			r:    bytes.NewReader(sent.Bytes()),
			rand: r,
			most: 1 + r.IntN(5000),
		})
		br := bufio.NewReaderSize(c, 16+r.IntN(4096))
		for i, want := range bodies {
			req, err := http.ReadRequest(br)
			if err != nil {
				t.Fatalf("seed %d: request %d: %v", seed, i, err)
			}
			if !late {
				c.BeginBody(req.ContentLength)
			}
			got, err := io.ReadAll(req.Body)
			if late { // as by a server that reads the body before it calls a handler
				c.BeginBody(req.ContentLength)
			}
			if err != nil || string(got) != want || req.URL.Path != fmt.Sprintf("/%d", i) {
				t.Fatalf("seed %d: request %d: %s with %d bytes of %d, %v", seed, i, req.URL.Path, len(got), len(want), err)
			}
			c.ExpectHead()
		}
	}
}
