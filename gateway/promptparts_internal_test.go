package gateway

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"wardturn"
)

func TestPromptParts(t *testing.T) {
	id := func(name string) wardturn.ContentID {
		return wardturn.PromptPartID("llm", name)
	}
	for _, c := range []struct {
		header string
		want   []wardturn.ContentID
	}{
		{header: ""},
		{header: ","},
		{header: "5c1e07a2:800"},
		{header: "5c1e07a2:800,e4402b7d:250", want: []wardturn.ContentID{id("5c1e07a2")}},
		{header: "5C1E07A2:800, 91bd3f06:410,e4402b7d:250", want: []wardturn.ContentID{id("5c1e07a2"), id("91bd3f06")}},
		{header: "a1:800,a1:810,b2", want: []wardturn.ContentID{id("a1")}},
		{header: "a1,:3,,b2:1", want: []wardturn.ContentID{id("a1")}},
	} {
		if got := promptParts("llm", []string{c.header}); !slices.Equal(got, c.want) {
			t.Errorf("%q: got %v, want %v", c.header, got, c.want)
		}
	}
	if got, want := promptParts("llm", []string{"a1:800,b2:1", "c3:1"}), []wardturn.ContentID{id("a1"), id("b2")}; !slices.Equal(got, want) {
		t.Errorf("two lines: got %v, want %v", got, want)
	}
}

// Guards against parts of a long prompt that are not identified, so that one that crashes
// upstreams is never refused.
func TestAllPartsOfLongPromptsAreIdentified(t *testing.T) {
	for _, n := range []int{1, 31, 32, 33, 40, 400, 4000} {
		header := longPrompt(n)
		got := promptParts("llm", []string{header})
		if len(got) != n {
			t.Fatalf("%d parts of %d identified", len(got), n)
		}
		if last := wardturn.PromptPartID("llm", fmt.Sprintf("%x", n-1)); got[n-1] != last {
			t.Errorf("part %d of %d is %s, want %s", n, n, got[n-1], last)
		}
	}
}

// longPrompt returns the header of a prompt with n parts and one of its own.
func longPrompt(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:1,", i)
	}
	return b.String() + "own:1"
}

func BenchmarkPromptParts(b *testing.B) {
	for _, n := range []int{2, 40, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			lines := []string{longPrompt(n)}
			b.ReportAllocs()
			for b.Loop() {
				promptParts("llm", lines)
			}
		})
	}
}

func TestLoggedPartsAreBounded(t *testing.T) {
	parts := promptParts("llm", []string{longPrompt(maxLoggedParts + 3)})
	if got := formatParts(parts); !strings.HasSuffix(got, ",and 3 more") || strings.Count(got, ",") != maxLoggedParts {
		t.Errorf("%d parts as %s", len(parts), got)
	}
}
