package wardturn

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

// KeyDigest is the SHA-256 digest of a caller's key. Keys are looked up by digest, so that
// the time of a lookup does not reveal how much of a key matches and no key is stored.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// String returns the digest in hexadecimal, the form in configurations and logs.
func (d KeyDigest) String() string {
	return hex.EncodeToString(d[:])
}

// bearerScheme is the authentication scheme of keys in an Authorization header (RFC 6750).
const bearerScheme = "Bearer "

// BearerKey returns the key in the value of an Authorization header. The name of the
// scheme is case-insensitive.
func BearerKey(authorization string) (key string, ok bool) {
	n := len(bearerScheme)
	if len(authorization) <= n || !strings.EqualFold(authorization[:n], bearerScheme) {
		return "", false
	}
	key = strings.TrimSpace(authorization[n:])
	return key, key != ""
}

// CapUnit is the unit of a usage cap.
type CapUnit uint8

const (
	// CapRequests counts each request as one.
	CapRequests CapUnit = iota
	// CapTokens counts the tokens of a request: those of its prompt plus the maximum
	// number of output tokens.
	CapTokens
)

// UsageCap limits the usage of a team over all gateways together.
type UsageCap struct {
	Unit  CapUnit
	Rate  float64 // units per second; zero: no limit
	Burst float64 // units that may be used at once beyond the rate
	// DefaultTokens is the number of tokens charged for a request without token counts.
	DefaultTokens float64
}

// Team is a group of callers with its own keys and usage cap.
type Team struct {
	ID   TeamID
	Keys []KeyDigest
	Cap  UsageCap
	// Priority overrides that of the route; nil: the route's priority applies.
	Priority *int
	Regions  Regions // where requests may be served
}

// Units returns the units to charge for a request. The argument is the value of its header
// of token counts: the tokens of the prompt and the maximum number of output tokens. A
// request without valid counts is charged DefaultTokens.
func (c UsageCap) Units(header string) int64 {
	if c.Unit == CapRequests {
		return 1
	}
	prompt, out, ok := strings.Cut(header, ",")
	p, errPrompt := strconv.ParseInt(strings.TrimSpace(prompt), 10, 64)
	o, errOut := strconv.ParseInt(strings.TrimSpace(out), 10, 64)
	if !ok || errPrompt != nil || errOut != nil || p < 0 || o < 0 {
		return int64(c.DefaultTokens)
	}
	return p + o
}
