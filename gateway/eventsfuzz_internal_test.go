package gateway

import (
	"bytes"
	"testing"
)

// FuzzEvents checks that a stream of events is forwarded in the same way however its bytes arrive, and
// that what is forwarded has come.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), 3, "")
	f.Add([]byte("id: 3\r\ndata: a\r\n\r\n: c\r\n\r\nid: 4\r\n"), 1, "2")
	f.Add([]byte("data\rid: 9\r\r\n\n\n\n"), 2, "8")
	f.Fuzz(func(t *testing.T, stream []byte, step int, after string) {
		if step < 1 || step > len(stream) {
			return
		}
		forward := func(step int) (out []byte, mismatch resumeMismatch) {
			var e events
			e.startAfter(after)
			for rest := stream; len(rest) > 0; rest = rest[min(step, len(rest)):] {
				data, m := e.feed(rest[:min(step, len(rest))])
				out = append(out, data...)
				if m != "" {
					return out, m
				}
			}
			data, m := e.finish()
			return append(out, data...), m
		}
		whole, mismatch := forward(len(stream))
		parts, partsMismatch := forward(step)
		if !bytes.Equal(whole, parts) || mismatch != partsMismatch {
			t.Errorf("%q after %q: %q %s at once, %q %s by %d bytes", stream, after, whole, mismatch, parts, partsMismatch, step)
		}
		if mismatch == "" && after == "" && !bytes.Equal(whole, stream) {
			t.Errorf("%q forwarded as %q", stream, whole)
		}
	})
}

// FuzzEventBoundary checks that where a stream ended does not depend on how its bytes arrived.
func FuzzEventBoundary(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"), 4)
	f.Add([]byte(": c\r\n\r\n\r"), 1)
	f.Fuzz(func(t *testing.T, stream []byte, step int) {
		if step < 1 || step > len(stream) {
			return
		}
		var whole, parts eventBoundary
		whole.write(stream)
		for rest := stream; len(rest) > 0; rest = rest[min(step, len(rest)):] {
			parts.write(rest[:min(step, len(rest))])
		}
		if whole != parts {
			t.Errorf("%q: %+v at once, %+v by %d bytes", stream, whole, parts, step)
		}
	})
}
