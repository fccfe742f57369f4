package gateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/platform"
	"wardturn/standin"
)

// applyBound is by when a change of the configuration is in force at each gateway.
const applyBound = 2 * time.Second

// Gateways that compared positions across the return took what they had for the newest,
// until the store had given out the offsets that they knew once more.
var _ = Describe("A store that comes back from an older copy", func() {
	var x *rig
	var fronts []string
	version := 0
	change := func(more string) {
		version++
		x.store.PutConfig(config(version, more))
	}
	BeforeEach(func() {
		x = newRig()
		version = 1
		fronts = []string{x.front}
		for _, name := range []wardturn.Incarnation{"second", "third", "fourth"} {
			g, front, _ := x.startGateway(name, platform.NewStore(x.storeAddr, x.metrics))
			Eventually(g.Ready, soon, often).Should(BeTrue())
			fronts = append(fronts, front)
		}
	})
	serves := func(front, path string) bool {
		_, r := x.with(front, path, "", nil)
		return r.status == http.StatusOK
	}
	// expectInForce expects that a route that was just added is served in time.
	expectInForce := func(path string) {
		GinkgoHelper()
		within := time.Now().Add(applyBound)
		for _, front := range fronts {
			Eventually(func() bool {
				return serves(front, path)
			}, time.Until(within), often).Should(BeTrue(), front)
		}
	}

	It("has later changes in force at all gateways in time", func() {
		old := x.store.Copy()
		for range 5 {
			change("")
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(applyBound) // all gateways have read up to there
		x.store.SetFaults(standin.MetaFaults{
			Away: true,
		})
		time.Sleep(time.Second)
		x.store.ComeBack(old)
		x.store.SetFaults(standin.MetaFaults{})
		time.Sleep(applyBound)
		change(newRoute)
		expectInForce("/new/a")
	})
})
