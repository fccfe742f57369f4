package gateway

import (
	"strings"
	"testing"
)

func TestEventBoundary(t *testing.T) {
	for _, c := range []struct {
		data string
		want streamEnd
	}{
		{"", endEmpty},
		{"id: 1\ndata: a\n\n", endBetweenEvents},
		{"id: 1\r\ndata: a\r\n\r\n", endBetweenEvents},
		{"id: 1\rdata: a\r\r", endBetweenEvents},
		{"id: 1\ndata: a\n\r\n", endBetweenEvents},
		{"id: 1\ndata: a\n\n\n", endBetweenEvents},
		{"\n", endBetweenEvents},
		{"data: a\n\n: ping\n", endBetweenEvents},
		{"data: a\n\n: ping\n\n", endBetweenEvents},
		{": ping\ndata: a\n\n", endBetweenEvents},
		{"data: a\n: ping\n\n", endBetweenEvents},
		{"id: 1\ndata: a\n", endInsideEvent},
		{"id: 1\r\ndata: a\r\n", endInsideEvent},
		{"id: 1\r\ndata: a\r\n\r", endBetweenEvents},
		{"id: 1\ndata: a", endInsideEvent},
		{"id: 1\n", endInsideEvent},
		{"i", endInsideEvent},
		{"data: a\n\ndata: b", endInsideEvent},
		{"data: a\n: ping\n", endInsideEvent},
		{"data: a\n\n: pi", endInsideEvent},
		{"data: " + strings.Repeat("x", maxEventSize+1), endInsideEvent},
	} {
		for size := 1; size <= len(c.data)+1; size += 1 + len(c.data)/40 {
			var b eventBoundary
			for _, p := range split(c.data, size) {
				b.write([]byte(p))
			}
			if got := b.end(); got != c.want {
				t.Errorf("%.40q in pieces of %d bytes: %s, want %s", c.data, size, got, c.want)
			}
		}
	}
}
