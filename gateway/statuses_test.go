package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against statuses that no upstream may send, such as 000, which callers get as an answer or for
// which they wait until their deadline.
var _ = Describe("An answer with a status that is none", func() {
	for _, path := range []string{"/tail/x", "/live/x", "/seek/x", "/pay/x"} {
		It("is known at once and not passed on, on route "+path, func() {
			x, s := newScriptedRig(24, typesConfig(), path)
			want := http.StatusOK
			if path == "/live/x" || path == "/pay/x" { // may run once only
				want = http.StatusBadGateway
			}
			var failed []string
			for _, status := range []string{"000", "001", "042", "099", "101", "600", "700", "999"} {
				for _, framing := range []string{headReceipt + "Content-Length: 4\r\n\r\nbody", headReceipt + headChunked + "\r\n" + chunk("body") + lastChunk, "\r\n"} {
					id := fmt.Sprintf("status-%d", attempts.Add(1))
					s.plan(id, ending{
						name: status,
						play: func(w io.Writer, head string, _ int) bool {
							_, err := io.WriteString(w, "HTTP/1.1 "+status+" Status\r\n"+head+framing)
							return err == nil
						},
					})
					begun := time.Now()
					r := x.send("POST", id, path, "", "prompt")
					took := time.Since(begun)
					if r.status != want || took > atOnce || want != http.StatusOK && r.header.Get("X-Wardturn-Server-Seal") != "" {
						failed = append(failed, fmt.Sprintf("%s: %d after %v, want %d, seal %q", status, r.status, took.Round(time.Millisecond), want, r.header.Get("X-Wardturn-Server-Seal")))
					}
				}
			}
			Expect(failed).To(BeEmpty(), strings.Join(failed, "\n"))
		})
	}
})
