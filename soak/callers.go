package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn/platform"
	"wardturn/standin"
)

// kind is a kind of request.
type kind struct {
	path  string
	model bool // runs on an engine, with an adapter
	again bool // may run more than once
}

// names are the headers of the platform that the daemons serve on.
var names = platform.Headers()

var kinds = []kind{
	{
		path:  "/ask/x",
		model: true,
	},
	{
		path:  "/resume/x",
		model: true,
		again: true,
	},
	{
		path: "/charge/x",
	},
	{
		path:  "/look/x",
		again: true,
	},
}

// Counts are the answers of a soak.
type Counts struct {
	Done    int // whole answers
	NotRun  int // refused as not run
	Unknown int // errors that promise nothing
	Cut     int // answers that ended visibly early, and connections without one
}

// ledger holds what callers were told, to be held against what ran.
type ledger struct {
	w *world

	mu         sync.Mutex
	counts     Counts
	notRun     []string // attempts that were told so
	once       []string // attempts that may run once
	keyed      []keyedAttempt
	violations []string
}

func (l *ledger) broken(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

func (l *ledger) note(a keyedAttempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keyed = append(l.keyed, a)
}

// callers send requests until stop is closed.
func (s *soak) callers(n int) {
	for i := range n {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			r := rand.New(rand.NewPCG(s.cfg.Seed, uint64(i)))
			client := &http.Client{
				Timeout:   callerPatience,
				Transport: &http.Transport{},
			}
			defer client.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-s.stop:
					return
				case <-time.After(time.Duration(r.IntN(20)) * time.Millisecond):
				}
				g := s.gateways[r.IntN(len(s.gateways))]
				id := fmt.Sprintf("c%d-%d", i, n)
				s.call(client, g, kinds[r.IntN(len(kinds))], id, s.world.keys.draw(r), r.ExpFloat64())
			}
		}()
	}
}

const (
	callerPatience = 5 * time.Second
	deadlineMS     = "2500"
	adapterSpread  = 4 // the mean of the exponential that adapters are drawn from
)

// call sends one request with a key and holds its answer against the promises.
func (s *soak) call(client *http.Client, g *gatewayProcess, k kind, id, key string, draw float64) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+g.front+k.path, strings.NewReader(id))
	if err != nil {
		s.ledger.broken("%s: %v", id, err)
		return 0
	}
	req.Host = "h"
	req.Header.Set(names.AttemptID, id)
	req.Header.Set(names.DeadlineMS, deadlineMS)
	if k.model {
		req.Header.Set(names.Adapter, fmt.Sprintf("m0/a%d", int(draw*adapterSpread)))
	}
	req.Header.Set("Authorization", "Bearer "+key)
	began := time.Now()
	process := g.process()
	s.limits.sent(id, process)
	s.answers.note(id, process)
	s.ledger.note(keyedAttempt{
		id:   id,
		key:  key,
		sent: began,
	})
	res, err := client.Do(req)
	if err != nil {
		s.judgeCut(g, k, id, began, err)
		return 0
	}
	s.limits.passedOn(process, res.Header.Get(standin.HeaderLimit))
	s.answers.passedOn(id, res.Header)
	body, err := readBody(res.Body, draw)
	res.Body.Close()
	if err != nil {
		s.judgeCut(g, k, id, began, err)
		return 0
	}
	if key == stayKey && res.StatusCode == http.StatusUnauthorized {
		s.ledger.broken("%s: 401 for a key that every configuration holds", id)
	}
	s.judge(k, id, res, string(body))
	return res.StatusCode
}

const (
	// slowDraw is the draw from which a caller reads slowly: one in eighteen.
	slowDraw  = 2.9
	slowPause = 150 * time.Millisecond
	slowBytes = 64
)

// readBody reads an answer, for some draws a few bytes at a time.
func readBody(r io.Reader, draw float64) ([]byte, error) {
	if draw < slowDraw {
		return io.ReadAll(r)
	}
	var body []byte
	buf := make([]byte, slowBytes)
	for {
		n, err := r.Read(buf)
		body = append(body, buf[:n]...)
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
		time.Sleep(slowPause)
	}
}

func (s *soak) judge(k kind, id string, res *http.Response, body string) {
	l := s.ledger
	l.mu.Lock()
	if !k.again {
		l.once = append(l.once, id)
	}
	switch {
	case res.StatusCode == http.StatusOK:
		l.counts.Done++
	case res.StatusCode == http.StatusServiceUnavailable:
		l.counts.NotRun++
		l.notRun = append(l.notRun, id)
	default:
		l.counts.Unknown++
	}
	l.mu.Unlock()
	if res.StatusCode != http.StatusOK {
		return
	}
	if got := res.Header.Get(standin.HeaderReceipt); got != "seal-"+id {
		l.broken("%s: the answer has the receipt %q", id, got)
	}
	want := "echo:" + id
	if k.model {
		want = wholeStream()
	}
	if body != want {
		l.broken("%s: a whole answer reads %q", id, body)
	}
}

// judgeCut records an answer that did not come or ended early. That must not
// happen around a planned stop alone.
func (s *soak) judgeCut(g *gatewayProcess, k kind, id string, began time.Time, err error) {
	l := s.ledger
	l.mu.Lock()
	l.counts.Cut++
	if !k.again {
		l.once = append(l.once, id)
	}
	l.mu.Unlock()
	g.mu.Lock()
	termed := g.termed
	g.mu.Unlock()
	planned := !termed.IsZero() && time.Since(termed) < grace+time.Second
	if planned && s.calmSince(began.Add(-calmBefore)) && s.world.runs(id) > 0 {
		l.broken("%s: cut by the planned stop of %s: %v", id, g.name, err)
	}
}

func wholeStream() string {
	var b strings.Builder
	for i := 1; i <= pieces; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

// settle holds what was told against what ran in the end.
func (l *ledger) settle() {
	l.mu.Lock()
	notRun, once := l.notRun, l.once
	l.mu.Unlock()
	for _, id := range notRun {
		if n := l.w.runs(id); n > 0 {
			l.broken("%s: told that it has not run, and ran %d times", id, n)
		}
	}
	for _, id := range once {
		if n := l.w.runs(id); n > 1 {
			l.broken("%s: may run once, and ran %d times", id, n)
		}
	}
	l.settleKeys()
	for _, u := range l.w.upstreams {
		if u.worker.Fell() {
			l.broken("upstream %s was ordered to hold more than it can", u.id)
		}
	}
}
