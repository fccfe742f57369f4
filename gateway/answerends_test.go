package gateway_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// scriptedEvents is the number of events of a whole stream of scripted upstreams.
const scriptedEvents = 6

// scriptedEvent returns event i of a stream.
func scriptedEvent(i int) string {
	return fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i)
}

// scriptedStream returns the events of a stream from one to another.
func scriptedStream(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString(scriptedEvent(i))
	}
	return b.String()
}

// ending is how a scripted upstream answers a request that continues after an event. It writes to
// the connection and reports whether that stays open.
type ending struct {
	name string
	play func(w io.Writer, head string, after int) (open bool)
	// whole is the body that a caller may get as a complete one from this answer alone; nil if
	// it is not complete. An answer to a request that resumes a stream ends it well only if it
	// brings the events that are missing.
	whole func() string
	plain bool // the body is no stream of events
}

const (
	headReceipt  = "X-Wardturn-Server-Seal: seal\r\n"
	headNotRun   = "X-Wardturn-Not-Executed: 1\r\n"
	headEvents   = "Content-Type: text/event-stream\r\n"
	headChunked  = "Transfer-Encoding: chunked\r\n"
	lastChunk    = "0\r\n\r\n"
	scriptedText = "text of the upstream"
)

func chunk(s string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
}

func wholeStream() string {
	return scriptedStream(1, scriptedEvents)
}

// fixed returns an ending with a status and a body of a stated length.
func fixed(name string, status int, headers, body string) ending {
	e := ending{
		name: name,
		play: func(w io.Writer, head string, _ int) bool {
			fmt.Fprintf(w, "HTTP/1.1 %d Status\r\n%s%sContent-Length: %d\r\n\r\n%s", status, head, headers, len(body), body)
			return true
		},
		plain: true,
	}
	if strings.Contains(headers, headReceipt) && !strings.Contains(headers, headNotRun) {
		e.whole = func() string {
			return body
		}
	}
	return e
}

// stream returns an ending that sends events in chunks and then the given bytes.
func stream(name string, events int, then string, open bool, whole func() string) ending {
	return ending{
		name: name,
		play: func(w io.Writer, head string, after int) bool {
			last := min(after+events, scriptedEvents)
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s%s%s%s\r\n", head, headReceipt, headEvents, headChunked)
			for i := after + 1; i <= last; i++ {
				fmt.Fprint(w, chunk(scriptedEvent(i)))
			}
			fmt.Fprint(w, then)
			return open
		},
		whole: whole,
	}
}

// endings are the ways in which a send may end at an upstream.
func endings() []ending {
	list := []ending{
		stream("whole", scriptedEvents, lastChunk, true, wholeStream),
		stream("cut between events", 2, "", false, nil),
		stream("cut inside an event", 2, chunk("id: 9\nda"), false, nil),
		stream("framed as complete inside an event", 2, chunk("id: 9\nda")+lastChunk, true, nil),
		stream("cut before the first event", 0, "", false, nil),
		stream("bytes that are no chunk", 2, "zz\r\n", false, nil),
		{
			name: "no answer",
			play: func(io.Writer, string, int) bool {
				return false
			},
		},
		{
			name: "bytes that are no answer",
			play: func(w io.Writer, _ string, _ int) bool {
				fmt.Fprint(w, "no answer in the protocol\r\n\r\n")
				return false
			},
		},
		{
			name: "whole without the receipt",
			play: func(w io.Writer, head string, after int) bool {
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s%s%s\r\n%s%s", head, headEvents, headChunked, chunk(scriptedStream(after+1, scriptedEvents)), lastChunk)
				return true
			},
		},
		{
			name: "whole without a length",
			play: func(w io.Writer, head string, after int) bool {
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s%s%sConnection: close\r\n\r\n%s", head, headReceipt, headEvents, scriptedStream(after+1, scriptedEvents))
				return false
			},
			whole: wholeStream,
		},
		{
			name: "without a length, ended inside an event",
			play: func(w io.Writer, head string, after int) bool {
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s%s%sConnection: close\r\n\r\n%sid: 9\nda", head, headReceipt, headEvents, scriptedStream(after+1, after+1))
				return false
			},
		},
		{
			name: "text in place of events",
			play: func(w io.Writer, head string, _ int) bool {
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", head, headReceipt, len(scriptedText), scriptedText)
				return true
			},
			whole: func() string {
				return scriptedText
			},
			plain: true,
		},
		{
			name: "the rest of another run",
			play: func(w io.Writer, head string, after int) bool {
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s%s%s%s\r\n%s%s", head, headReceipt, headEvents, headChunked, chunk(strings.ReplaceAll(scriptedStream(after+2, scriptedEvents), "event", "other")), lastChunk)
				return true
			},
			whole: func() string {
				return strings.ReplaceAll(scriptedStream(2, scriptedEvents), "event", "other")
			},
		},
		{
			name: "text that is cut",
			play: func(w io.Writer, head string, _ int) bool {
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", head, headReceipt, 2*len(scriptedText), scriptedText)
				return false
			},
			plain: true,
		},
		fixed("no content", http.StatusNoContent, headReceipt, ""),
		fixed("moved", http.StatusFound, headReceipt, scriptedText),
		fixed("an error", http.StatusInternalServerError, headReceipt, scriptedText),
		fixed("not found", http.StatusNotFound, headReceipt, scriptedText),
		fixed("another instance", http.StatusMisdirectedRequest, headNotRun, scriptedText),
	}
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusGatewayTimeout} {
		list = append(list, fixed(fmt.Sprint(status), status, headReceipt, scriptedText))
		list = append(list, fixed(fmt.Sprint(status, " not executed"), status, headReceipt+headNotRun, scriptedText))
	}
	return list
}

// Guards against an answer that looks complete though it is not, or that holds bytes of the
// gateway behind those of an upstream.
var _ = Describe("An answer of which a caller has some bytes", func() {
	var (
		x *rig
		s *script
	)
	BeforeEach(func() {
		x, s = newScriptedRig(8, tailConfig(), "/tail/x")
	})
	// play sends a request with a time limit whose sends end as given. It returns a description of
	// its answer if that is not allowed.
	play := func(list []ending, limit time.Duration) (violation string) {
		id := fmt.Sprintf("ends-%d", attempts.Add(1))
		s.plan(id, list...)
		req := x.tailRequest(GinkgoT().Context(), x.frontURL, id)
		req.Header.Set("X-Wardturn-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
		r := x.do(req)
		s.mu.Lock()
		sent := s.sent[id]
		s.mu.Unlock()
		if answerAllowed(r, sent) {
			return ""
		}
		names := make([]string, len(sent))
		for i, e := range sent {
			names[i] = e.name
		}
		return fmt.Sprintf("sends %q: status %d, %q, error %v", names, r.status, r.body, r.err)
	}

	It("ends whole or visibly broken, however the sends end", func() {
		list := endings()
		var violations []string
		for _, first := range list {
			for _, second := range list {
				if v := play([]ending{first, second}, scriptedLimit); v != "" {
					violations = append(violations, v)
				}
			}
		}
		Expect(violations).To(BeEmpty())
	})

	It("does so when the time of the request ends meanwhile", func() {
		var mu sync.Mutex
		var violations []string
		var done sync.WaitGroup
		for _, first := range endings() {
			for _, second := range silentEndings() {
				done.Go(func() {
					defer GinkgoRecover()
					v := play([]ending{first, second}, 300*time.Millisecond)
					mu.Lock()
					defer mu.Unlock()
					if v != "" {
						violations = append(violations, v)
					}
				})
			}
		}
		done.Wait()
		Expect(violations).To(BeEmpty())
	})

	It("does so for longer sequences", func() {
		rnd := rand.New(rand.NewPCG(uint64(GinkgoRandomSeed()), 78))
		list := endings()
		var violations []string
		for range 600 {
			sequence := make([]ending, 4)
			for i := range sequence {
				sequence[i] = list[rnd.IntN(len(list))]
			}
			if v := play(sequence, scriptedLimit); v != "" {
				violations = append(violations, v)
			}
		}
		Expect(violations).To(BeEmpty())
	})
})

// scriptedLimit is the time limit of requests that upstreams answer at once.
const scriptedLimit = 3 * time.Second

// silentEndings are the endings of sends that outlast the time limit of a request.
func silentEndings() []ending {
	wait := func(w io.Writer, begin string) bool {
		fmt.Fprint(w, begin)
		time.Sleep(time.Second)
		return false
	}
	return []ending{
		{
			name: "silence",
			play: func(w io.Writer, _ string, _ int) bool {
				return wait(w, "")
			},
		},
		{
			name: "silence after an event",
			play: func(w io.Writer, head string, after int) bool {
				return wait(w, "HTTP/1.1 200 OK\r\n"+head+headReceipt+headEvents+headChunked+"\r\n"+chunk(scriptedEvent(after+1)))
			},
		},
	}
}

// answerAllowed reports whether a caller may get an answer from sends that ended as given: one that
// is visibly broken after events of the stream, the whole stream, one upstream's answer as it is,
// or an error of the gateway and nothing else.
func answerAllowed(r reply, sent []ending) bool {
	switch {
	case r.err != nil:
		return strings.HasPrefix(wholeStream(), trimPartialEvent(r.body))
	case r.header.Get("X-Wardturn-Server-Seal") == "":
		return r.status >= http.StatusBadGateway
	case r.status == http.StatusOK && r.body == wholeStream():
		return r.header.Get("Content-Type") == "text/event-stream"
	}
	last := sent[len(sent)-1]
	return last.whole != nil && r.body == last.whole() && strings.Count(r.body, scriptedText) <= 1
}

// trimPartialEvent returns a stream without an incomplete last event.
func trimPartialEvent(body string) string {
	i := strings.LastIndex(body, "\n\n")
	if i < 0 {
		return ""
	}
	return body[:i+len("\n\n")]
}
