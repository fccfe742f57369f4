package standin

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// delayStart delays the start of a request by the fault HoldUp. It reports whether the
// caller is still connected after that.
func (m *ModelWorker) delayStart(r *http.Request) bool {
	m.mu.Lock()
	wait := m.faults.HoldUp
	m.delayed++
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.delayed--
	}()
	if wait == 0 {
		return true
	}
	select {
	case <-time.After(wait):
		return true
	case <-r.Context().Done():
		return false
	}
}

// admit decides whether a request runs. It returns zero, or the status of the refusal.
func (m *ModelWorker) admit(r *http.Request) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.completeLoads()
	if want := r.Header.Get("X-Wardturn-Expect-Instance"); want != "" && want != m.id {
		return http.StatusMisdirectedRequest
	}
	if m.faults.Full || m.faults.MaxRunning > 0 && len(m.running) >= m.faults.MaxRunning {
		return http.StatusServiceUnavailable
	}
	_, adapter, _ := strings.Cut(r.Header.Get("X-Wardturn-Model"), "/")
	version, loaded := m.adapters[adapter]
	if adapter != "" && !loaded {
		return http.StatusMisdirectedRequest
	}
	if want := r.Header.Get("Expect-Version"); want != "" && want != strconv.FormatInt(version, 10) {
		return http.StatusMisdirectedRequest
	}
	if status := m.takeSlot(r); status != 0 {
		return status
	}
	attempt := r.Header.Get("X-Wardturn-Attempt-Id")
	m.runs[attempt]++
	m.headers[attempt] = r.Header.Clone()
	m.running[attempt]++
	return 0
}

func (m *ModelWorker) serveRequest(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	arrival, lifetime := len(m.arrivals), fmt.Sprintf("%s@%d", m.id, m.startMS)
	m.arrivals = append(m.arrivals, Arrival{
		At:       time.Now(),
		Attempt:  r.Header.Get("X-Wardturn-Attempt-Id"),
		Lifetime: lifetime,
		Leaving:  m.faults.Leaving == "1",
	})
	m.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !m.delayStart(r) {
		return
	}
	attempt := r.Header.Get("X-Wardturn-Attempt-Id")
	h := w.Header()
	h.Set("X-Wardturn-Attempt-Id", attempt)
	if status := m.waitForSlot(r, lifetime); status != 0 {
		m.mu.Lock()
		h.Set("X-Wardturn-Instance-Id", m.id)
		if status == http.StatusServiceUnavailable {
			m.arrivals[arrival].Rejected = true
			h["Retry-After"] = m.faults.RetryAfter
			m.arrivals[arrival].RetryAfter = longestDelay(m.faults.RetryAfter)
		}
		m.mu.Unlock()
		h.Set("X-Wardturn-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	m.mu.Lock()
	f := m.faults
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.runEnded(attempt)
	}()
	select {
	case <-time.After(f.Think):
	case <-r.Context().Done():
		return
	}
	h.Set(HeaderSeal, "seal-"+attempt)
	if f.Unframed {
		h.Set("Transfer-Encoding", "identity")
	}
	if m.cfg.StreamEvents > 0 && hasPart(r, f.CrashOnPart) {
		_ = http.NewResponseController(w).Flush() // the head is sent
	}
	if f.CrashOn != "" && string(body) == f.CrashOn || hasPart(r, f.CrashOnPart) {
		if m.cfg.Crash != nil {
			m.cfg.Crash(r.URL.Path)
		}
		panic(http.ErrAbortHandler)
	}
	switch {
	case f.LoseAnswers:
		panic(http.ErrAbortHandler)
	case f.Stranger:
		m.respondTwice(w, attempt, m.completeResponse(r, body))
	case f.Error:
		w.WriteHeader(http.StatusInternalServerError)
	case m.cfg.StreamEvents > 0:
		m.writeStream(w, r, f)
	default:
		_, _ = w.Write(append(m.completeResponse(r, body), make([]byte, f.Padding)...))
	}
}

// hasPart reports whether the prompt of a request has one of the parts.
func hasPart(r *http.Request, parts []string) bool {
	for part := range strings.SplitSeq(r.Header.Get("X-Wardturn-Prompt-Prefix"), ",") {
		if id, _, _ := strings.Cut(part, ":"); slices.Contains(parts, id) {
			return true
		}
	}
	return false
}

// runEnded removes a run of an attempt from those in progress. The caller holds the lock.
func (m *ModelWorker) runEnded(attempt string) {
	m.running[attempt]--
	if m.running[attempt] == 0 {
		delete(m.running, attempt)
	}
}

// respondTwice writes the response to another request before the right one.
func (m *ModelWorker) respondTwice(w http.ResponseWriter, attempt string, body []byte) {
	nc, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	for _, id := range []string{"stranger", attempt} {
		fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nX-Wardturn-Attempt-Id: %s\r\nX-Wardturn-Server-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
	}
	_ = buf.Flush()
}

// longestDelay returns the longest duration among the texts that are numbers of seconds,
// or zero if there is none.
func longestDelay(texts []string) (d time.Duration) {
	for _, text := range texts {
		if n, err := strconv.ParseFloat(text, 64); err == nil {
			d = max(d, time.Duration(n*float64(time.Second)))
		}
	}
	return d
}
