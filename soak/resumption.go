package soak

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"wardturn/standin"
)

const resumePath = "/resume/x"

// softwareVersions are the software versions of the engines, which serve side by side.
var softwareVersions = []string{"v1", "v2"}

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
// at once, with the attempt that brought the first event. It checks that all events are of the
// software version that began the stream.
func (s *soak) resumeStream(client *http.Client, attempt, key, body string) {
	last, software := receivedEvents(body)
	for n := 0; n < maxResumptions && last > 0 && last < streamEvents; n++ {
		id := fmt.Sprintf("%s-resumed-%d", attempt, n)
		g := s.gateways[(len(id)+last+n)%len(s.gateways)]
		rest, status := s.sendResumption(client, g, id, attempt, key, last)
		if status != http.StatusOK {
			continue
		}
		for strings.HasPrefix(rest, eventOf(software, last+1)) {
			last++
			rest = rest[len(eventOf(software, last)):]
		}
		if _, other, complete := strings.Cut(rest, "data: "); complete && !strings.HasPrefix(other, software) && strings.Contains(other, "\n\n") {
			s.requests.addViolation("%s: a stream that %s began goes on after event %d as %q", id, software, last, rest)
			return
		}
	}
	s.requests.recordResumption(last == streamEvents)
}

// sendResumption sends one attempt to resume a stream after an event. It returns what arrived
// of the response, and status zero if there was none.
func (s *soak) sendResumption(client *http.Client, g *gatewayProcess, id, attempt, key string, last int) (body string, status int) {
	req, err := http.NewRequest(http.MethodPost, "http://"+g.addr+resumePath, strings.NewReader(content(attempt)))
	if err != nil {
		s.requests.addViolation("%s: %v", id, err)
		return "", 0
	}
	req.Host = "h"
	req.Header.Set(platformHeaders.AttemptID, id)
	req.Header.Set(platformHeaders.DeadlineMS, deadlineMS)
	req.Header.Set(platformHeaders.Adapter, "m0/a0")
	req.Header.Set(platformHeaders.TokenCount, tokenCount)
	req.Header.Set(platformHeaders.LastEventID, strconv.Itoa(last))
	req.Header.Set(platformHeaders.Resumes, attempt)
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := client.Do(req)
	if err != nil {
		return "", 0
	}
	defer res.Body.Close()
	data, _ := io.ReadAll(res.Body) // what arrived before the end counts
	return string(data), res.StatusCode
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
