package wardturn

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// RequestRate is a number of requests a second.
type RequestRate float64

// ErrBadRate is returned for a text that is not a number of requests a second.
var ErrBadRate = errors.New("wardturn: not a rate of requests")

const (
	maxRateText = 24  // characters of a rate
	maxRate     = 1e6 // requests a second; a higher figure is garbled
)

// ParseRequestRate reads a plain decimal number such as 12 or 4.5. Signs, exponents and
// anything else are ErrBadRate: a garbled figure must not pass for a rate.
func ParseRequestRate(s string) (RequestRate, error) {
	s = strings.TrimSpace(s)
	plain := strings.IndexFunc(s, func(r rune) bool {
		return r != '.' && (r < '0' || r > '9')
	}) < 0
	if !plain || len(s) > maxRateText {
		return 0, errors.Wrapf(ErrBadRate, "%.40q", s)
	}
	rate, err := strconv.ParseFloat(s, 64)
	if err != nil || rate > maxRate {
		return 0, errors.Wrapf(ErrBadRate, "%.40q", s)
	}
	return RequestRate(rate), nil
}
