package gateway

import (
	"strconv"
	"strings"
	"testing"
)

// feedAll feeds the pieces of a response to e and returns what the caller receives.
func feedAll(e *events, pieces ...string) (string, resumeMismatch) {
	var got strings.Builder
	for _, p := range pieces {
		data, mismatch := e.feed([]byte(p))
		got.Write(data)
		if mismatch != "" {
			return got.String(), mismatch
		}
	}
	data, mismatch := e.finish()
	got.Write(data)
	return got.String(), mismatch
}

func TestEventsOfResumedStream(t *testing.T) {
	const (
		one   = "id: 1\ndata: a\n\n"
		two   = "id: 2\ndata: b\n\n"
		three = "versions: 4\nid: 3\ndata: c\n\n"
		ping  = ": ping\n\n"
	)
	long := "id: 3\ndata: " + strings.Repeat("x", maxEventSize) + "\n\n"
	for _, c := range []struct {
		name     string
		response string
		want     string
		mismatch resumeMismatch
	}{
		{"next", three, three, ""},
		{"end of stream", "", "", ""},
		{"comment first", ping + three, ping + three, ""},
		{"repeated comment", ping + ping + three, ping + ping + three, ""},
		{"last event repeated", two + three, three, ""},
		{"from the start", one + two + three, three, ""},
		{"from the start, incomplete", one, "", ""},
		{"later event missing", three + "id: 5\ndata: e\n\n", three, mismatchMissing},
		{"back to the first", three + one, three, ""},
		{"zero", "id: 0\ndata: z\n\n" + three, "", mismatchOtherRun},
		{"negative number", "id: -1\ndata: z\n\n" + three, "", mismatchNoNumber},
		{"data only", "data: c\n\n", "", mismatchNoNumber},
		{"id only", "id: 4\n\n", "", mismatchMissing},
		{"incomplete last event with a gap", "id: 4\ndata: d", "", mismatchMissing},
		{"incomplete last event", "id: 3\ndata: c", "id: 3\ndata: c", ""},
		{"long", long, long, ""},
		{"long, with a gap", strings.Replace(long, "id: 3", "id: 4", 1), "", mismatchMissing},
	} {
		for size := 1; size <= len(c.response)+1; size += 1 + len(c.response)/40 {
			e := &events{}
			if got, mismatch := feedAll(e, ping+one+two); got != ping+one+two || mismatch != "" {
				t.Fatalf("first run: %q, %q", got, mismatch)
			}
			if !e.resume() {
				t.Fatal("not resumed")
			}
			if got, mismatch := feedAll(e, split(c.response, size)...); got != c.want || mismatch != c.mismatch {
				t.Errorf("%s, pieces of %d bytes: got %.80q, %q, want %.80q, %q", c.name, size, got, mismatch, c.want, c.mismatch)
			}
		}
	}
}

func split(s string, size int) []string {
	var list []string
	for len(s) > size {
		list = append(list, s[:size])
		s = s[size:]
	}
	return append(list, s)
}

func TestEventsThatCannotBeResumed(t *testing.T) {
	for name, response := range map[string]string{
		"last event without ID":  "id: 1\ndata: a\n\ndata: b\n\n",
		"first event without ID": "data: a\n\nid: 1\ndata: b\n\n",
		"duplicate number":       "id: 1\ndata: a\n\nid: 1\ndata: b\n\n",
		"decreasing numbers":     "id: 2\ndata: a\n\nid: 1\ndata: b\n\n",
		"long event":             "id: 1\ndata: " + strings.Repeat("x", maxEventSize) + "\n\n",
	} {
		e := &events{}
		if got, mismatch := feedAll(e, split(response, 8<<10)...); got != response || mismatch != "" {
			t.Errorf("%s: got %.80q, %q", name, got, mismatch)
		}
		if e.resume() {
			t.Errorf("%s: resumed", name)
		}
	}
}

func TestEventsBeyondChecksumLimit(t *testing.T) {
	e := &events{}
	var all strings.Builder
	for i := range maxChecksums + 2 {
		all.WriteString("id: ")
		all.WriteString(strconv.Itoa(i))
		all.WriteString("\ndata: x\n\n")
	}
	if got, mismatch := feedAll(e, all.String()); got != all.String() || mismatch != "" {
		t.Fatalf("got %d bytes, %q", len(got), mismatch)
	}
	if !e.resume() {
		t.Fatal("not resumed")
	}
	again := "id: " + strconv.Itoa(maxChecksums) + "\ndata: x\n\n"
	if got, mismatch := feedAll(e, again); got != "" || mismatch != mismatchOtherRun {
		t.Errorf("got %q, %q", got, mismatch)
	}
}
