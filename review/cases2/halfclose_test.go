//go:build review

package cases2

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"

	"wardturn/standin"
)

func init() {
	cases["halfclose"] = halfClose
}

// halfClose has clients close their side of a channel after a whole request and read the answer.
func halfClose(x *rig) bool {
	x.store.PutConfig(smallConfig)
	engine := x.addServer("llm", "127.0.0.11", "a", standin.ModelWorkerConfig{
		ID:            "i-llm1",
		Model:         "m0",
		Slots:         18,
		LoadTime:      30 * time.Millisecond,
		StreamEvents:  14,
		EventInterval: 40 * time.Millisecond,
	}, nil)
	engine.worker.SetFaults(standin.WorkerFaults{Slots: 64})
	app := x.addServer("app", "127.0.0.12", "a", standin.ModelWorkerConfig{ID: "i-app1"}, nil)
	app.worker.SetFaults(standin.WorkerFaults{Slots: 6, Queue: 24, Think: 60 * time.Millisecond})
	x.startKeeper("side-a-1", engine)
	g := x.startGateway("edge-a-1", "a", "127.0.0.1")
	g.awaitReady()
	time.Sleep(time.Second)
	broken := 0
	kinds := []struct {
		name, head, body string
		after            time.Duration // from the request to the end of the client's side
	}{
		{"mutating", "POST /book/1", "pay", 0},
		{"mutating", "POST /book/1", "pay", 30 * time.Millisecond},
		{"idempotent", "GET /look/1", "", 0},
		{"idempotent", "GET /look/1", "", 30 * time.Millisecond},
		{"streaming", "POST /ask/1", "why", 0},
		{"streaming", "POST /ask/1", "why", 250 * time.Millisecond},
	}
	for i := range 24 {
		k := kinds[i%len(kinds)]
		id := fmt.Sprintf("c%04d", i)
		a := half(g.addr, id, k.head, k.body, k.after, x.trouble)
		runs := app.worker.Runs(id) + engine.worker.Runs(id)
		verdict := "ok"
		switch {
		case a.status < 200 || a.status >= 300 || !a.whole:
		case a.seal == "":
			verdict = "MIXED, a success without a seal"
			broken++
		case k.name == "streaming" && !strings.Contains(a.body, "id: 14\n"):
			verdict = "MIXED, a stream that ended early looks complete"
			broken++
		}
		x.note("REQUEST %s %s, client's side ended after %v: %v, runs %d: %s", id, k.name, k.after, a, runs, verdict)
	}
	x.note("%d answers broke the rule", broken)
	return broken > 0
}

// half sends a request and reads its answer. With trouble it ends its side of the channel a time
// after the request.
func half(addr, id, head, body string, after time.Duration, trouble bool) answer {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	must(err)
	defer c.Close()
	must(c.SetDeadline(time.Now().Add(8 * time.Second)))
	req := fmt.Sprintf("%s HTTP/1.1\r\nHost: h\r\nX-Wardturn-Attempt-Id: %s\r\n", head, id)
	if body == "why" {
		req += "X-Wardturn-Deadline-Ms: 6000\r\nX-Wardturn-Model: m0\r\nX-Wardturn-Token-Count: 500,70\r\n"
	} else {
		req += "X-Wardturn-Deadline-Ms: 1000\r\n"
	}
	if body != "" {
		req += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err = c.Write([]byte(req + "\r\n" + body))
	must(err)
	if trouble {
		time.Sleep(after)
		must(c.(*net.TCPConn).CloseWrite())
	}
	return readAnswer(bufio.NewReader(c), "POST")
}
