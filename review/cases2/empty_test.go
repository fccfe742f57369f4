//go:build review

package cases2

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wardturn/standin"
)

func init() {
	cases["empty"] = emptyResumption
}

const (
	garbleEvents   = 14
	garbleInterval = 15 * time.Millisecond
	garbleWorkers  = 3    // of 5, share 0.6
	garbleX        = 0.05 // of their answers
	garbleFor      = 5500 * time.Millisecond
	garblePause    = 500 * time.Millisecond
	garbleRate     = 500 // streams a second
	garbleLength   = 100 * time.Second
)

// emptyResumption has workers break a part of their answers off, which have no length then.
func emptyResumption(x *rig) bool {
	x.store.PutConfig(strings.Replace(smallConfig, `{"name":"ask"`, `{"name":"batch","host":"h","path_prefix":"/batch/","type":"streaming","timeout_ms":12000,"slo_ms":1000,"priority":0,"gap_aim_ms":400,"service":"llm","max_attempts":2,"sticky":true,"resumable":true},
{"name":"ask"`, 1))
	var garbling atomic.Bool
	var answers, spoiled atomic.Int64 // of the workers that garble, while they do
	var mu sync.Mutex
	cuts := make(map[string][]int) // by attempt: events of each answer that was broken off
	for i := range 5 {
		id := fmt.Sprintf("i-llm%d", i)
		s := x.addServer("llm", fmt.Sprintf("127.0.0.%d", 11+i), "a", standin.ModelWorkerConfig{
			ID: id, Model: "m0", Slots: 18, Software: "v1", LoadTime: 30 * time.Millisecond,
		}, func(h http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !strings.HasPrefix(r.URL.Path, "/batch/") {
					h.ServeHTTP(w, r)
					return
				}
				attempt := r.Header.Get("X-Wardturn-Attempt-Id")
				first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
				first++
				cut := 0 // event before whose end the answer is broken off; zero: none
				if i < garbleWorkers && garbling.Load() {
					n := answers.Add(1)
					// Never more than the dose, by chance either.
					if rand.Float64() < garbleX && float64(spoiled.Load()+1) <= garbleX*float64(n) {
						spoiled.Add(1)
						cut = first + rand.IntN(2)*rand.IntN(garbleEvents-first+1)
					}
				}
				if cut > 0 {
					mu.Lock()
					cuts[attempt] = append(cuts[attempt], cut)
					mu.Unlock()
				}
				streamAnswerOf(w, r, id, attempt, first, cut)
			})
		})
		s.worker.SetFaults(standin.WorkerFaults{Slots: 64})
		x.startKeeper(fmt.Sprintf("side-a-%d", i), s)
	}
	g := x.startGateway("edge-a-1", "a", "127.0.0.1")
	g.awaitReady()
	time.Sleep(time.Second)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for x.trouble {
			garbling.Store(true)
			time.Sleep(garbleFor)
			garbling.Store(false)
			select {
			case <-time.After(garblePause):
			case <-stop:
				return
			}
		}
	}()
	var sent, whole, visible, broken atomic.Int64
	var wg sync.WaitGroup
	const clients = 100
	until := time.Now().Add(garbleLength)
	for c := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			tick := time.NewTicker(time.Second * clients / garbleRate)
			defer tick.Stop()
			var conn net.Conn
			var br *bufio.Reader
			for n := 0; time.Now().Before(until); n++ {
				<-tick.C
				if conn == nil {
					var err error
					if conn, err = net.DialTimeout("tcp", g.addr, time.Second); err != nil {
						conn = nil
						continue
					}
					br = bufio.NewReader(conn)
				}
				id := fmt.Sprintf("s%03d%06d", c, n)
				sent.Add(1)
				_ = conn.SetDeadline(time.Now().Add(14 * time.Second))
				_, _ = fmt.Fprintf(conn, "POST /batch/1 HTTP/1.1\r\nHost: h\r\nX-Wardturn-Attempt-Id: %s\r\nX-Wardturn-Deadline-Ms: 12000\r\nX-Wardturn-Model: m0\r\nContent-Length: 3\r\n\r\nwhy", id)
				a := readAnswer(br, "POST")
				last := 0
				for line := range strings.Lines(a.body) {
					if rest, ok := strings.CutPrefix(line, "id: "); ok {
						last, _ = strconv.Atoi(strings.TrimSpace(rest))
					}
				}
				mu.Lock()
				broke := cuts[id]
				mu.Unlock()
				switch {
				case a.err != nil:
					visible.Add(1)
					conn.Close()
					conn = nil
				case a.status == http.StatusOK && last == garbleEvents:
					whole.Add(1)
				case a.status == http.StatusOK:
					broken.Add(1)
					x.note("ORDER %s ends as complete after event %d of %d; its answers were broken off inside or before events %v", id, last, garbleEvents, broke)
				}
			}
		}()
	}
	wg.Wait()
	x.note("%d streams sent, %d whole, %d visibly broken off, %d end as complete before their last piece; %d of %d answers of the garbling workers broken off", sent.Load(), whole.Load(), visible.Load(), broken.Load(), spoiled.Load(), answers.Load())
	return broken.Load() > 0
}

// streamAnswerOf answers with the events from the first one on. With a cut the answer has neither length
// nor chunks, and its channel ends before that event if it is the first, and else within it.
func streamAnswerOf(w http.ResponseWriter, r *http.Request, id, attempt string, first, cut int) {
	head := w.Header()
	head.Set("X-Wardturn-Attempt-Id", attempt)
	if r.Header.Get("X-Wardturn-Expect-Instance") != id {
		head.Set("X-Wardturn-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	event := func(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i) }
	if cut == 0 {
		head.Set("X-Wardturn-Server-Seal", "seal-"+attempt)
		head.Set("Content-Type", "text/event-stream")
		for i := first; i <= garbleEvents; i++ {
			_, _ = w.Write([]byte(event(i)))
			w.(http.Flusher).Flush()
			time.Sleep(garbleInterval)
		}
		return
	}
	c, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Wardturn-Attempt-Id: %s\r\nX-Wardturn-Server-Seal: seal-%s\r\nConnection: close\r\n\r\n", attempt, attempt)
	_ = buf.Flush()
	for i := first; i < cut; i++ {
		_, _ = buf.WriteString(event(i))
		_ = buf.Flush()
		time.Sleep(garbleInterval)
	}
	if cut > first {
		_, _ = buf.WriteString(event(cut)[:10])
		_ = buf.Flush()
	}
}
