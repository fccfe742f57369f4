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

// configBound is the time within which a configuration change must be in force at each
// gateway.
const configBound = 2 * time.Second

// Gateways that compared positions from before and after the restore considered their own
// state newer, and ignored changes until the store had assigned the offsets they knew
// again.
var _ = Describe("A store that is restored from an older copy", func() {
	var x *rig
	var fronts []string
	version := 0
	putConfig := func(more string) {
		version++
		x.store.PutConfig(config(version, more))
	}
	BeforeEach(func() {
		x = newRig()
		version = 1
		fronts = []string{x.frontURL}
		for _, name := range []wardturn.Incarnation{"second", "third", "fourth"} {
			g, front, _ := x.startGateway(name, platform.NewStore(x.storeAddr, x.metrics))
			Eventually(g.Ready, eventTimeout, pollInterval).Should(BeTrue())
			fronts = append(fronts, front)
		}
	})
	serves := func(front, path string) bool {
		_, r := x.sendWithHeaders(front, path, "", nil)
		return r.status == http.StatusOK
	}
	// expectInForce expects that a route that was just added is served within configBound.
	expectInForce := func(path string) {
		GinkgoHelper()
		deadline := time.Now().Add(configBound)
		for _, front := range fronts {
			Eventually(func() bool {
				return serves(front, path)
			}, time.Until(deadline), pollInterval).Should(BeTrue(), front)
		}
	}

	It("has its later changes applied by all gateways in time", func() {
		old := x.store.Copy()
		for range 5 {
			putConfig("")
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(configBound) // all gateways have read these changes
		x.store.SetFaults(standin.MetaFaults{
			Unavailable: true,
		})
		time.Sleep(time.Second)
		x.store.Restore(old)
		x.store.SetFaults(standin.MetaFaults{})
		time.Sleep(configBound)
		putConfig(newRoute)
		expectInForce("/new/a")
	})

	It("has a change applied that replaces a lost one", func() {
		old := x.store.Copy()
		putConfig("")
		time.Sleep(configBound)
		x.store.Restore(old)
		putConfig(newRoute)
		for i := range 4 {
			x.store.PutVersion("m0", "a9", int64(2+i))
		}
		expectInForce("/new/a")
	})

	It("leaves the configuration and upstreams in use that were known before", func() {
		old := x.store.Copy()
		putConfig(newRoute)
		expectInForce("/new/a")
		x.putEntry(x.apps[0], "app", "a0", "draining")
		time.Sleep(configBound)
		x.store.DeleteServer("a0")
		x.putEntry(x.apps[1], "app", "a1", "ready")
		time.Sleep(configBound)
		x.store.Restore(old)
		began := time.Now()
		after := began.Add(arrivalLag)
		for time.Since(began) < configBound {
			for _, front := range fronts {
				Expect(serves(front, "/new/a")).To(BeTrue())
			}
		}
		Expect(arrivalsAfter(x.apps[0], after)).To(BeZero(), "a0 had left")
	})

	It("leaves domains evacuated until the operator has evacuated them again", func() {
		old := x.store.Copy()
		after := x.evacuate("d")
		time.Sleep(time.Until(after))
		x.store.Restore(old)
		x.callAll(fronts, "/look/a", "", 1, 20*time.Millisecond, expiryGrace/2)
		x.evacuate("d")
		x.callAll(fronts, "/look/a", "", 1, 20*time.Millisecond, 2*expiryGrace+configBound)
		Expect(x.domainArrivalsAfter("d", after)).To(BeZero())
	})

	It("lets evacuated domains serve again if the operator does not", func() {
		old := x.store.Copy()
		after := x.evacuate("d")
		time.Sleep(time.Until(after))
		x.store.Restore(old)
		x.callAll(fronts, "/look/a", "", 1, 20*time.Millisecond, configBound+expiryGrace+time.Second)
		Expect(x.domainArrivalsAfter("d", after)).To(BeNumerically(">", 0))
	})

	It("has changes applied after two restores in short succession", func() {
		old := x.store.Copy()
		putConfig("")
		x.store.Restore(old)
		putConfig("")
		time.Sleep(50 * time.Millisecond)
		x.store.Restore(old)
		time.Sleep(50 * time.Millisecond)
		putConfig(newRoute)
		expectInForce("/new/a")
	})
})

// arrivalLag is the time within which requests sent to an upstream before it left arrive
// there.
const arrivalLag = 100 * time.Millisecond
