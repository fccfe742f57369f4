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
