package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// script tells the scripted upstreams how to answer the sends of each attempt.
type script struct {
	mu    sync.Mutex
	plays map[string][]ending // by attempt
	sent  map[string][]ending // those that were played
}

func (s *script) next(attempt string) (ending, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.plays[attempt]
	if len(list) == 0 {
		return ending{}, false
	}
	s.plays[attempt] = list[1:]
	s.sent[attempt] = append(s.sent[attempt], list[0])
	return list[0], true
}

// serve answers the requests on a connection.
func (s *script) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		attempt := req.Header.Get("X-Wardturn-Attempt-Id")
		head := "X-Wardturn-Attempt-Id: " + attempt + "\r\n"
		after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
		e, ok := s.next(attempt)
		if !ok {
			e = stream("whole", scriptedEvents, lastChunk, true, wholeStream)
		}
		if !e.play(c, head, after) {
			return
		}
	}
}

// startScripted starts upstreams of the plain service that follow a script.
func (x *rig) startScripted(s *script, n int) {
	for i := range n {
		ln := listen(fmt.Sprintf("127.0.0.%d:0", firstEngineHost+i))
		DeferCleanup(ln.Close)
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go s.serve(c)
			}
		}()
		x.store.PutServer(fmt.Sprintf("s%d", i), fmt.Sprintf(`{"service":"tail","address":%q,"zone":"d","slots":64,"state":"ready","seq":1}`, ln.Addr()))
	}
}

// plan sets how the sends of an attempt are answered.
func (s *script) plan(attempt string, list ...ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plays[attempt] = list
}

// newScriptedRig returns a rig with n scripted upstreams and a configuration with routes to them, of
// which the given paths are served.
func newScriptedRig(n int, config string, paths ...string) (*rig, *script) {
	x := newRigOf(rigOptions{
		drain:      500 * time.Millisecond,
		domains:    []string{"d", "d"},
		retryExtra: 1e6,
	})
	s := &script{
		plays: make(map[string][]ending),
		sent:  make(map[string][]ending),
	}
	x.startScripted(s, n)
	x.store.PutConfig(config)
	for _, path := range paths {
		Eventually(func() int {
			return x.get("warm", path, "").status
		}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
	}
	return x, s
}
