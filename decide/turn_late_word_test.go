package decide_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/decide"
)

// The end of old versions runs from ReadTurn.AsOf. The first word of a process sets
// the lag that all its words are measured by, so a first word that was held up makes
// knowledge look fresh that is as old as the word, and old versions serve that longer.
var _ = Describe("A first word of another process that was held up on its way", func() {
	It("does not make knowledge look newer than the reading it tells of", func() {
		t := decide.NewReadTurn(start, "b", decide.ReadTurnConfig{
			Every: 1200 * time.Millisecond,
			Least: 100 * time.Millisecond,
		})
		t.Read(start)
		read := start.Add(100 * time.Millisecond) // at "a", whose clock began at start too
		t.Heard(start.Add(3*time.Second), "a", read.Sub(start))
		Expect(t.AsOf()).To(BeTemporally("<=", read))
	})
})
