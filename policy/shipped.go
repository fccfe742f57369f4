package policy

import (
	_ "embed" // for the shipped programs

	"github.com/cockroachdb/errors"

	"wardturn"
)

//go:embed zurich.star
var zurichSource string

//go:embed tampere.star
var tampereSource string

// The names of the shipped programs.
const (
	NameZurich  = "zurich"
	NameTampere = "tampere"
)

// ErrUnknown is returned for a name that is no built-in policy.
var ErrUnknown = errors.New("policy: no such built-in policy")

// ShippedSource returns the text of a shipped program.
func ShippedSource(name string) (string, bool) {
	switch name {
	case NameZurich:
		return zurichSource, true
	case NameTampere:
		return tampereSource, true
	}
	return "", false
}

// Builtin returns a built-in or shipped policy by its name. The clairvoyant
// bound is not among them: it exists only inside an experiment, which knows
// the trace ahead.
func Builtin(name string) (wardturn.Policy, error) {
	switch name {
	case NameDefault, "":
		return Default{}, nil
	case NameLRU:
		return NewLRU(), nil
	case NameAffinity:
		return NewAffinity(), nil
	}
	src, ok := ShippedSource(name)
	if !ok {
		return nil, errors.Wrapf(ErrUnknown, "%q", name)
	}
	return Compile(name, src)
}
