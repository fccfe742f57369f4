package decide_test

import (
	"fmt"
	"slices"
	"testing"

	"wardturn/decide"
)

// The two elements for a key must be the first of the list and the first of the remaining
// list, and keys must be spread evenly over the list.
func TestFirstTwo(t *testing.T) {
	var list []string
	for i := range 15 {
		list = append(list, fmt.Sprintf("10.0.0.%d:7380", i))
	}
	identity := func(s string) string { return s }
	counts := make(map[string]int)
	const keys = 1000
	for i := range keys {
		key := fmt.Sprint("key", i)
		two := decide.FirstTwo(key, list, identity)
		if len(two) != 2 {
			t.Fatalf("FirstTwo returned %d elements, want 2", len(two))
		}
		first, _ := decide.First(key, list, identity)
		rest := slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == first })
		second, _ := decide.First(key, rest, identity)
		if two[0] != first || two[1] != second {
			t.Fatalf("key %s: %v, want %s and %s", key, two, first, second)
		}
		counts[two[0]]++
		counts[two[1]]++
	}
	for _, s := range list {
		// The mean is 133; four standard deviations are 43.
		if counts[s] < 90 || counts[s] > 176 {
			t.Errorf("%s was chosen %d times of %d", s, counts[s], 2*keys)
		}
	}
	for n := range 2 {
		if got := decide.FirstTwo("k", list[:n], identity); len(got) != n {
			t.Errorf("FirstTwo of %d elements: %v", n, got)
		}
	}
}
