package driver_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"wardturn"
	"wardturn/driver"
)

// Guards against a response with the status 000, which the HTTP library reads as 200, so that a caller of
// the service would get it as a success.
func TestStatusesThatAreNone(t *testing.T) {
	for _, status := range []string{"000", "099", "600"} {
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
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					fmt.Fprintf(c, "HTTP/1.1 %s Status\r\nContent-Length: 2\r\n\r\nok", status)
				}
			}
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		begun := time.Now()
		res, err := driver.NewService(ln.Addr().String()).Call(ctx, wardturn.Request{
			Method: http.MethodGet,
			Path:   "/",
		})
		if err == nil {
			t.Errorf("status %s: taken for %d", status, res.Status)
		}
		if took := time.Since(begun); took > time.Second {
			t.Errorf("status %s: known after %v", status, took)
		}
	}
}
