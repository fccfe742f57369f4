package decide

// First returns the element of a list with the highest score for a key by rendezvous
// hashing. Callers with the same list choose the same element, and when an element is
// removed only its keys move. It reports false for an empty list.
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

// FirstTwo returns the two elements of a list with the highest scores for a key, the
// highest first, or all elements of a shorter list.
func FirstTwo[T any](key string, list []T, name func(T) string) []T {
	h := hashString(key)
	var best []T
	var scores [2]uint64
	for _, x := range list {
		score := mix(h ^ hashString(name(x)))
		switch {
		case len(best) == 0 || score > scores[0]:
			best = append([]T{x}, best[:min(len(best), 1)]...)
			scores = [2]uint64{score, scores[0]}
		case len(best) == 1 || score > scores[1]:
			best = append(best[:1], x)
			scores[1] = score
		}
	}
	return best
}

// hashString returns the FNV-1a hash of s, passed through mix.
func hashString(s string) uint64 {
	const (
		offset = 14695981039346656037
		prime  = 1099511628211
	)
	h := uint64(offset)
	for i := 0; i < len(s); i++ {
		h ^= uint64(s[i])
		h *= prime
	}
	return mix(h)
}

// mix spreads every input bit over all 64 output bits. It is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
