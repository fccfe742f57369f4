package misuse

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// The crowd of all tests: as many connections at once, each of which is opened again when it has
// ended, so often.
const (
	crowdSize   = 500
	crowdRounds = 2
	// holdTime is how long a connection is held open after its bytes have been sent.
	holdTime = 2 * time.Second
)

const dialTimeout = time.Second

// act is what one connection of a crowd does.
type act func(c net.Conn)

// hold writes the parts one after the other, and then reads until the connection is closed or the
// hold time is over.
func hold(parts ...[]byte) act {
	return func(c net.Conn) {
		_ = c.SetWriteDeadline(time.Now().Add(holdTime))
		for _, p := range parts {
			if _, err := c.Write(p); err != nil {
				break // closed, or it no longer reads
			}
		}
		_ = c.SetReadDeadline(time.Now().Add(holdTime))
		_, _ = io.Copy(io.Discard, c)
	}
}

// endless writes a part once and then another one again and again until the hold time is over.
func endless(first, repeated []byte) act {
	return func(c net.Conn) {
		_ = c.SetDeadline(time.Now().Add(holdTime))
		_, err := c.Write(first)
		for err == nil {
			_, err = c.Write(repeated)
		}
		_, _ = io.Copy(io.Discard, c)
	}
}

// neverRead writes a part again and again and reads nothing until the hold time is over.
func neverRead(repeated []byte) act {
	return func(c net.Conn) {
		end := time.Now().Add(holdTime)
		_ = c.SetWriteDeadline(end)
		var err error
		for err == nil {
			_, err = c.Write(repeated)
		}
		time.Sleep(time.Until(end))
	}
}

// crowd runs an act on many connections at once.
func crowd(addr string, a act) {
	crowdOf(crowdSize, addr, a)
}

func crowdOf(size int, addr string, a act) {
	var wg sync.WaitGroup
	for range size {
		wg.Go(func() {
			for range crowdRounds {
				c, err := net.DialTimeout("tcp", addr, dialTimeout)
				if err != nil {
					continue // no room
				}
				a(c)
				c.Close()
			}
		})
	}
	wg.Wait()
}

// requireAnswer sends an ordinary request, again if it is refused, until it is answered with
// success. An answer may take a while on a slow machine.
func requireAnswer(t *testing.T, addr string, request []byte) {
	t.Helper()
	const tries, pause, timeout = 10, time.Second, 2 * time.Second
	last := "no connection"
	for range tries {
		c, err := net.DialTimeout("tcp", addr, timeout)
		if err == nil {
			_ = c.SetDeadline(time.Now().Add(timeout))
			_, err = c.Write(request)
		}
		var res *http.Response
		if err == nil {
			res, err = http.ReadResponse(bufio.NewReader(c), nil)
		}
		if c != nil {
			c.Close()
		}
		if err == nil && res.StatusCode == http.StatusOK {
			return
		}
		if err != nil {
			last = err.Error()
		} else {
			last = res.Status
		}
		time.Sleep(pause)
	}
	t.Errorf("an ordinary request has no answer: %s", last)
}

// lastingCrowdSize is the number of connections of a crowd that stays: more than the machine has
// descriptors.
const lastingCrowdSize = 700

// stay opens many connections, writes the same bytes on each, and leaves them open until the test
// has ended. Connections that the process does not accept stay in its backlog.
func stay(t *testing.T, addr string, sent func() []byte) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	for range lastingCrowdSize {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", addr, dialTimeout)
			if err != nil {
				return
			}
			_ = c.SetWriteDeadline(time.Now().Add(holdTime))
			_, _ = c.Write(sent()) // fails if it was closed at once
			mu.Lock()
			defer mu.Unlock()
			conns = append(conns, c)
		})
	}
	wg.Wait()
	time.Sleep(holdTime) // the process accepts and reads
	t.Cleanup(func() {
		for _, c := range conns {
			c.Close()
		}
	})
}
