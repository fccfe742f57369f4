package decide

import (
	"cmp"
	"slices"
)

// Spread chooses elements of a list by rendezvous hashing, spread over groups.
type Spread[T any] struct {
	elements []T
	hashes   []uint64 // of the elements' names
	groups   []int    // index of each element's group
	n        int      // number of groups
}

// NewSpread returns a Spread over the elements of a list.
func NewSpread[T any](list []T, name, group func(T) string) *Spread[T] {
	s := &Spread[T]{
		elements: list,
	}
	indexes := make(map[string]int)
	for _, x := range list {
		g, ok := indexes[group(x)]
		if !ok {
			g = len(indexes)
			indexes[group(x)] = g
		}
		s.hashes = append(s.hashes, hashString(name(x)))
		s.groups = append(s.groups, g)
	}
	s.n = len(indexes)
	return s
}

// Len returns the number of elements.
func (s *Spread[T]) Len() int {
	return len(s.elements)
}

// Choose returns up to n elements with the highest scores for a key, the highest first. It
// takes one element of each group before a second one of any.
func (s *Spread[T]) Choose(key string, n int) []T {
	var chosen []T
	taken := make(map[int]bool)
	for len(chosen) < min(n, len(s.elements)) {
		for _, i := range s.bestOfGroups(hashString(key), taken) {
			if len(chosen) == n {
				break
			}
			taken[i] = true
			chosen = append(chosen, s.elements[i])
		}
	}
	return chosen
}

// bestOfGroups returns the index of the element of each group with the highest score, the
// highest score first. Elements that are taken are left out.
func (s *Spread[T]) bestOfGroups(key uint64, taken map[int]bool) []int {
	best := make([]int, s.n)
	scores := make([]uint64, s.n)
	for g := range best {
		best[g] = -1
	}
	for i, h := range s.hashes {
		g, score := s.groups[i], mix(key^h)
		if (best[g] < 0 || score > scores[g]) && !taken[i] {
			best[g], scores[g] = i, score
		}
	}
	best = slices.DeleteFunc(best, func(i int) bool {
		return i < 0
	})
	slices.SortFunc(best, func(x, y int) int {
		return cmp.Compare(mix(key^s.hashes[y]), mix(key^s.hashes[x]))
	})
	return best
}
