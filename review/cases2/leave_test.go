//go:build review

package cases2

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"wardturn/standin"
)

func init() {
	cases["leave"] = leave
}

// leave has a gateway stopped with SIGTERM after the configuration changed the idle time-out of
// clients' channels.
func leave(x *rig) bool {
	config := strings.Replace(smallConfig, `{"name":"ask"`, `{"name":"batch","host":"h","path_prefix":"/batch/","type":"streaming","timeout_ms":12000,"slo_ms":1000,"priority":0,"gap_aim_ms":400,"service":"llm","max_attempts":2,"sticky":true,"resumable":true},
{"name":"ask"`, 1)
	x.store.PutConfig(config)
	engine := x.addServer("llm", "127.0.0.11", "a", standin.ModelWorkerConfig{
		ID: "i-llm1", Model: "m0", Slots: 18, LoadTime: 30 * time.Millisecond, StreamEvents: 55, EventInterval: 190 * time.Millisecond,
	}, nil)
	engine.worker.SetFaults(standin.WorkerFaults{Slots: 64})
	app := x.addServer("app", "127.0.0.12", "a", standin.ModelWorkerConfig{ID: "i-app1"}, nil)
	app.worker.SetFaults(standin.WorkerFaults{Slots: 6, Queue: 24, Think: 15 * time.Millisecond})
	x.startKeeper("side-a-1", engine)
	g := x.startGateway("edge-a-1", "a", "127.0.0.1")
	g.awaitReady()
	time.Sleep(time.Second)

	const kept = 100 // channels opened before and after the change, each
	channels := make([]*channel, 0, 2*kept)
	open := func(n int) {
		var wg sync.WaitGroup
		for range n {
			c := newChannel(x, g.addr)
			channels = append(channels, c)
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.request("POST /book/1", 1000, "pay")
			}()
			time.Sleep(8 * time.Millisecond)
		}
		wg.Wait()
	}
	open(kept)
	if x.trouble {
		x.store.PutConfig(strings.NewReplacer(`"version":1`, `"version":2`, `"idle_timeout_ms":15000`, `"idle_timeout_ms":20000`).Replace(config))
		x.note("CONFIG version 2 acknowledged: idle_timeout_ms 15000 -> 20000")
	}
	time.Sleep(2 * time.Second)
	open(kept)
	var wg sync.WaitGroup
	// Long streams on channels of both kinds.
	for _, c := range []*channel{channels[0], channels[len(channels)-1]} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.request("POST /batch/1", 12000, "why")
		}()
	}
	time.Sleep(200 * time.Millisecond)
	app.worker.SetFaults(standin.WorkerFaults{Slots: 6, Queue: 24, Think: 100 * time.Millisecond})
	term := time.Now()
	g.signal(syscall.SIGTERM)
	// Each of the other channels is used again once, those of the two kinds by turns, at times
	// spread evenly over the last three seconds of the grace.
	const from, until = 4900 * time.Millisecond, 7900 * time.Millisecond
	for i, c := range channels[1 : len(channels)-1] {
		wg.Add(1)
		go func() {
			defer wg.Done()
			turn := 2 * i
			if i >= kept-1 {
				turn = 2*(i-kept+1) + 1
			}
			time.Sleep(time.Until(term.Add(from + time.Duration(turn)*(until-from)/(2*kept))))
			c.rested = time.Since(c.usedAt)
			c.sinceTerm = time.Since(term)
			c.request("POST /book/1", 1000, "pay")
		}()
	}
	wg.Wait()
	lost := 0
	for _, c := range channels[1 : len(channels)-1] {
		runs := app.worker.Runs(c.last)
		if c.got.err != nil && runs > 0 {
			lost++
			x.note("LOST %s sent %v after SIGTERM on a channel that had rested %v, run by its worker, channel closed: %v", c.last, c.sinceTerm.Round(time.Millisecond), c.rested.Round(time.Millisecond), c.got.err)
		}
	}
	x.note("%d requests lost", lost)
	return lost > 0
}

// channel is a client's kept channel.
type channel struct {
	x         *rig
	c         net.Conn
	br        *bufio.Reader
	n         int
	last      string
	got       answer
	usedAt    time.Time
	rested    time.Duration // before its last request
	sinceTerm time.Duration
}

var channelCount int

func newChannel(x *rig, addr string) *channel {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	must(err)
	channelCount++
	return &channel{x: x, c: c, br: bufio.NewReader(c), n: channelCount * 100}
}

// request sends a request and reads its answer.
func (c *channel) request(head string, deadlineMS int, body string) {
	c.n++
	c.last = fmt.Sprintf("k%06d", c.n)
	extra := ""
	if body == "why" {
		extra = "X-Wardturn-Model: m0\r\nX-Wardturn-Token-Count: 500,275\r\n"
	}
	_ = c.c.SetDeadline(time.Now().Add(time.Duration(deadlineMS+2000) * time.Millisecond))
	_, err := fmt.Fprintf(c.c, "%s HTTP/1.1\r\nHost: h\r\nX-Wardturn-Attempt-Id: %s\r\nX-Wardturn-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s", head, c.last, deadlineMS, extra, len(body), body)
	if err != nil {
		c.got = answer{err: err}
	} else {
		c.got = readAnswer(c.br, "POST")
	}
	c.usedAt = time.Now()
	if len(c.got.body) > 40 {
		c.got.body = fmt.Sprintf("(%d bytes)", len(c.got.body))
	}
	c.x.note("REQUEST %s %s: %v", c.last, head, c.got)
}
