package process

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against heads whose end is missed or seen too early, however their bytes arrive.
func TestHeadMeterFindsTheEnd(t *testing.T) {
	for _, head := range []string{
		"GET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\n\n",
		"GET / HTTP/1.1\r\nHost: h\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n\n",
		"GET / HTTP/1.1\r\na:\n b\n\tc\nd:\n\n",
		"GET / HTTP/1.1\r\na: \r \r\n\r\n",
		"GET / HTTP/1.1\r\n" + strings.Repeat("a:\n", 1000) + "\r\n",
	} {
		const body = "\r\n\r\nbody\n\n"
		for step := 1; step <= len(head)+len(body); step++ {
			var m headMeter
			got := 0
			for rest := head + body; !m.done && len(rest) > 0; {
				n := min(step, len(rest))
				got += m.scan([]byte(rest[:n]))
				rest = rest[n:]
			}
			if !m.done || got != len(head) || m.bytes != len(head) {
				t.Fatalf("%q in steps of %d: end at %d (%d counted), want %d", head, step, got, m.bytes, len(head))
			}
			if lines := strings.Count(head, "\n"); m.lines != lines {
				t.Fatalf("%q: %d lines, want %d", head, m.lines, lines)
			}
		}
	}
}

func TestHeadMeterSkipsEmptyLines(t *testing.T) {
	var m headMeter
	for _, c := range []struct {
		data string
		want int
	}{
		{"\r\n\n\r", 4},
		{"\nGET", 1},
		{"\r\n", 0}, // not before the request any more
	} {
		if got := m.blank([]byte(c.data)); got != c.want {
			t.Errorf("%q: %d bytes skipped, want %d", c.data, got, c.want)
		}
	}
	if m.bytes != 5 {
		t.Errorf("%d bytes counted, want 5", m.bytes)
	}
}

func ExampleByteBudget() {
	b := NewByteBudget(100)
	fmt.Println(b.Reserve(60), b.Reserve(60), b.Held())
	b.Release(60)
	fmt.Println(b.Grow(0, 200)) // there is no other holder
	// Output:
	// true false 60
	// true
}
