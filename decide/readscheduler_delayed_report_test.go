package decide_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn/decide"
)

// The end of old versions is computed from ReadScheduler.AsOf. The first report of a
// process sets the lag that its later reports are compared with. A delayed first report
// would therefore make an old copy look recent, and old versions would serve longer by
// the delay.
var _ = Describe("A delayed first report of another process", func() {
	It("does not make the copy look newer than the reported read", func() {
		s := decide.NewReadScheduler(start, "b", decide.ReadSchedulerConfig{
			MaxAge:      1200 * time.Millisecond,
			MinInterval: 100 * time.Millisecond,
		})
		s.ReadSucceeded(start)
		read := start.Add(100 * time.Millisecond) // at "a", whose clock started at start too
		s.PeerRead(start.Add(3*time.Second), "a", read.Sub(start))
		Expect(s.AsOf()).To(BeTemporally("<=", read))
	})
})
