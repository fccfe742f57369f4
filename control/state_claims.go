package control

import (
	"wardturn"
)

func (s *State) applyClaims(lr wardturn.LogRecord, c *ClaimBatch) {
	for _, cl := range c.Claims {
		key := claimKey{
			caller: cl.Caller,
			key:    cl.Key,
		}
		current, claimed := s.claims[key]
		if claimed && !supersedes(cl, current.Claim) {
			continue
		}
		s.claims[key] = ClaimResult{
			Claim:    cl,
			Upstream: c.Upstream,
			Process:  c.Process,
			Offset:   lr.Offset,
			TooOld:   s.tooOld(cl),
		}
		if !claimed {
			s.claimOrder = append(s.claimOrder, key)
		}
	}
	s.expireClaims()
}

// supersedes reports whether claim cl may replace the current claim of its key: it
// names the current claim's attempt and has the same request digest.
func supersedes(cl, current Claim) bool {
	return cl.Supersedes == current.Attempt && cl.Digest == current.Digest
}

// tooOld reports whether an earlier claim of the key may have expired, or may have
// been dropped from the log before this process read it. A key with a creation time too
// far in the future is refused as well: it could have been claimed before that time, so
// the comparison with claimHorizon would not show that a claim may be missing.
func (s *State) tooOld(cl Claim) bool {
	age := s.logTime.Sub(cl.Created)
	if age > MaxKeyAge || age < -MaxKeySkew {
		return true
	}
	return !s.claimHorizon.IsZero() && cl.Created.Before(s.claimHorizon.Add(MaxKeySkew))
}

func (s *State) expireClaims() {
	for len(s.claimOrder) > 0 {
		c := s.claims[s.claimOrder[0]]
		// Claims are kept for twice MaxKeyAge: once for the time in which the
		// key may be used, and once as a margin for clock skew and delays.
		if s.logTime.Sub(c.Claim.Created) <= 2*MaxKeyAge {
			return
		}
		delete(s.claims, s.claimOrder[0])
		s.claimOrder = s.claimOrder[1:]
	}
}
