package decide_test

import (
	"fmt"
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
)

var (
	originV1 = wardturn.StreamOrigin{
		Service:  "llm",
		Software: "v1",
	}
	originV2 = wardturn.StreamOrigin{
		Service:  "llm",
		Software: "v2",
	}
)

func TestStreamOrigins(t *testing.T) {
	now := time.Unix(1e9, 0)
	s := decide.NewStreamOrigins()
	check := func(attempt string, want wardturn.StreamOrigin, wantOK bool) {
		t.Helper()
		if got, ok := s.Find(now, attempt); got != want || ok != wantOK {
			t.Errorf("%s: %v, %v, want %v, %v", attempt, got, ok, want, wantOK)
		}
	}
	s.Record(now, "a", originV1, now.Add(10*time.Second))
	s.Record(now, "b", originV2, now.Add(20*time.Second))
	check("a", originV1, true)
	check("b", originV2, true)
	check("c", wardturn.StreamOrigin{}, false)

	now = now.Add(9 * time.Second)
	s.Record(now, "a", originV1, now.Add(10*time.Second)) // renewed
	now = now.Add(2 * time.Second)
	s.Record(now, "c", originV1, now.Add(time.Minute)) // drops what has expired
	check("a", originV1, true)
	check("b", originV2, true)

	now = now.Add(8 * time.Second)
	check("a", wardturn.StreamOrigin{}, false)

	s.Record(now, "c", originV2, now.Add(time.Second)) // an ID that is used twice
	check("c", wardturn.StreamOrigin{}, false)
	s.Record(now, "c", originV1, now.Add(time.Second))
	check("c", wardturn.StreamOrigin{}, false)
}

// Guards against memory that grows with the streams of a day.
func TestStreamOriginsAreBounded(t *testing.T) {
	const limit = 1 << 16
	now := time.Unix(1e9, 0)
	s := decide.NewStreamOrigins()
	for i := range limit + 10 {
		s.Record(now, fmt.Sprint(i), originV1, now.Add(time.Hour))
	}
	for i, want := range map[int]bool{
		0:          false,
		9:          false,
		10:         true,
		limit + 9:  true,
		limit + 10: false,
	} {
		if _, ok := s.Find(now, fmt.Sprint(i)); ok != want {
			t.Errorf("attempt %d: %v, want %v", i, ok, want)
		}
	}
}

func TestSoftwareHistory(t *testing.T) {
	const within = 40 * time.Second
	start := time.Unix(1e9, 0)
	var h decide.SoftwareHistory
	list := func(software ...wardturn.SoftwareVersion) map[wardturn.ServiceName][]*decide.Member {
		var members []*decide.Member
		for _, v := range software {
			members = append(members, &decide.Member{
				Member: wardturn.Member{
					Software: v,
				},
			})
		}
		return map[wardturn.ServiceName][]*decide.Member{
			"llm": members,
		}
	}
	check := func(after time.Duration, want wardturn.SoftwareVersion, wantWhole, wantOK bool) {
		t.Helper()
		v, whole, ok := h.Only(start.Add(after), "llm", within)
		if v != want || whole != wantWhole || ok != wantOK {
			t.Errorf("after %v: %q, %v, %v, want %q, %v, %v", after, v, whole, ok, want, wantWhole, wantOK)
		}
	}
	check(0, "", false, false)
	h.Observe(start, list("v1", "v1"))
	check(0, "v1", false, true)
	check(39*time.Second, "v1", false, true)
	check(40*time.Second, "v1", true, true)
	h.Observe(start.Add(50*time.Second), list("v1", "v2"))
	check(50*time.Second, "", false, false)
	h.Observe(start.Add(60*time.Second), list("v2"))
	check(60*time.Second, "", false, false)
	check(99*time.Second, "", false, false) // streams of v1 may still be resumed
	check(100*time.Second, "v2", true, true)
	h.Observe(start.Add(110*time.Second), nil)
	check(110*time.Second, "v2", true, true)
	check(150*time.Second, "", false, false)
	h.Observe(start.Add(160*time.Second), list("v2", ""))
	check(160*time.Second, "", false, false) // no version is a version of its own
	if !h.Stated("llm") || h.Stated("other") {
		t.Errorf("stated: %v, %v", h.Stated("llm"), h.Stated("other"))
	}
}

func TestSpread(t *testing.T) {
	var list []string
	for i := range 40 {
		list = append(list, fmt.Sprintf("%d-%d", i%4, i))
	}
	name := func(x string) string { return x }
	group := func(x string) string { return x[:1] }
	all := decide.NewSpread(list, name, group)
	others := decide.NewSpread(list[1:], name, group)
	moved := 0
	for i := range 1000 {
		key := fmt.Sprint(i)
		got := all.Choose(key, 6)
		if len(got) != 6 {
			t.Fatalf("%s: %v", key, got)
		}
		groups := map[string]bool{}
		for _, x := range got[:4] {
			groups[group(x)] = true
		}
		if len(groups) != 4 {
			t.Errorf("%s: %v are not of four groups", key, got)
		}
		if first, _ := decide.First(key, list, name); got[0] != first {
			t.Errorf("%s: first is %s, want %s", key, got[0], first)
		}
		if fewer := others.Choose(key, 2); fewer[0] != got[0] || fewer[1] != got[1] {
			moved++
		}
	}
	if moved > 100 { // one element of 40 is among the first two of 1 in 20
		t.Errorf("%d of 1000 keys moved with one element", moved)
	}
	if got := decide.NewSpread(list[:1], name, group).Choose("k", 2); len(got) != 1 {
		t.Errorf("of one: %v", got)
	}
	if got := decide.NewSpread(nil, name, group).Choose("k", 2); len(got) != 0 {
		t.Errorf("of none: %v", got)
	}
}

func BenchmarkSpread(b *testing.B) {
	var list []string
	for i := range 2100 {
		list = append(list, fmt.Sprintf("10.%d.0.%d:7380", i%20, i/20))
	}
	name := func(x string) string { return x }
	group := func(x string) string { return x[:5] }
	s := decide.NewSpread(list, name, group)
	for b.Loop() {
		s.Choose("9c41d07be2a35f68", 2)
	}
}

func BenchmarkStreamOriginsRecord(b *testing.B) {
	s := decide.NewStreamOrigins()
	now := time.Unix(1e9, 0)
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		s.Record(now, fmt.Sprint(i), originV1, now.Add(42*time.Second))
	}
}
