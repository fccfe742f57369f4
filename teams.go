package wardturn

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

// KeyDigest is the SHA-256 of a caller's key. Keys are looked up by it: the time
// of a look-up tells nothing of how much of a key fits, and no key is kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// String returns the digest in hexadecimal, as configurations and logs name a key.
func (d KeyDigest) String() string {
	return hex.EncodeToString(d[:])
}

// bearerScheme is the scheme of a key in an Authorization header (RFC 6750).
const bearerScheme = "Bearer "

// BearerKey returns the key that the value of an Authorization header carries. The
// name of the scheme counts in any case.
func BearerKey(authorization string) (key string, ok bool) {
	n := len(bearerScheme)
	if len(authorization) <= n || !strings.EqualFold(authorization[:n], bearerScheme) {
		return "", false
	}
	key = strings.TrimSpace(authorization[n:])
	return key, key != ""
}

// CapUnit is what a usage cap counts.
type CapUnit uint8

const (
	// CapRequests counts each request as one.
	CapRequests CapUnit = iota
	// CapTokens counts the tokens of a request: those of its prompt and the most
	// that come out.
	CapTokens
)

// UsageCap limits what the requests of a team may use over all gateways together.
type UsageCap struct {
	Unit  CapUnit
	Rate  float64 // units a second; zero: no limit
	Burst float64 // units beyond that at once
	// RawTokens is what a request counts that does not tell its tokens.
	RawTokens float64
}

// Team is a group of callers with keys and a usage cap of its own.
type Team struct {
	ID   TeamID
	Keys []KeyDigest
	Cap  UsageCap
	// Priority goes before that of a route; nil: the route's holds.
	Priority *int
	Regions  Regions // where requests may be served
}

// Units returns what a request counts, whose header of token counts, those of the
// prompt and the most out, has a value; one without counts RawTokens.
func (c UsageCap) Units(tokenCounts string) int64 {
	if c.Unit == CapRequests {
		return 1
	}
	prompt, out, ok := strings.Cut(tokenCounts, ",")
	p, errPrompt := strconv.ParseInt(strings.TrimSpace(prompt), 10, 64)
	o, errOut := strconv.ParseInt(strings.TrimSpace(out), 10, 64)
	if !ok || errPrompt != nil || errOut != nil || p < 0 || o < 0 {
		return int64(c.RawTokens)
	}
	return p + o
}
