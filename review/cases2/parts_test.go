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
	"time"

	"wardturn/standin"
)

func init() {
	cases["parts"] = manyParts
}

const (
	promptParts = 40 // of each prompt, the last one its own
	badPart     = "badbad01"
	badPosition = 36 // of the part that crashes workers, from 1
	workerBack  = 2 * time.Second
	touch       = 3 * time.Second // contact_ms
)

// crashing is an engine that a part of a prompt may crash.
type crashing struct {
	*server
	x    *rig
	http *http.Server
	n    int
	down bool
}

// listen serves the engine at its address.
func (c *crashing) listen(addr string) string {
	var ln net.Listener
	for range 50 {
		var err error
		if ln, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if ln == nil {
		c.x.note("SERVER no listener at %s: it stays away", addr)
		return addr
	}
	c.http = &http.Server{Handler: c.worker}
	go func(s *http.Server) { _ = s.Serve(ln) }(c.http)
	return ln.Addr().String()
}

// crash ends the worker. It is back after some seconds, under another id.
func (c *crashing) crash() {
	c.mu.Lock()
	if c.down {
		c.mu.Unlock()
		return
	}
	c.down, c.silent = true, true
	old, server := c.id, c.http
	c.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(workerBack, func() {
		c.mu.Lock()
		c.n++
		c.id = fmt.Sprintf("%s-%d", strings.SplitN(old, "-x", 2)[0]+"-x", c.n)
		c.worker.Restart(c.id)
		c.listen(c.addr)
		c.down, c.silent = false, false
		c.mu.Unlock()
		c.x.note("SERVER %s is back as %s", old, c.id)
		c.beat()
	})
	time.AfterFunc(3600*time.Millisecond, func() { c.x.store.DeleteServer(old) }) // three heartbeats
}

// manyParts has prompts of many parts, one of which crashes each worker that begins to answer.
func manyParts(x *rig) bool {
	position := badPosition
	if p, err := strconv.Atoi(os.Getenv("POSITION")); err == nil {
		position = p
	}
	x.store.PutConfig(smallConfig)
	var mu sync.Mutex
	var crashes []time.Time
	var engines []*crashing
	for i := range 8 {
		c := &crashing{x: x}
		host := fmt.Sprintf("127.0.0.%d", 11+i)
		cfg := standin.ModelWorkerConfig{
			ID: fmt.Sprintf("i-llm%d", i), Model: "m0", Slots: 18, LoadTime: 30 * time.Millisecond, StreamEvents: 6, EventInterval: 20 * time.Millisecond,
			Crash: func(string) {
				mu.Lock()
				crashes = append(crashes, time.Now())
				n := len(crashes)
				mu.Unlock()
				x.note("SERVER i-llm%d ends, crash %d", i, n)
				go c.crash()
			},
		}
		c.server = &server{x: x, worker: standin.NewModelWorker(cfg), id: cfg.ID, service: "llm", zone: "a", state: "ready"}
		faults := standin.WorkerFaults{Slots: 64, Think: 20 * time.Millisecond}
		if x.trouble {
			faults.CrashOnPart = []string{badPart}
		}
		c.worker.SetFaults(faults)
		c.addr = c.listen(host + ":0")
		x.mu.Lock()
		x.servers = append(x.servers, c.server)
		x.mu.Unlock()
		c.beat()
		engines = append(engines, c)
		x.startKeeper(fmt.Sprintf("side-a-%d", i), c.server)
	}
	g := x.startGateway("edge-a-1", "a", "127.0.0.1")
	g.awaitReady()
	time.Sleep(time.Second)

	var wg sync.WaitGroup
	sentAt := make(map[string]time.Time)
	answers := make(map[int]int)
	send := func(id, prompt string) {
		defer wg.Done()
		c, err := net.DialTimeout("tcp", g.addr, time.Second)
		if err != nil {
			return
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(8 * time.Second))
		_, _ = fmt.Fprintf(c, "POST /ask/1 HTTP/1.1\r\nHost: h\r\nX-Wardturn-Attempt-Id: %s\r\nX-Wardturn-Deadline-Ms: 6000\r\nX-Wardturn-Model: m0\r\nX-Wardturn-Prompt-Prefix: %s\r\nContent-Length: %d\r\n\r\n%s", id, prompt, len(id), id)
		a := readAnswer(bufio.NewReader(c), "POST")
		if strings.HasPrefix(id, "bad") {
			x.note("REQUEST %s: status %d, whole %v, %v", id, a.status, a.whole, a.err)
			return
		}
		mu.Lock()
		answers[a.status]++
		mu.Unlock()
	}
	// Sound requests share all parts but the bad one and their last one.
	prompt := func(id string, bad bool) string {
		var parts []string
		for i := 1; i < promptParts; i++ {
			name := fmt.Sprintf("%08x", 0x5c1e0000+i)
			if bad && i == position {
				name = badPart
			}
			parts = append(parts, name+":50")
		}
		return strings.Join(append(parts, fmt.Sprintf("%x:50", id)), ",")
	}
	began := time.Now()
	for n := 0; time.Since(began) < 40*time.Second; n++ {
		wg.Add(1)
		go send(fmt.Sprintf("ok%05d", n), prompt(fmt.Sprintf("ok%05d", n), false))
		if n%20 == 10 { // one a second
			id := fmt.Sprintf("bad%04d", n/20)
			sentAt[id] = time.Now()
			wg.Add(1)
			go send(id, prompt(id, true))
		}
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	late := 0
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) >= 5 {
		from := crashes[4].Add(touch)
		for id, at := range sentAt {
			for _, e := range engines {
				if at.After(from) && e.worker.Runs(id) > 0 {
					late++
					x.note("REACHED %s, sent %v after the fifth crash, reached %s", id, at.Sub(crashes[4]).Round(time.Millisecond), e.addr)
				}
			}
		}
	}
	x.note("%d crashes; answers to sound requests by status: %v; %d requests with the part reached workers later than %v after the fifth crash (3 are borne)", len(crashes), answers, late, touch)
	return late > 3
}
