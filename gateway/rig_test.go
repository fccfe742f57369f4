package gateway_test

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"wardturn"
	"wardturn/decide"
	"wardturn/gateway"
	"wardturn/keeper"
	"wardturn/platform"
	"wardturn/policy"
	"wardturn/process"
	"wardturn/standin"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

const (
	eventTimeout = 5 * time.Second      // how long tests wait for an event
	pollInterval = 5 * time.Millisecond // how often they poll for it
)

// expiryGrace is how long gateways keep upstreams whose entries expired while the store was
// unavailable.
const expiryGrace = 900 * time.Millisecond

// testLogger returns a logger that writes to GinkgoWriter, which shows the lines if the
// test fails, and to others.
func testLogger(name string, others ...io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.Debug,
		Output:     io.MultiWriter(append(others, GinkgoWriter)...),
		TimeFormat: "15:04:05.000",
	})
}

// firstEngineHost is the last byte of the address of the first engine's host.
const firstEngineHost = 11

// rigMaxBuffered is how many bytes of request bodies a gateway of a rig buffers at once.
const rigMaxBuffered = 256 << 10

// rig is a gateway with a store, two engines with keepers and two application workers, all
// in this process on loopback addresses.
type rig struct {
	store       *standin.MetaStore
	storeAddr   string
	engines     []*standin.ModelWorker
	apps        []*standin.ModelWorker
	addrs       map[*standin.ModelWorker]string
	domains     map[*standin.ModelWorker]string
	gateway     *gateway.Gateway
	frontURL    string
	readyURL    string
	keeperPort  string // port of the keepers
	keepers     []*keeper.Keeper
	keeperAddrs []string               // where the keepers listen
	keeperProxy *standin.FaultProxy    // in front of the first keeper
	domain      wardturn.FailureDomain // of gateways that are started
	metrics     tally.TestScope
	client      *http.Client
	log         *logBuffer // of gateways
	// shutdownDelay is how long gateways that are started accept requests after they begin
	// to shut down.
	shutdownDelay time.Duration
	shutdownLimit time.Duration // of gateways that are started; zero: none
	keyBound      time.Duration // of gateways that are started; zero: none
	drain         time.Duration // of gateways that are started
	retryExtra    float64       // of gateways that are started; zero: the default
	regions       map[wardturn.FailureDomain]wardturn.Region
}

const rigConfig = `{"version":%d,"routes":[
{"name":"ask","host":"h.example","path_prefix":"/ask/","type":"streaming","timeout_ms":3000,"slo_ms":1500,"priority":1,"service":"llm","max_attempts":1},
{"name":"resume","host":"h.example","path_prefix":"/resume/","type":"streaming","timeout_ms":3000,"slo_ms":1500,"priority":1,"service":"llm","max_attempts":2,"resumable":true},
{"name":"charge","host":"h.example","path_prefix":"/charge/","type":"mutating","timeout_ms":1000,"slo_ms":150,"service":"app","max_attempts":1},
{"name":"look","host":"h.example","path_prefix":"/look/","type":"idempotent","timeout_ms":1000,"slo_ms":150,"service":"app","max_attempts":2}%s],
"services":[{"name":"llm","max_conns":50,"engine":{"slots":8,"adapter_slots":2,"models":[{"name":"m0","load_s":0.1}]}},{"name":"app","max_conns":50}],
"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// newRoute is a route to add to the configuration.
const newRoute = `,{"name":"new","host":"h.example","path_prefix":"/new/","type":"mutating","timeout_ms":1000,"slo_ms":150,"service":"app","max_attempts":1}`

func config(version int, more string) string {
	return fmt.Sprintf(rigConfig, version, more)
}

func serve(ln net.Listener, h http.Handler) {
	s := &http.Server{
		Handler: h,
	}
	go func() {
		_ = s.Serve(ln)
	}()
	DeferCleanup(func() {
		_ = s.Close()
	})
}

func listen(addr string) net.Listener {
	ln, err := net.Listen("tcp", addr)
	Expect(err).NotTo(HaveOccurred())
	return ln
}

// addWorker starts a worker and adds it to the list of upstreams.
func (x *rig) addWorker(service, host, domain string, cfg standin.ModelWorkerConfig) *standin.ModelWorker {
	m := standin.NewModelWorker(cfg)
	ln := listen(host + ":0")
	serve(ln, m)
	x.addrs[m] = ln.Addr().String()
	x.domains[m] = domain
	x.putEntry(m, service, cfg.ID, "ready")
	return m
}

// putEntry puts the entry of a worker into the list of upstreams.
func (x *rig) putEntry(m *standin.ModelWorker, service, id, state string) {
	x.store.PutServer(id, m.Entry(service, x.addrs[m], x.domains[m], state))
}

// listenAll listens on the same port of several hosts. The kernel chooses the port on the
// first host; if it is in use on another host, the next port is tried.
func listenAll(hosts ...string) (list []net.Listener, port string) {
	for range 100 {
		list, port = nil, "0"
		for _, host := range hosts {
			ln, err := net.Listen("tcp", net.JoinHostPort(host, port))
			if err != nil {
				break
			}
			_, port, _ = net.SplitHostPort(ln.Addr().String())
			list = append(list, ln)
		}
		if len(list) == len(hosts) {
			return list, port
		}
		for _, ln := range list {
			ln.Close()
		}
	}
	Fail("no port is free on all hosts")
	return nil, ""
}

// behindProxy replaces a listener by a proxy, and returns the listener to which the proxy
// forwards connections.
func behindProxy(ln net.Listener) (*standin.FaultProxy, net.Listener) {
	addr := ln.Addr().String()
	ln.Close()
	target := listen("127.0.0.1:0")
	relay, err := standin.NewFaultProxyAt(addr, target.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(relay.Close)
	return relay, target
}

func (x *rig) startKeeper(host string, ln net.Listener, m *standin.ModelWorker, store *platform.Store) {
	k := keeper.New(keeper.Deps{
		Config: keeper.Config{
			Process: wardturn.Incarnation("keeper-" + host),
			Name:    host,
		},
		Clock:    process.Clock{},
		Logger:   testLogger("keeper " + host),
		Scope:    tally.NoopScope,
		Engine:   platform.NewWorker(x.addrs[m]),
		Fences:   store,
		Origins:  platform.NewOriginStore(store, testLogger("keeper "+host)),
		Policy:   policy.Default{},
		Listener: ln,
	})
	x.keepers = append(x.keepers, k)
	x.keeperAddrs = append(x.keeperAddrs, ln.Addr().String())
	DeferCleanup(k.Close)
}

// restartKeepers replaces all keepers by new processes at the same addresses, which have lost
// the memory of the former.
func (x *rig) restartKeepers() {
	addrs := x.keeperAddrs
	for _, k := range x.keepers {
		k.Close()
	}
	x.keepers, x.keeperAddrs = nil, nil
	store := platform.NewStore(x.storeAddr, x.metrics)
	for i, addr := range addrs {
		x.startKeeper(fmt.Sprintf("restarted-%d", i), listen(addr), x.engines[i], store)
	}
}

func newRig() *rig {
	return newRigIn("d", "d")
}

// newRigIn returns a rig whose two engines are in the given failure domains. The gateway
// is in domain d.
func newRigIn(domains ...string) *rig {
	return newRigWithDrain(500*time.Millisecond, domains...)
}

// newRigWithDrain is newRigIn with another drain time, in which a leaving upstream may
// still get new requests. Gateways read the list of upstreams twice in that time.
func newRigWithDrain(drain time.Duration, domains ...string) *rig {
	return newRigOf(rigOptions{
		drain:   drain,
		domains: domains,
	})
}

// rigOptions configures a rig.
type rigOptions struct {
	drain    time.Duration
	domains  []string // of the engines, each on a host of its own
	software []string // versions of the engines; nil: they state none
	// memoryHolds is the number of adapters that the memory of an engine holds; zero: no limit.
	memoryHolds int
	config      string // configuration; empty: the default one
	// retryExtra is the number of retries allowed in ten seconds beyond the share of requests; zero:
	// the default.
	retryExtra float64
}

func newRigOf(o rigOptions) *rig {
	x := &rig{
		drain:         o.drain,
		retryExtra:    o.retryExtra,
		domain:        "d",
		domains:       make(map[*standin.ModelWorker]string),
		store:         standin.NewMetaStore(),
		addrs:         make(map[*standin.ModelWorker]string),
		metrics:       newTestScope(),
		shutdownDelay: 50 * time.Millisecond,
		log:           &logBuffer{},
		client: &http.Client{
			Timeout:   eventTimeout,
			Transport: &http.Transport{},
		},
	}
	storeListener := listen("127.0.0.1:0")
	x.storeAddr = storeListener.Addr().String()
	serve(storeListener, x.store)
	x.store.PutConfig(cmp.Or(o.config, config(1, "")))
	store := platform.NewStore(x.storeAddr, x.metrics)
	var hosts []string
	for i := range o.domains {
		hosts = append(hosts, fmt.Sprintf("127.0.0.%d", firstEngineHost+i))
	}
	keepers, port := listenAll(hosts...)
	x.keeperPort = port
	for i, host := range hosts {
		software := ""
		if o.software != nil {
			software = o.software[i]
		}
		m := x.addWorker("llm", host, o.domains[i], standin.ModelWorkerConfig{
			ID:            fmt.Sprintf("e%d", i),
			Software:      software,
			Model:         "m0",
			Slots:         2,
			MemoryHolds:   o.memoryHolds,
			LoadTime:      20 * time.Millisecond,
			StreamEvents:  4,
			EventInterval: 5 * time.Millisecond,
		})
		x.engines = append(x.engines, m)
		ln := keepers[i]
		if i == 0 {
			x.keeperProxy, ln = behindProxy(ln)
		}
		x.startKeeper(host, ln, m, store)
		x.apps = append(x.apps, x.addWorker("app", host, o.domains[i], standin.ModelWorkerConfig{
			ID: fmt.Sprintf("a%d", i),
		}))
	}
	x.gateway, x.frontURL, x.readyURL = x.startGateway("gateway", store)
	Eventually(x.gateway.Ready, eventTimeout, pollInterval).Should(BeTrue())
	// A request without an adapter is served once an engine's keeper is connected.
	Eventually(func() int {
		return x.get("warm", "/ask/x", "m0").status
	}, eventTimeout, pollInterval).Should(Equal(http.StatusOK))
	return x
}

func newTestScope() tally.TestScope {
	return tally.NewTestScope("", nil)
}

// startGateway starts a gateway that uses a store. It returns the URLs for callers and for
// the readiness check.
func (x *rig) startGateway(name wardturn.Incarnation, store *platform.Store) (g *gateway.Gateway, front, ready string) {
	frontListener, readyListener := listen("127.0.0.1:0"), listen("127.0.0.1:0")
	logger := testLogger(string(name), x.log)
	g = gateway.New(gateway.Deps{
		Config: gateway.Config{
			Process:          name,
			Domain:           x.domain,
			KeeperPort:       x.keeperPort,
			Drain:            x.drain,
			ExpiryGrace:      expiryGrace,
			MaxBody:          1 << 20,
			MaxBufferedBytes: rigMaxBuffered,
			RetryShare:       0.2,
			RetryExtra:       cmp.Or(x.retryExtra, 52),
			RetryWindow:      10 * time.Second,
			ShutdownDelay:    x.shutdownDelay,
			ShutdownLimit:    x.shutdownLimit,
			KeyBound:         x.keyBound,
			Crashes: decide.CrashConfig{
				Limit:  3,
				Memory: 24 * time.Hour,
			},
			Fleet: decide.FleetConfig{
				Domain:              x.domain,
				Regions:             x.regions,
				MaxCrossDomainBytes: 28000,
				VersionBound:        oldVersionLimit,
			},
		},
		Clock:          process.Clock{},
		Logger:         logger,
		Metrics:        gateway.NewMetrics(x.metrics),
		Names:          platform.Headers(),
		ResponseReader: platform.Responses{},
		LifetimeProbe:  platform.LifetimeProbe{},
		Source:         platform.NewConfigReader(store, logger),
		Members:        platform.NewMemberReader(store, process.Clock{}, logger),
		FactStore:      store,
		Crashes:        platform.NewCrashStore(store, logger),
		Origins:        platform.NewOriginStore(store, logger),
		Listener:       frontListener,
		ReadyListener:  readyListener,
		ReadyPath:      platform.ReadyPath,
	})
	DeferCleanup(g.Close)
	return g, "http://" + frontListener.Addr().String(), "http://" + readyListener.Addr().String() + platform.ReadyPath
}
