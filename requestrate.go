package wardturn

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// RequestRate is a number of requests per second.
type RequestRate float64

// ErrBadRate is returned by ParseRequestRate for a malformed rate.
var ErrBadRate = errors.New("wardturn: malformed request rate")

const (
	maxRateLength = 24  // maximum length of a rate, in bytes
	maxRate       = 1e6 // requests per second; a higher value is taken to be corrupted
)

// ParseRequestRate parses a plain decimal number such as 12 or 4.5. It returns ErrBadRate
// for signs, exponents and anything else, so that a corrupted value is not used as a rate.
func ParseRequestRate(s string) (RequestRate, error) {
	s = strings.TrimSpace(s)
	valid := strings.IndexFunc(s, func(r rune) bool {
		return r != '.' && (r < '0' || r > '9')
	}) < 0
	if !valid || len(s) > maxRateLength {
		return 0, errors.Wrapf(ErrBadRate, "%.40q", s)
	}
	rate, err := strconv.ParseFloat(s, 64)
	if err != nil || rate > maxRate {
		return 0, errors.Wrapf(ErrBadRate, "%.40q", s)
	}
	return RequestRate(rate), nil
}
