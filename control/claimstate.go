package control

import (
	"wardturn"
)

func (s *State) applyClaims(lr wardturn.LogRecord, c *Claims) {
	for _, cl := range c.List {
		key := claimKey{
			caller: cl.Caller,
			key:    cl.Key,
		}
		have, taken := s.claims[key]
		if taken && !supersedes(cl, have.Claim) {
			continue
		}
		s.claims[key] = ClaimResult{
			Claim:    cl,
			Upstream: c.Upstream,
			Process:  c.Process,
			Offset:   lr.Offset,
			TooOld:   s.tooOld(cl),
		}
		if !taken {
			s.order = append(s.order, key)
		}
	}
	s.forgetClaims()
}

// supersedes reports whether a claim may replace the one held: it names that
// one's attempt and asks for the same.
func supersedes(cl, have Claim) bool {
	return cl.Supersedes == have.Attempt && cl.Digest == have.Digest
}

// tooOld reports whether an earlier claim of the key may have been forgotten,
// or may have been out of retention before this process read the log. A key that
// comes from the future could be claimed before its time, so it is refused too.
func (s *State) tooOld(cl Claim) bool {
	age := s.logTime.Sub(cl.Created)
	if age > ClaimWindow || age < -KeySkew {
		return true
	}
	return !s.horizon.IsZero() && cl.Created.Before(s.horizon.Add(KeySkew))
}

func (s *State) forgetClaims() {
	for len(s.order) > 0 {
		c := s.claims[s.order[0]]
		// A key is remembered for two windows: one in which it may be used, and
		// one for clocks and delays.
		if s.logTime.Sub(c.Claim.Created) <= 2*ClaimWindow {
			return
		}
		delete(s.claims, s.order[0])
		s.order = s.order[1:]
	}
}
