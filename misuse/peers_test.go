package misuse

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"wardturn"
	"wardturn/peer"
)

var peers atomic.Int64

// hello returns the first frame of a peer that claims to be a gateway or an entry.
func hello(t *testing.T) []byte {
	return frame(t, &peer.Hello{
		Protocol: peer.Protocol,
		Role:     peer.RoleEntry,
		Process:  wardturn.Incarnation(fmt.Sprintf("p%d", peers.Add(1))),
	})
}

func frame(t *testing.T, m peer.Message) []byte {
	b, err := peer.AppendFrame(nil, m)
	if err != nil {
		t.Error(err)
	}
	return b
}

// rawFrame returns a frame of any kind and body.
func rawFrame(kind peer.Kind, body []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(body)+1))
	b = append(b, byte(kind))
	return append(b, body...)
}

// manyElements returns the body of a message whose first field is a list of as many elements as
// a frame holds, each of them absent.
func manyElements() []byte {
	const overhead = 16
	n := peer.MaxFrame - overhead
	b := []byte{0x91, 0xdd} // an array of one field, which is an array with a length of four bytes
	b = binary.BigEndian.AppendUint32(b, uint32(n))
	return append(b, bytes.Repeat([]byte{0xc0}, n)...) // nil
}

// checkPeers misuses a listener for peers in each form. check is called after each.
func checkPeers(t *testing.T, newRig func(t *testing.T) (addr string, check func(t *testing.T))) {
	whole := rawFrame(peer.KindSubscribe, make([]byte, peer.MaxFrame-1))
	unfinished := whole[:len(whole)-1]
	elements := rawFrame(peer.KindLimitGossip, manyElements())
	for _, m := range []struct {
		name string
		act  func(t *testing.T) act
	}{
		{"first_frames_that_do_not_end", func(*testing.T) act {
			return hold(unfinished)
		}},
		{"first_frames_that_are_large", func(*testing.T) act {
			return hold(whole)
		}},
		{"frames_that_do_not_end", func(t *testing.T) act {
			return func(c net.Conn) {
				hold(hello(t), unfinished)(c)
			}
		}},
		{"frames_of_many_elements", func(t *testing.T) act {
			return func(c net.Conn) {
				hold(hello(t), elements)(c)
			}
		}},
		{"pings_whose_answers_are_never_read", func(t *testing.T) act {
			pings := bytes.Repeat(frame(t, &peer.Ping{}), 1000)
			return func(c net.Conn) {
				if _, err := c.Write(hello(t)); err == nil {
					neverRead(pings)(c)
				}
			}
		}},
		{"requests_for_http", func(*testing.T) act {
			return hold([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		}},
	} {
		t.Run(m.name, func(t *testing.T) {
			addr, check := newRig(t)
			crowd(addr, m.act(t))
			check(t)
		})
	}
	for _, m := range []struct {
		name string
		sent func(t *testing.T) []byte
	}{
		{"silent_connections_that_stay", func(*testing.T) []byte {
			return nil
		}},
		{"peers_that_stay", hello},
	} {
		t.Run(m.name, func(t *testing.T) {
			addr, check := newRig(t)
			stay(t, addr, func() []byte {
				return m.sent(t)
			})
			check(t)
		})
	}
}

// Guards against a keeper that connections to it make run out of memory or descriptors.
func TestKeeperPeers(t *testing.T) {
	checkPeers(t, func(t *testing.T) (string, func(t *testing.T)) {
		x := newGatewayRig(t)
		return x.keeperAddr, x.checkEngine
	})
}

// checkEngine checks both processes and requires an answer of the engine, for which the keeper and
// its connection to the gateway are needed.
func (x *gatewayRig) checkEngine(t *testing.T) {
	t.Helper()
	requireAnswer(t, x.front, []byte("POST /ask/x HTTP/1.1\r\nHost: h\r\nX-Wardturn-Attempt-Id: engine\r\nX-Wardturn-Model: m0/new\r\nX-Wardturn-Deadline-Ms: 2900\r\nContent-Length: 6\r\n\r\nprompt"))
	x.check(t)
}
