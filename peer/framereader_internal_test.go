package peer

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// Guards against values that are counted wrongly, so that a frame of many is decoded.
func TestCountValues(t *testing.T) {
	for _, c := range []struct {
		value any
		want  int
	}{
		{nil, 1},
		{1 << 40, 1},
		{-3.5, 1},
		{"text", 1},
		{string(make([]byte, 300)), 1},
		{string(make([]byte, 70000)), 1},
		{make([]byte, 10), 1},
		{make([]byte, 300), 1},
		{make([]byte, 70000), 1},
		{[]any{1, "a", nil}, 4},
		{make([]any, 100_000), 100_001},
		{map[string]int{"a": 1, "b": 2}, 5},
		{[]any{[]any{}, []any{[]byte("x")}}, 4},
	} {
		data, err := msgpack.Marshal(c.value)
		if err != nil {
			t.Fatal(err)
		}
		if got := countValues(data); got != c.want {
			t.Errorf("%T: %d values, want %d", c.value, got, c.want)
		}
		if got := countValues(data[:len(data)-1]); got > c.want {
			t.Errorf("%T, cut: %d values", c.value, got)
		}
	}
	if got := countValues(bytes.Repeat([]byte{0xc0}, 1000)); got != 1000 {
		t.Errorf("%d values, want 1000", got)
	}
}
