package misuse

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wardturn/standin"
)

// requestLine begins an ordinary request.
const requestLine = "POST /look/x HTTP/1.1\r\nHost: h\r\nX-Wardturn-Attempt-Id: ordinary\r\nX-Wardturn-Deadline-Ms: 1400\r\n"

// attempts numbers the attempts of crowds.
var attempts atomic.Int64

// beginning returns the first lines of a request with an attempt ID of its own.
func beginning() string {
	return fmt.Sprintf("POST /look/x HTTP/1.1\r\nHost: h\r\nX-Wardturn-Attempt-Id: a%09d\r\nX-Wardturn-Deadline-Ms: 1400\r\n", attempts.Add(1))
}

// shortLines returns header lines with names of their own that fill n bytes. The names have the
// fewest bytes possible.
func shortLines(n int) []byte {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789!#$%&'*+-.^_`|~"
	var b bytes.Buffer
	for i := 0; ; i++ {
		name := ""
		for k := i; ; k /= len(letters) {
			name += string(letters[k%len(letters)])
			if k < len(letters) {
				break
			}
		}
		line := name + ": \r\n"
		if b.Len()+len(line) > n {
			return b.Bytes()
		}
		b.WriteString(line)
	}
}

// repeatedLines returns copies of a line that fill at most n bytes.
func repeatedLines(line string, n int) []byte {
	return []byte(strings.Repeat(line, n/len(line)))
}

// filledHead returns a request of the largest size allowed whose head is filled up with lines.
func filledHead(lines func(n int) []byte) []byte {
	const end = "Content-Length: 0\r\n\r\n"
	b := []byte(beginning())
	b = append(b, lines(maxHeader-len(b)-len(end))...)
	return append(b, end...)
}

// heldRequest returns an act that sends a request of its own on each connection.
func heldRequest(request func() []byte) act {
	return func(c net.Conn) {
		hold(request())(c)
	}
}

// callerMisuse are the forms of misuse by callers of a gateway.
var callerMisuse = []struct {
	name string
	act  act
}{
	{"legal_heads_of_short_lines", heldRequest(func() []byte {
		return filledHead(shortLines)
	})},
	{"legal_heads_of_one_name", heldRequest(func() []byte {
		return filledHead(func(n int) []byte { return repeatedLines("a: \r\n", n) })
	})},
	{"legal_heads_of_continuation_lines", heldRequest(func() []byte {
		return filledHead(func(n int) []byte { return append([]byte("a: b\r\n"), repeatedLines(" \n", n-6)...) })
	})},
	{"legal_heads_without_their_last_byte", heldRequest(func() []byte {
		head := filledHead(shortLines)
		return head[:len(head)-1]
	})},
	{"legal_long_targets", heldRequest(func() []byte {
		b := strings.Replace(beginning(), "/look/x", "/look/"+strings.Repeat("%41", 5000), 1)
		return []byte(b + "Content-Length: 0\r\n\r\n")
	})},
	{"heads_over_the_limit", heldRequest(func() []byte {
		return append([]byte(beginning()), shortLines(120<<10)...)
	})},
	{"heads_without_end", func(c net.Conn) {
		endless([]byte(beginning()), shortLines(16<<10))(c)
	}},
	{"a_line_without_end", func(c net.Conn) {
		endless([]byte(beginning()+"X-Long: "), bytes.Repeat([]byte("x"), 16<<10))(c)
	}},
	{"empty_lines_before_a_request", func(c net.Conn) {
		endless([]byte("\r\n"), repeatedLines("\r\n", 16<<10))(c)
	}},
	{"empty_lines_after_a_request", func(c net.Conn) {
		endless([]byte(beginning()+"Content-Length: 0\r\n\r\n"), repeatedLines("\n", 16<<10))(c)
	}},
	{"trailers_without_end", func(c net.Conn) {
		endless([]byte(beginning()+"Transfer-Encoding: chunked\r\nTrailer: a\r\n\r\n1\r\nx\r\n0\r\n"), shortLines(16<<10))(c)
	}},
	{"chunk_extensions_without_end", func(c net.Conn) {
		endless([]byte(beginning()+"Transfer-Encoding: chunked\r\n\r\n1;"), bytes.Repeat([]byte("x"), 16<<10))(c)
	}},
	{"chunks_of_one_byte", heldRequest(func() []byte {
		b := []byte(beginning() + "Transfer-Encoding: chunked\r\n\r\n")
		return append(b, repeatedLines("1\r\nx\r\n", 6*(maxBody-1))...)
	})},
	{"bodies_announced_and_never_sent", heldRequest(func() []byte {
		return []byte(beginning() + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody))
	})},
	{"bodies_without_their_last_byte", heldRequest(func() []byte {
		return append([]byte(beginning()+fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody)), bytes.Repeat([]byte("x"), maxBody-1)...)
	})},
	{"refused_requests_whose_body_is_never_sent", heldRequest(func() []byte {
		return []byte(strings.Replace(beginning(), "/look/", "/none/", 1) + "Content-Length: 1000\r\n\r\n")
	})},
	{"answers_that_are_never_read", func(c net.Conn) {
		neverRead(bytes.Repeat([]byte("GET /none/ HTTP/1.1\r\nHost: h\r\n\r\n"), 500))(c)
	}},
	{"idle_connections", func(c net.Conn) {
		hold([]byte(beginning() + "Content-Length: 0\r\n\r\n"))(c)
	}},
	{"connections_that_send_nothing", func(c net.Conn) {
		hold()(c)
	}},
}

// Guards against a gateway that callers make run out of memory or descriptors.
func TestCallers(t *testing.T) {
	for _, m := range callerMisuse {
		t.Run(m.name, func(t *testing.T) {
			x := newGatewayRig(t)
			x.slow()
			crowd(x.front, m.act)
			x.check(t)
		})
	}
}

// Guards against connections that stay under former limits when the configuration changes.
func TestCallersWhileLimitsChange(t *testing.T) {
	x := newGatewayRig(t)
	x.slow()
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for version := 2; ; version++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
				x.setLimits(version, maxHeader+version%2*(64<<10), maxBody)
			}
		}
	}()
	crowd(x.front, heldRequest(func() []byte {
		return filledHead(shortLines)
	}))
	close(stop)
	<-done
	x.check(t)
}

// lastingMisuse are the forms of misuse by callers whose connections stay while others are served.
var lastingMisuse = []struct {
	name string
	sent func() []byte
}{
	{"nothing", func() []byte {
		return nil
	}},
	{"an_empty_line", func() []byte {
		return []byte("\r\n")
	}},
	{"a_request", func() []byte {
		return []byte(beginning() + "Content-Length: 0\r\n\r\n")
	}},
	{"a_head_without_its_last_byte", func() []byte {
		return []byte(beginning() + "\r")
	}},
	{"a_body_announced", func() []byte {
		return []byte(beginning() + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody))
	}},
	{"a_body_announced_with_a_long_deadline", func() []byte {
		return []byte("POST /look/x HTTP/1.1\r\nHost: h\r\nX-Wardturn-Attempt-Id: a\r\nX-Wardturn-Deadline-Ms: 1000000\r\n" + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody))
	}},
	{"a_body_without_its_last_byte", func() []byte {
		return append([]byte(beginning()+fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody)), bytes.Repeat([]byte("x"), maxBody-1)...)
	}},
	{"a_chunk_announced", func() []byte {
		return []byte(beginning() + "Transfer-Encoding: chunked\r\n\r\n1000\r\n")
	}},
	{"a_refused_request_without_its_body", func() []byte {
		return []byte(strings.Replace(beginning(), "/look/", "/none/", 1) + "Content-Length: 1000\r\n\r\n")
	}},
	{"many_refused_requests", func() []byte {
		return bytes.Repeat([]byte("GET /none/ HTTP/1.1\r\nHost: h\r\n\r\n"), 20000)
	}},
}

// Guards against callers that keep all descriptors or all room for bodies for themselves.
func TestCallersThatStay(t *testing.T) {
	for _, m := range lastingMisuse {
		t.Run(m.name, func(t *testing.T) {
			x := newGatewayRig(t)
			stay(t, x.front, m.sent)
			x.check(t)
		})
	}
}

// Guards against long answers that are held for callers that don't read them.
func TestCallersThatReadNoLongAnswer(t *testing.T) {
	x := newGatewayRig(t)
	x.app.SetFaults(standin.WorkerFaults{
		Padding: 250 << 10,
	})
	crowd(x.front, func(c net.Conn) {
		_, _ = c.Write([]byte(beginning() + "Content-Length: 0\r\n\r\n")) // fails if it was closed at once
		time.Sleep(holdTime)
	})
	x.check(t)
}
