package decide_test

import (
	"fmt"
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
)

// BenchmarkLimits measures the cost of limits by the number of gateways, with 50 limited
// upstreams: the check before a send to an upstream with a limit, the same for an upstream
// without one, and the receipt of a message from another gateway.
func BenchmarkLimits(b *testing.B) {
	for _, n := range []int{4, 26, 107, 470} {
		l, messages := knownLimits(n)
		now := start.Add(time.Second)
		b.Run(fmt.Sprintf("limited/gateways=%d", n), func(b *testing.B) {
			for i := range b.N {
				l.Allows(now.Add(time.Duration(i)*time.Millisecond), "u7")
			}
		})
		b.Run(fmt.Sprintf("unlimited/gateways=%d", n), func(b *testing.B) {
			for range b.N {
				l.Allows(now, "other")
			}
		})
		b.Run(fmt.Sprintf("word/gateways=%d", n), func(b *testing.B) {
			for i := range b.N {
				msg := messages[i%len(messages)]
				msg.Seq = uint64(i + 2)
				l.Receive(now.Add(time.Duration(i)*time.Millisecond), msg)
			}
		})
	}
}

// knownLimits returns the limits of 50 upstreams after messages from all of n gateways, and
// the latest messages of the others.
func knownLimits(n int) (l *decide.Limits, messages []decide.LimitGossip) {
	l = decide.NewLimits(start, "p0")
	l.SetGateways(start, n)
	for i := range 50 {
		l.Observe(start, wardturn.UpstreamID(fmt.Sprint("u", i)), 5)
	}
	for i := 1; i < n; i++ {
		other := decide.NewLimits(start, wardturn.Incarnation(fmt.Sprint("p", i)))
		other.Observe(start, wardturn.UpstreamID(fmt.Sprint("u", i%50)), 5)
		msg, _, _ := other.Gossip(start)
		l.Receive(start, msg)
		messages = append(messages, msg)
	}
	return l, messages
}
