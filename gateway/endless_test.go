package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// typesConfig is a configuration with a route of each type to scripted upstreams.
func typesConfig() string {
	var routes strings.Builder
	for _, r := range []struct {
		name, kind, more string
	}{
		{"tail", "streaming", `"max_attempts":3,"resumable":true`},
		{"live", "streaming", `"max_attempts":3`},
		{"seek", "idempotent", `"max_attempts":3`},
		{"pay", "mutating", `"max_attempts":3`},
	} {
		fmt.Fprintf(&routes, `,{"name":%q,"host":"h.example","path_prefix":"/%s/","type":%q,"timeout_ms":4000,"slo_ms":1500,"priority":1,"service":"tail",%s}`, r.name, r.name, r.kind, r.more)
	}
	return strings.Replace(config(2, routes.String()), `"services":[`, `"services":[{"name":"tail","max_conns":200},`, 1)
}

// endlessAnswer is how an upstream sends bytes until the gateway closes the connection.
type endlessAnswer struct {
	name   string
	begin  string // %s stands for the headers of the answer
	repeat string
	// notRun: the answer says that the request was not run, so that any request goes elsewhere.
	notRun bool
	// repeatableOnly: the answer is one, so that requests that may not be repeated get it.
	repeatableOnly bool
	within         time.Duration // in which it must be known
}

const (
	// atOnce is the time for bytes that show by themselves that they are no answer.
	atOnce = 400 * time.Millisecond
	// headTime is the time for heads without end that look like one until then.
	headTime = 1500 * time.Millisecond
)

// Guards against bytes without end that are no answer, for which a caller waits until its deadline or
// by which the gateway's memory grows.
var _ = Describe("An upstream that sends bytes without end", func() {
	var (
		x       *rig
		s       *script
		sending atomic.Int64 // connections on which bytes are sent
	)
	BeforeEach(func() {
		sending.Store(0)
		// One that has failed is left alone for a while.
		x, s = newScriptedRig(24, typesConfig(), "/tail/x", "/pay/x")
	})
	// play returns the ending that sends an answer without end, slowly or as fast as it is read.
	play := func(a endlessAnswer, fast bool) ending {
		return ending{
			name: a.name,
			play: func(w io.Writer, head string, _ int) bool {
				sending.Add(1)
				defer sending.Add(-1)
				_, err := io.WriteString(w, strings.ReplaceAll(a.begin, "%s", head))
				for err == nil {
					if fast {
						_, err = io.WriteString(w, strings.Repeat(a.repeat, 1<<10))
						continue
					}
					time.Sleep(5 * time.Millisecond)
					_, err = io.WriteString(w, a.repeat)
				}
				return false
			},
		}
	}
	const padding = "pppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppppp"
	answers := []endlessAnswer{
		{name: "binary bytes", repeat: "\x00\xff\x13\x37", within: atOnce},
		{name: "text without line ends", repeat: padding, within: atOnce},
		{name: "lines of text", repeat: "a line of text\r\n", within: atOnce},
		{name: "empty lines", repeat: "\r\n", within: atOnce},
		{name: "another version of the protocol", begin: "HTTP/2.0 200 OK\r\n", repeat: "X-A: b\r\n", within: atOnce},
		{name: "a status line without end", begin: "HTTP/1.1 200 ", repeat: padding, within: headTime},
		{name: "a status without end", begin: "HTTP/1.1 ", repeat: "2", within: atOnce},
		{name: "a line without a colon", begin: "HTTP/1.1 200 OK\r\n%s", repeat: padding, within: atOnce},
		{name: "a header with control characters", begin: "HTTP/1.1 200 OK\r\n%sX-A: ", repeat: "\x01\x02", within: atOnce},
		{name: "a header without end", begin: "HTTP/1.1 200 OK\r\n%sX-A: ", repeat: padding, within: headTime},
		{name: "headers without end", begin: "HTTP/1.1 200 OK\r\n%s", repeat: "X-A: b\r\n", within: headTime},
		{name: "interim responses", repeat: "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n", within: atOnce},
		{name: "an answer to another request", begin: "HTTP/1.1 200 OK\r\nX-Wardturn-Attempt-Id: other\r\nContent-Length: 1000000000000\r\n\r\n", repeat: padding, within: headTime},
		{name: "the body of a refusal", begin: "HTTP/1.1 503 Busy\r\n%s" + headNotRun + headChunked + "\r\n", repeat: "4\r\nbusy\r\n", notRun: true, within: atOnce},
		{name: "the body of a refusal with a length", begin: "HTTP/1.1 429 Busy\r\n%s" + headNotRun + "Content-Length: 1000000000000\r\n\r\n", repeat: padding, notRun: true, within: atOnce},
		{name: "the body of another instance's answer", begin: "HTTP/1.1 421 Other\r\n%s" + headChunked + "\r\n", repeat: "4\r\nelse\r\n", notRun: true, within: atOnce},
		{name: "the body of a failure", begin: "HTTP/1.1 500 Failed\r\n%s" + headReceipt + headChunked + "\r\n", repeat: "4\r\nfail\r\n", repeatableOnly: true, within: atOnce},
		{name: "a line of a chunk", begin: "HTTP/1.1 200 OK\r\n%s" + headReceipt + headChunked + "\r\n", repeat: padding, within: headTime},
		{name: "trailers", begin: "HTTP/1.1 200 OK\r\n%s" + headReceipt + headChunked + "\r\n0\r\n", repeat: "X-A: " + padding + "\r\n", within: headTime},
	}
	for _, path := range []string{"/tail/x", "/live/x", "/seek/x", "/pay/x"} {
		repeatable := path == "/tail/x" || path == "/seek/x"
		for _, fast := range []bool{false, true} {
			It(fmt.Sprintf("is left at once, on route %s, fast: %v", path, fast), func() {
				var failed []string
				for _, a := range answers {
					if a.repeatableOnly && !repeatable {
						continue
					}
					want := http.StatusBadGateway
					if repeatable || a.notRun {
						want = http.StatusOK
					}
					id := fmt.Sprintf("endless-%d", attempts.Add(1))
					s.plan(id, play(a, fast))
					begun := time.Now()
					r := x.send("POST", id, path, "", "prompt")
					took := time.Since(begun)
					if r.status != want || r.err != nil || took > a.within {
						failed = append(failed, fmt.Sprintf("%s: %d, %v after %v; want %d within %v", a.name, r.status, r.err, took.Round(time.Millisecond), want, a.within))
					}
				}
				Expect(failed).To(BeEmpty(), strings.Join(failed, "\n"))
				Eventually(sending.Load, time.Second, pollInterval).Should(BeZero())
			})
		}
	}
})
