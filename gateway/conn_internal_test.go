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

// A host that has not accepted the connection of an abandoned request yet must drop the
// request: it has to see a connection reset, not a complete request followed by the end of
// the stream.
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
	time.Sleep(10 * time.Millisecond) // stands for the time that the host is frozen
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if _, err := io.ReadAll(accepted); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read ended with %v, want a connection reset", err)
	}
}
