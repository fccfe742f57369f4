package gateway_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"wardturn"
	"wardturn/platform"
	"wardturn/standin"
)

// announcedConfigBound is the time within which a change of the configuration is in force.
const announcedConfigBound = 2 * time.Second

// secondGatewayRig is a rig with a second gateway that reaches the store and the keepers
// through proxies of its own. frontURL is the one of the second gateway.
type secondGatewayRig struct {
	*rig
	unavailable *atomic.Bool // the store is unavailable to the second gateway
	proxies     []*standin.FaultProxy
}

// proxyKeepers makes gateways started from now on reach the keepers through proxies of
// their own.
func (x *rig) proxyKeepers() []*standin.FaultProxy {
	hosts := []string{"127.0.0.11", "127.0.0.12"}
	list, port := listenAll(hosts...)
	var proxies []*standin.FaultProxy
	for i, host := range hosts {
		list[i].Close()
		proxy, err := standin.NewFaultProxyAt(net.JoinHostPort(host, port), net.JoinHostPort(host, x.keeperPort))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
		proxies = append(proxies, proxy)
	}
	x.keeperPort = port
	return proxies
}

// newSecondGatewayRig starts a gateway in failure domain d and one in the domain second.
// The second one relies on the reads of the first, since its ID is higher.
func newSecondGatewayRig(keepers []string, second wardturn.FailureDomain) *secondGatewayRig {
	x := &secondGatewayRig{
		rig:         newRigIn(keepers...),
		unavailable: &atomic.Bool{},
	}
	ln := listen("127.0.0.1:0")
	serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if x.unavailable.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		x.store.ServeHTTP(w, r)
	}))
	x.domain = second
	x.proxies = x.proxyKeepers()
	other, front, ready := x.startGateway("second", platform.NewStore(ln.Addr().String(), tally.NoopScope))
	x.frontURL, x.readyURL = front, ready
	Eventually(other.Ready, eventTimeout, pollInterval).Should(BeTrue())
	Eventually(func() int {
		return x.get("ready", "/ask/x", "m0").status
	}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
	return x
}

// awaitNewRoute adds a route and waits until it is in force at the second gateway.
func (x *secondGatewayRig) awaitNewRoute() {
	GinkgoHelper()
	x.store.PutConfig(config(2, newRoute))
	Eventually(func() int {
		return x.get("new", "/new/", "").status
	}, announcedConfigBound, pollInterval).Should(Equal(http.StatusOK))
}

var _ = Describe("Announcements of store reads", func() {
	DescribeTable("reach a gateway that cannot read the store",
		func(keepers []string, second wardturn.FailureDomain, injectFault func(*secondGatewayRig)) {
			x := newSecondGatewayRig(keepers, second)
			injectFault(x)
			x.awaitNewRoute()
			x.unavailable.Store(true)
			time.Sleep(300 * time.Millisecond) // until calls in progress have ended
			x.putEntry(x.apps[0], "app", "a0", "draining")
			Eventually(func() int {
				before := x.apps[0].TotalRuns()
				for range 4 {
					x.get("leave", "/charge/", "")
				}
				return x.apps[0].TotalRuns() - before
			}, announcedConfigBound, pollInterval).Should(BeZero())
			Expect(x.apps[1].TotalRuns()).To(BeNumerically(">", 0))
		},
		Entry("through two keepers in its failure domain", []string{"d", "d"}, wardturn.FailureDomain("d"), func(*secondGatewayRig) {}),
		Entry("when one of them is unreachable", []string{"d", "d"}, wardturn.FailureDomain("d"), func(x *secondGatewayRig) {
			x.keeperProxy.Block(true)
		}),
		Entry("when one of them is frozen", []string{"d", "d"}, wardturn.FailureDomain("d"), func(x *secondGatewayRig) {
			x.keeperProxy.Freeze(true)
		}),
		Entry("when the other one is frozen for this gateway only", []string{"d", "d"}, wardturn.FailureDomain("d"), func(x *secondGatewayRig) {
			x.proxies[1].Freeze(true)
		}),
		Entry("when it is connected to only one of them", []string{"d", "d"}, wardturn.FailureDomain("d"), func(x *secondGatewayRig) {
			x.proxies[0].Block(true)
		}),
		Entry("in another failure domain", []string{"f", "f"}, wardturn.FailureDomain("f"), func(*secondGatewayRig) {}),
		Entry("in a failure domain with a single keeper", []string{"d", "f"}, wardturn.FailureDomain("f"), func(*secondGatewayRig) {}),
		Entry("when the single keeper is unreachable", []string{"d", "f"}, wardturn.FailureDomain("f"), func(x *secondGatewayRig) {
			x.proxies[1].Block(true)
		}),
		Entry("in a failure domain without keepers", []string{"f", "f"}, wardturn.FailureDomain("g"), func(*secondGatewayRig) {}),
		Entry("when the keepers of its failure domain are unreachable", []string{"d", "f"}, wardturn.FailureDomain("d"), func(x *secondGatewayRig) {
			x.keeperProxy.Block(true)
		}),
	)

	It("are not required by a gateway that reaches no keeper", func() {
		x := newSecondGatewayRig([]string{"d", "d"}, "d")
		for _, proxy := range x.proxies {
			proxy.Block(true)
		}
		x.awaitNewRoute()
	})
})
