package process

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/cockroachdb/errors"
	"go.uber.org/dig"

	"wardturn"
)

// NewIncarnation returns a random identifier for one run of a process.
func NewIncarnation() wardturn.Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return wardturn.Incarnation(hex.EncodeToString(b[:]))
}

// Provide registers constructors in a daemon's dependency injection container.
func Provide(c *dig.Container, constructors ...any) error {
	for _, f := range constructors {
		if err := c.Provide(f); err != nil {
			return errors.Wrap(err, "wiring")
		}
	}
	return nil
}
