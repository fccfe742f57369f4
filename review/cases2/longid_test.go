//go:build review

package cases2

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wardturn/standin"
)

func init() {
	cases["longid"] = longID
}

const (
	edgeMemoryMB = 284
	sideMemoryMB = 216
)

// longIDEnds is how often processes on at least two machines must end by themselves.
const longIDEnds = 3

// longID has clients within the limits send short streams whose attempts have long IDs.
func longID(x *rig) bool {
	x.store.PutConfig(strings.Replace(smallConfig, `{"name":"ask"`, `{"name":"batch","host":"h","path_prefix":"/batch/","type":"streaming","timeout_ms":12000,"slo_ms":1000,"priority":0,"gap_aim_ms":400,"service":"llm","max_attempts":2,"sticky":true,"resumable":true},
{"name":"ask"`, 1))
	var keepers []*daemon
	for i := range 4 {
		id := fmt.Sprintf("i-llm%d", i)
		s := x.addServer("llm", fmt.Sprintf("127.0.0.%d", 11+i), "a", standin.ModelWorkerConfig{
			ID: id, Model: "m0", Slots: 18, Software: "v1", LoadTime: 30 * time.Millisecond,
		}, func(h http.Handler) http.Handler {
			return shortStreamWorker(id, h)
		})
		s.worker.SetFaults(standin.WorkerFaults{Slots: 64})
		keepers = append(keepers, x.startKeeper(fmt.Sprintf("side-a-%d", i), s))
	}
	gateways := []*front{x.startGateway("edge-a-1", "a", "127.0.0.1"), x.startGateway("edge-a-2", "a", "127.0.0.1")}
	procs := append([]*daemon(nil), keepers...)
	for _, g := range gateways {
		g.awaitReady()
		procs = append(procs, g.daemon)
	}
	time.Sleep(time.Second)

	// The platform ends a process that goes over its memory, and starts it again.
	watch := func() (machines int) {
		for _, p := range procs {
			limit := sideMemoryMB
			if strings.HasPrefix(p.name, "edge") {
				limit = edgeMemoryMB
			}
			mb := p.memoryMB()
			p.peak = max(p.peak, mb)
			if mb > limit {
				p.overs++
				x.note("MEMORY %s holds %d MB, its machine has %d MB: ended by the platform, for the %d. time", p.name, mb, limit, p.overs)
				p.signal(syscall.SIGKILL)
				<-p.exited
				p.run()
			}
			if p.overs >= longIDEnds {
				machines++
			}
		}
		return machines
	}
	const perSecond, length, clients = 500, 106 * time.Second, 50
	var sent, done, lost atomic.Int64
	var wg sync.WaitGroup
	began := time.Now()
	over := make(chan struct{})
	for i, g := range gateways {
		for c := range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				shortStreams(g.addr, i*clients+c, perSecond/clients, began.Add(length), over, x.trouble, &sent, &done, &lost)
			}()
		}
	}
	broken := false
	for n := 0; time.Since(began) < length && !broken; n++ {
		time.Sleep(250 * time.Millisecond)
		broken = watch() >= 2
		if n%40 == 39 {
			x.note("TRAFFIC %d streams sent, %d complete, %d not; memory MB %s", sent.Load(), done.Load(), lost.Load(), memories(procs))
		}
	}
	close(over)
	wg.Wait()
	x.note("TRAFFIC %d streams sent, %d complete, %d not; most memory MB %s", sent.Load(), done.Load(), lost.Load(), memories(procs))
	return broken
}

// shortStreamWorker answers streams of two events, and leaves the rest to the worker.
func shortStreamWorker(id string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/batch/") {
			h.ServeHTTP(w, r)
			return
		}
		w.Header().Set("X-Wardturn-Attempt-Id", r.Header.Get("X-Wardturn-Attempt-Id"))
		if r.Header.Get("X-Wardturn-Expect-Instance") != id {
			w.Header().Set("X-Wardturn-Instance-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set("X-Wardturn-Server-Seal", "seal")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= 2; i++ {
			fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
			w.(http.Flusher).Flush()
			time.Sleep(10 * time.Millisecond)
		}
	})
}

func memories(procs []*daemon) string {
	var b strings.Builder
	for _, p := range procs {
		fmt.Fprintf(&b, "%s %d (peak %d) ", p.name, p.memoryMB(), p.peak)
	}
	return b.String()
}

// memoryMB returns the anonymous memory that a process holds.
func (d *daemon) memoryMB() int {
	d.mu.Lock()
	pid := d.cmd.Process.Pid
	d.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// shortStreams sends streams on a kept channel, some a second.
func shortStreams(addr string, client, perSecond int, until time.Time, over <-chan struct{}, long bool, sent, done, lost *atomic.Int64) {
	var c net.Conn
	var br *bufio.Reader
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for n := 0; time.Now().Before(until); n++ {
		select {
		case <-over:
			return
		case <-tick.C:
		}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", addr, time.Second); err != nil {
				c = nil
				continue // the gateway starts again
			}
			br = bufio.NewReader(c)
		}
		id := fmt.Sprintf("%08x%08x", client, n)
		if long {
			id += strings.Repeat("f", 15900)
		}
		sent.Add(1)
		_ = c.SetDeadline(time.Now().Add(14 * time.Second))
		_, err := fmt.Fprintf(c, "POST /batch/1 HTTP/1.1\r\nHost: h\r\nX-Wardturn-Attempt-Id: %s\r\nX-Wardturn-Deadline-Ms: 12000\r\nX-Wardturn-Model: m0\r\nContent-Length: 3\r\n\r\nwhy", id)
		a := answer{err: err}
		if err == nil {
			a = readAnswer(br, "POST")
		}
		if a.err == nil && a.status == 200 && a.whole {
			done.Add(1)
			continue
		}
		lost.Add(1)
		if a.err != nil {
			c.Close()
			c = nil
		}
	}
}
