package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wardturn/standin"
)

const (
	entryInterval = time.Second // interval of the renewal of the upstreams' entries
	adapterSlots  = 3           // adapter slots of an engine; few, to cause evictions
	loadTime      = 30 * time.Millisecond
	streamEvents  = 6 // events of a stream
	eventInterval = 10 * time.Millisecond
)

// upstream is a stand-in for an engine or a plain service, with its links.
type upstream struct {
	worker      *standin.ModelWorker
	service     string
	domain      string
	addr        string              // address for gateways, that of proxy
	proxy       *standin.FaultProxy // from gateways to the upstream
	keeperProxy *standin.FaultProxy // from gateways to the upstream's keeper; nil for a plain service
	server      *http.Server

	mu       sync.Mutex
	id       string
	restarts int
	state    string
	down     bool // crashed by a part of a prompt and not yet back
	// faults are the injected faults, and limit is the rate limit, in requests per second,
	// that the responses announce.
	faults standin.WorkerFaults
	limit  string
	// load limits and slows the upstream, whatever its faults are: Slots, Queue, Think and
	// Linger are used.
	load standin.WorkerFaults
	// excused are the intervals in which the rates of its requests are not checked.
	excused []interval
}

// world simulates the platform around the daemons: the store and the upstreams.
type world struct {
	store      *standin.MetaStore
	storeAddr  string
	server     *http.Server
	upstreams  []*upstream
	keeperPort string // of all keepers
	version    int
	keys       teamKeys
	fatals     fatalRequests
	parts      partCrashes
	writes     storeWrites
	stop       chan struct{}
	wg         sync.WaitGroup
}

const soakConfig = `{"version":%d,"routes":[
{"name":"ask","host":"h","path_prefix":"/ask/","type":"streaming","timeout_ms":3000,"slo_ms":600,"priority":1,"gap_aim_ms":200,"service":"llm","max_attempts":1},
{"name":"resume","host":"h","path_prefix":"/resume/","type":"streaming","timeout_ms":3000,"slo_ms":600,"priority":2,"gap_aim_ms":200,"service":"llm","max_attempts":2,"resumable":true},
{"name":"charge","host":"h","path_prefix":"/charge/","type":"mutating","timeout_ms":1500,"slo_ms":150,"service":"app","max_attempts":1},
{"name":"look","host":"h","path_prefix":"/look/","type":"idempotent","timeout_ms":1500,"slo_ms":150,"priority":1,"service":"app","max_attempts":2}],
"services":[{"name":"llm","max_conns":100,"cold_per_s":%d,"engine":{"slots":8,"adapter_slots":%d,"models":[{"name":"m0","load_s":0.1}]}},{"name":"app","max_conns":100,"cold_per_s":%d}],
"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":%q,"api_keys":[%q,%q],"unit":"token_count","raw_tokens":200,"rate_per_s":1000000,"burst":1000000},
{"name":%q,"api_keys":[%q],"rate_per_s":%d,"burst":%d}]}`

func serve(addr string, h http.Handler) (*http.Server, string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, "", errors.Wrap(err, "soak")
	}
	s := &http.Server{
		Handler: h,
	}
	go func() {
		_ = s.Serve(ln)
	}()
	return s, ln.Addr().String(), nil
}

func newWorld(engines, apps int) (*world, error) {
	w := &world{
		store: standin.NewMetaStore(),
		stop:  make(chan struct{}),
		fatals: fatalRequests{
			crashes: make(map[string]int),
		},
		parts: partCrashes{
			crashes: make(map[string][]time.Time),
		},
		writes: storeWrites{
			versions: make(map[string]int64),
		},
	}
	var err error
	w.server, w.storeAddr, err = serve("127.0.0.1:0", w.store)
	if err != nil {
		return nil, err
	}
	w.publishConfig()
	if w.keeperPort, err = freePort(engines); err != nil {
		return nil, err
	}
	for i := range engines {
		// Each failure domain has engines of each software version.
		domain := domains[i/initialVersions%len(domains)]
		if err := w.addUpstream("llm", domain, i, standin.ModelWorkerConfig{
			ID:            fmt.Sprintf("e%d", i),
			Model:         "m0",
			Slots:         adapterSlots,
			LoadTime:      loadTime,
			Software:      softwareVersions[i%initialVersions],
			StreamEvents:  streamEvents,
			EventInterval: eventInterval,
		}); err != nil {
			return nil, err
		}
	}
	for i := range apps {
		if err := w.addUpstream("app", domains[i%len(domains)], engines+i, standin.ModelWorkerConfig{
			ID: fmt.Sprintf("a%d", i),
		}); err != nil {
			return nil, err
		}
	}
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		w.renewEntries()
	}()
	return w, nil
}

// publishConfig publishes the next version of the configuration.
func (w *world) publishConfig() {
	w.version++
	w.store.PutConfig(fmt.Sprintf(soakConfig, w.version, coldRate, adapterSlots, coldRate, callerTeam, permanentKey, rotatedKey(w.version), surgeTeam, surgeKey, surgeCap, surgeCap))
	w.keys.recordVersion(w.version)
}

// frontHost and backHost are the IP addresses of an upstream before and behind its links.
func frontHost(i int) string { return fmt.Sprintf("127.0.0.%d", 10+i) }
func backHost(i int) string  { return fmt.Sprintf("127.0.1.%d", 10+i) }

func (w *world) addUpstream(service, domain string, i int, cfg standin.ModelWorkerConfig) error {
	u := &upstream{
		service: service,
		domain:  domain,
		id:      cfg.ID,
		state:   "ready",
	}
	cfg.Crash = func(path string) {
		w.handleCrash(u, path)
	}
	u.worker = standin.NewModelWorker(cfg)
	u.setFaults(standin.WorkerFaults{})
	var backAddr string
	var err error
	u.server, backAddr, err = serve(backHost(i)+":0", u.worker)
	if err != nil {
		return err
	}
	u.proxy, err = standin.NewFaultProxyAt(frontHost(i)+":0", backAddr)
	if err != nil {
		return err
	}
	u.addr = u.proxy.Addr()
	if cfg.Model != "" {
		if err := w.addKeeperLink(u, i); err != nil {
			return err
		}
	}
	w.upstreams = append(w.upstreams, u)
	w.writeEntry(u)
	return nil
}

// freePort returns a port, of those that daemons listen on, that is free on the front and
// back hosts of n engines.
func freePort(n int) (string, error) {
	for range maxPortTries {
		port, free := strconv.Itoa(minPort+rand.IntN(portCount)), true
		var listeners []net.Listener
		for i := range n {
			for _, host := range []string{frontHost(i), backHost(i)} {
				ln, err := net.Listen("tcp", net.JoinHostPort(host, port))
				if err != nil {
					free = false
					continue
				}
				listeners = append(listeners, ln)
			}
		}
		for _, ln := range listeners {
			ln.Close()
		}
		if free {
			return port, nil
		}
	}
	return "", errors.New("soak: no port is free on all hosts")
}

// addKeeperLink opens the fault proxy to a keeper. All keepers use the same port.
func (w *world) addKeeperLink(u *upstream, i int) error {
	var err error
	u.keeperProxy, err = standin.NewFaultProxyAt(net.JoinHostPort(frontHost(i), w.keeperPort), net.JoinHostPort(backHost(i), w.keeperPort))
	return err
}

// backAddr returns the address at which the keeper reaches its engine, without a fault
// proxy.
func (u *upstream) backAddr() string {
	return u.proxy.Target()
}

func (w *world) writeEntry(u *upstream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w.store.PutServer(u.id, u.worker.Entry(u.service, u.addr, u.domain, u.state))
}

// renewEntries renews the store entries of the upstreams periodically.
func (w *world) renewEntries() {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(entryInterval):
		}
		for _, u := range w.upstreams {
			if !u.isDown() {
				w.writeEntry(u)
			}
		}
	}
}

// restart restarts an upstream without adapters, as a new lifetime. Every second time it
// keeps its id, otherwise it gets a new one.
func (w *world) restart(u *upstream) {
	u.mu.Lock()
	if u.restarts%2 == 1 {
		u.restarts++
		u.worker.SetCold(coldDuration)
		u.worker.RestartSameID(time.Now().UnixMilli())
		u.mu.Unlock()
		w.writeEntry(u)
		return
	}
	u.mu.Unlock()
	w.renew(u)
}

// renew starts a new lifetime of an upstream, without adapters and with a new id.
func (w *world) renew(u *upstream) {
	u.mu.Lock()
	old := u.id
	u.restarts++
	u.id = fmt.Sprintf("%s-%d", u.worker.ID(), u.restarts)
	u.worker.SetCold(coldDuration)
	u.worker.Restart(u.id)
	u.mu.Unlock()
	u.addExcused(time.Now(), time.Now()) // gateways know no limit for the new id
	w.writeEntry(u)
	w.dropEntry(old)
}

// setFaults sets the injected faults of an upstream. Fatal requests crash it whatever they
// are.
func (u *upstream) setFaults(f standin.WorkerFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
	u.applyFaults()
}

// applyFaults applies the faults, the limit and the load. The caller holds the lock.
func (u *upstream) applyFaults() {
	f := u.faults
	f.CrashOn = fatalBody
	f.CrashOnPart = badParts
	f.Limit = u.limit
	f.Slots, f.Queue, f.Think, f.Linger = u.load.Slots, u.load.Queue, u.load.Think, u.load.Linger
	u.worker.SetFaults(f)
}

func (u *upstream) setState(state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
}

// runs returns how often an attempt ran, at all upstreams together.
func (w *world) runs(attempt string) int {
	n := 0
	for _, u := range w.upstreams {
		n += u.worker.Runs(attempt)
	}
	return n
}

func (w *world) close() {
	close(w.stop)
	w.wg.Wait()
	for _, u := range w.upstreams {
		u.proxy.Close()
		if u.keeperProxy != nil {
			u.keeperProxy.Close()
		}
		_ = u.server.Close()
	}
	_ = w.server.Close()
}
