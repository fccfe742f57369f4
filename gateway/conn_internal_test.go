package gateway

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn/process"
)

// A request that nobody waits for is dropped with its connection by a host that has not
// taken it yet: it meets a reset there, not the end of a whole request.
func TestAbort(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := newPool(process.Clock{}).get(context.Background(), ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte("GET / HTTP/1.1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	c.abort()
	time.Sleep(10 * time.Millisecond) // the host is frozen meanwhile
	taken, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	if _, err := io.ReadAll(taken); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read ends with %v", err)
	}
}
