package decide

// First returns the first of a list for a key by rendezvous hashing: whoever knows
// the same list chooses the same, and when one leaves, only its keys move. It
// reports false for an empty list.
func First[T any](key string, list []T, name func(T) string) (first T, ok bool) {
	h := hashString(key)
	best := uint64(0)
	for _, x := range list {
		score := mix(h ^ hashString(name(x)))
		if !ok || score > best {
			best = score
			first = x
			ok = true
		}
	}
	return first, ok
}

// FirstTwo returns the first two of a list for a key, in the order of First, or all
// of a shorter list.
func FirstTwo[T any](key string, list []T, name func(T) string) []T {
	h := hashString(key)
	var two []T
	var scores [2]uint64
	for _, x := range list {
		score := mix(h ^ hashString(name(x)))
		switch {
		case len(two) == 0 || score > scores[0]:
			two = append([]T{x}, two[:min(len(two), 1)]...)
			scores = [2]uint64{score, scores[0]}
		case len(two) == 1 || score > scores[1]:
			two = append(two[:1], x)
			scores[1] = score
		}
	}
	return two
}
