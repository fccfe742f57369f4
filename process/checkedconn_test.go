package process_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wardturn/process"
)

// answerWith serves connections on which each request gets the same bytes, and returns their address.
func answerWith(t *testing.T, answer string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ln.Close()
	})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					if _, err := io.WriteString(c, answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against bytes that fasthttp takes for a response though they are none: it reads the status 000
// as 200.
func TestCheckedConn(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\nok"
	for _, c := range []struct {
		answer string
		status int // zero: no response
	}{
		{answer: "HTTP/1.1 200 OK\r\n" + body, status: 200},
		{answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 404 Not Found\r\n" + body, status: 404},
		{answer: "HTTP/1.1 599 Last\r\n" + body, status: 599},
		{answer: "HTTP/1.1 000 OK\r\n" + body},
		{answer: "HTTP/1.1 099 OK\r\n" + body},
		{answer: "HTTP/1.1 600 OK\r\n" + body},
		{answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n" + body},
		{answer: "\x00\x01\x02"},
		{answer: "no answer, and no line end"},
	} {
		client := fasthttp.Client{
			Dial: process.CheckResponses(fasthttp.Dial),
		}
		addr := answerWith(t, c.answer)
		for range 2 { // the second request is on the same connection
			req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI("http://" + addr + "/")
			begun := time.Now()
			err := client.DoTimeout(req, res, 5*time.Second)
			switch {
			case c.status == 0 && err == nil:
				t.Errorf("%q: taken for %d", c.answer, res.StatusCode())
			case c.status != 0 && (err != nil || res.StatusCode() != c.status || string(res.Body()) != "ok"):
				t.Errorf("%q: %d %q, %v", c.answer, res.StatusCode(), res.Body(), err)
			}
			if took := time.Since(begun); took > time.Second {
				t.Errorf("%q: known after %v", c.answer, took)
			}
		}
	}
}
