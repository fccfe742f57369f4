package policy

import (
	_ "embed" // for the source of the shipped programs

	"github.com/cockroachdb/errors"

	"wardturn"
)

//go:embed zurich.star
var zurichSource string

//go:embed tampere.star
var tampereSource string

// Names of the shipped programs.
const (
	NameZurich  = "zurich"
	NameTampere = "tampere"
)

// ErrUnknownPolicy is returned for a name that is not that of a built-in policy.
var ErrUnknownPolicy = errors.New("policy: no such built-in policy")

// ShippedSource returns the source of a shipped program.
func ShippedSource(name string) (string, bool) {
	switch name {
	case NameZurich:
		return zurichSource, true
	case NameTampere:
		return tampereSource, true
	}
	return "", false
}

// Builtin returns the built-in policy or shipped program with the given name. It does
// not know NameClairvoyant: this policy exists only in experiments, where the future
// requests of the trace are known.
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
		return nil, errors.Wrapf(ErrUnknownPolicy, "%q", name)
	}
	return Compile(name, src)
}
