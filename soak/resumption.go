package soak

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"wardturn/standin"
)

const resumePath = "/resume/x"

// softwareVersions are the software versions of the engines, which serve side by side. The
// first initialVersions are there from the start.
var softwareVersions = []string{"v1", "v2", "v3"}

const initialVersions = 2

// maxResumptions is how often a caller resumes a stream that is cut again.
const maxResumptions = 3

// eventOf returns event i of a stream of a software version.
func eventOf(software string, i int) string {
	return string(standin.StreamShape{
		Text: software,
	}.Event(i))
}

// isCompleteStream reports whether a body is a complete stream of one software version.
func isCompleteStream(body string) bool {
	return slices.ContainsFunc(softwareVersions, func(v string) bool {
		want := ""
		for i := 1; i <= streamEvents; i++ {
			want += eventOf(v, i)
		}
		return body == want
	})
}

// receivedEvents returns the number of complete events at the start of a body and the
// software version that began the stream, empty if there is none.
func receivedEvents(body string) (n int, software string) {
	for _, v := range softwareVersions {
		for n = 0; strings.HasPrefix(body, eventOf(v, n+1)); n++ {
			body = body[len(eventOf(v, n+1)):]
		}
		if n > 0 {
			return n, v
		}
	}
	return 0, ""
}

// resumeStream resumes a stream that was cut in an attempt, as a caller does: at any gateway,
// at once, with the attempt that brought the first event.
func (s *soak) resumeStream(client *http.Client, first streamAttempt, body string) {
	last, software := receivedEvents(body)
	for n := 0; n < maxResumptions && last > 0 && last < streamEvents; n++ {
		a := first
		a.id = fmt.Sprintf("%s-resumed-%d", first.id, n)
		a.resumes = first.id
		a.last = last
		rest, status := s.sendStream(client, s.gateways[(len(a.id)+last+n)%len(s.gateways)], a)
		if status == http.StatusOK {
			last = s.checkResumed(a.id, software, last, rest)
		}
	}
	s.requests.recordResumption(last == streamEvents)
}

// checkResumed checks that the events with which a stream goes on are of the software version
// that began the stream, and returns the number of events that the caller has then.
func (s *soak) checkResumed(id, software string, last int, rest string) int {
	begun := last
	for strings.HasPrefix(rest, eventOf(software, last+1)) {
		last++
		rest = rest[len(eventOf(software, last)):]
	}
	if _, other, complete := strings.Cut(rest, "data: "); complete && !strings.HasPrefix(other, software) && strings.Contains(other, "\n\n") {
		s.requests.addViolation("%s: a stream that %s began and that was cut after event %d goes on after event %d as %q", id, software, begun, last, rest)
	}
	return last
}

// streamAttempt is an attempt to start or resume a stream.
type streamAttempt struct {
	id       string
	key      string
	adapter  string
	resumes  string // attempt that brought the first event; empty for a new stream
	last     int    // last event that the caller has
	cutAfter int    // number of events after which the caller disconnects; zero: never
	path     string // empty: resumePath
	prompt   string // parts of the prompt; empty: not stated
}

// sendStream sends one attempt. It returns what arrived of the response, and status zero if
// there was none.
func (s *soak) sendStream(client *http.Client, g *gatewayProcess, a streamAttempt) (body string, status int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	original := cmp.Or(a.resumes, a.id)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.addr+cmp.Or(a.path, resumePath), strings.NewReader(content(original)))
	if err != nil {
		s.requests.addViolation("%s: %v", a.id, err)
		return "", 0
	}
	req.Host = "h"
	req.Header.Set(platformHeaders.AttemptID, a.id)
	req.Header.Set(platformHeaders.DeadlineMS, deadlineMS)
	req.Header.Set(platformHeaders.Adapter, a.adapter)
	req.Header.Set(platformHeaders.TokenCount, tokenCount)
	req.Header.Set("Authorization", "Bearer "+a.key)
	if a.prompt != "" {
		req.Header.Set(platformHeaders.Prompt, a.prompt)
	}
	if a.resumes != "" {
		req.Header.Set(platformHeaders.LastEventID, strconv.Itoa(a.last))
		req.Header.Set(platformHeaders.Resumes, a.resumes)
	}
	s.recordStreamSent(g.processName(), a)
	res, err := client.Do(req)
	if err != nil {
		return "", 0
	}
	defer res.Body.Close()
	buf := make([]byte, slowReadSize)
	for {
		n, err := res.Body.Read(buf)
		body += string(buf[:n]) // what arrived before the end counts
		if received, _ := receivedEvents(body); err != nil || a.cutAfter > 0 && received >= a.cutAfter {
			return body, res.StatusCode
		}
	}
}

func (s *soak) recordStreamSent(process string, a streamAttempt) {
	s.limits.recordSent(a.id, process)
	s.responses.recordSent(a.id, process)
	s.requests.recordSent(keyedAttempt{
		id:   a.id,
		key:  a.key,
		sent: time.Now(),
	})
}

// recordResumption counts a stream that its caller resumed.
func (c *requestChecker) recordResumption(completed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Resumed++
	if completed {
		c.counts.ResumedWhole++
	}
}
