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
		{header: "5c1e07a2:800"},
		{header: "5c1e07a2:800,e4402b7d:250", want: []wardturn.ContentID{id("5c1e07a2")}},
		{header: "5C1E07A2:800, 91bd3f06:410,e4402b7d:250", want: []wardturn.ContentID{id("5c1e07a2"), id("91bd3f06")}},
		{header: "a1:800,a1:810,b2", want: []wardturn.ContentID{id("a1")}},
		{header: "a1,:3,,b2:1", want: []wardturn.ContentID{id("a1")}},
	} {
		if got := promptParts("llm", c.header); !slices.Equal(got, c.want) {
			t.Errorf("%q: got %v, want %v", c.header, got, c.want)
		}
	}
	var many strings.Builder
	for i := range 3 * maxPromptParts {
		fmt.Fprintf(&many, "%x:1,", i)
	}
	if got := len(promptParts("llm", many.String())); got != maxPromptParts {
		t.Errorf("%d parts of a long prompt, want %d", got, maxPromptParts)
	}
}
