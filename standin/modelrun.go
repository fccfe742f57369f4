package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// holdUp keeps a request from beginning for a while, and reports whether its caller
// is still there then.
func (m *ModelWorker) holdUp(r *http.Request) bool {
	m.mu.Lock()
	wait := m.faults.HoldUp
	m.held++
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.held--
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

// admit decides whether a request runs. It returns zero if it does, and the
// status of the refusal if not.
func (m *ModelWorker) admit(r *http.Request) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
	if want := r.Header.Get("X-Wardturn-Expect-Instance"); want != "" && want != m.id {
		return http.StatusMisdirectedRequest
	}
	if m.faults.Full {
		return http.StatusServiceUnavailable
	}
	_, adapter, _ := strings.Cut(r.Header.Get("X-Wardturn-Model"), "/")
	version, held := m.adapters[adapter]
	if adapter != "" && !held {
		return http.StatusMisdirectedRequest
	}
	if want := r.Header.Get("Expect-Version"); want != "" && want != strconv.FormatInt(version, 10) {
		return http.StatusMisdirectedRequest
	}
	attempt := r.Header.Get("X-Wardturn-Attempt-Id")
	m.runs[attempt]++
	m.headers[attempt] = r.Header.Clone()
	m.running[attempt]++
	return 0
}

func (m *ModelWorker) serveRequest(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	arrival := len(m.arrivals)
	m.arrivals = append(m.arrivals, Arrival{
		At:       time.Now(),
		Attempt:  r.Header.Get("X-Wardturn-Attempt-Id"),
		Lifetime: fmt.Sprintf("%s@%d", m.id, m.born),
		Leaving:  m.faults.Leaving == "1",
	})
	m.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !m.holdUp(r) {
		return
	}
	attempt := r.Header.Get("X-Wardturn-Attempt-Id")
	h := w.Header()
	h.Set("X-Wardturn-Attempt-Id", attempt)
	if status := m.admit(r); status != 0 {
		m.mu.Lock()
		h.Set("X-Wardturn-Instance-Id", m.id)
		if status == http.StatusServiceUnavailable {
			h["Retry-After"] = m.faults.RetryAfter
			m.arrivals[arrival].RetryAfter = longest(m.faults.RetryAfter)
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
		m.ended(attempt)
	}()
	select {
	case <-time.After(f.Think):
	case <-r.Context().Done():
		return
	}
	h.Set(HeaderReceipt, "seal-"+attempt)
	if f.CrashOn != "" && string(body) == f.CrashOn {
		if m.cfg.Crash != nil {
			m.cfg.Crash(r.URL.Path)
		}
		panic(http.ErrAbortHandler)
	}
	switch {
	case f.LoseAnswers:
		panic(http.ErrAbortHandler)
	case f.Stranger:
		m.answerTwice(w, attempt, m.whole(r, body))
	case f.Error:
		w.WriteHeader(http.StatusInternalServerError)
	case m.cfg.Pieces > 0:
		m.stream(w, r, f)
	default:
		_, _ = w.Write(m.whole(r, body))
	}
}

// ended takes a run of an attempt out; the lock is held.
func (m *ModelWorker) ended(attempt string) {
	m.running[attempt]--
	if m.running[attempt] == 0 {
		delete(m.running, attempt)
	}
}

// answerTwice writes an answer to another request before the right one.
func (m *ModelWorker) answerTwice(w http.ResponseWriter, attempt string, body []byte) {
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

// longest returns the longest of some texts that are plain numbers of seconds; zero: none
// is.
func longest(texts []string) (d time.Duration) {
	for _, text := range texts {
		if n, err := strconv.ParseFloat(text, 64); err == nil {
			d = max(d, time.Duration(n*float64(time.Second)))
		}
	}
	return d
}
