package misuse

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"wardturn/standin"
)

// maxHeader is the configuration's limit on the head of a request, and maxBody that on its body.
const (
	maxHeader = 16 << 10
	maxBody   = 64 << 10
)

const gatewayConfig = `{"version":%d,"routes":[
{"name":"ask","host":"h","path_prefix":"/ask/","type":"streaming","timeout_ms":3000,"slo_ms":1500,"priority":1,"service":"llm","max_attempts":1},
{"name":"look","host":"h","path_prefix":"/look/","type":"idempotent","timeout_ms":1500,"slo_ms":150,"service":"app","max_attempts":2}],
"services":[{"name":"app","max_conns":1000},{"name":"llm","max_conns":50,"engine":{"slots":8,"adapter_slots":2,"models":[{"name":"m0","load_s":0.1}]}}],
"limits":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// gatewayRig is a gateway and a keeper, each a process, with their stand-ins in this process.
type gatewayRig struct {
	store     *standin.MetaStore
	storeAddr string
	app       *standin.ModelWorker
	gateway   *proc
	front     string
	ready     string
	metrics   string

	keeper        *proc
	keeperAddr    string
	keeperMetrics string
}

func serve(t *testing.T, host string, h http.Handler) string {
	t.Helper()
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{
		Handler: h,
	}
	go func() {
		_ = s.Serve(ln)
	}()
	t.Cleanup(func() {
		_ = s.Close()
	})
	return ln.Addr().String()
}

// renewalInterval is the interval at which the entries of upstreams are renewed.
const renewalInterval = time.Second

func newGatewayRig(t *testing.T) *gatewayRig {
	t.Helper()
	x := &gatewayRig{
		store: standin.NewMetaStore(),
		app: standin.NewModelWorker(standin.ModelWorkerConfig{
			ID: "a0",
		}),
	}
	engine := standin.NewModelWorker(standin.ModelWorkerConfig{
		ID:            "e0",
		Model:         "m0",
		Slots:         2,
		LoadTime:      20 * time.Millisecond,
		StreamEvents:  4,
		EventInterval: 5 * time.Millisecond,
	})
	x.storeAddr = serve(t, "127.0.0.1", x.store)
	x.setLimits(1, maxHeader, maxBody)
	appAddr, engineAddr := serve(t, "127.0.0.1", x.app), serve(t, "127.0.0.11", engine)
	putEntries := func() {
		x.store.PutServer("a0", x.app.Entry("app", appAddr, "d", "ready"))
		x.store.PutServer("e0", engine.Entry("llm", engineAddr, "d", "ready"))
	}
	putEntries()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(renewalInterval):
				putEntries()
			}
		}
	})
	t.Cleanup(func() {
		close(stop)
		wg.Wait()
	})
	x.keeperAddr = freeAddr(t, "127.0.0.11")
	_, port, _ := net.SplitHostPort(x.keeperAddr)
	x.keeperMetrics = freeAddr(t, "127.0.0.11")
	x.keeper = start(t, "wardturn-fleet", "keeper", "--node=k", "--domain=d", "--store="+x.storeAddr, "--port="+port, "--ip=127.0.0.11", "--engine="+engineAddr, "--metrics="+x.keeperMetrics)
	x.front, x.ready, x.metrics = freeAddr(t, "127.0.0.1"), freeAddr(t, "127.0.0.1"), freeAddr(t, "127.0.0.1")
	x.gateway = start(t, "wardturn-fleet", "gateway", "--node=g", "--domain=d", "--store="+x.storeAddr, "--port="+port, "--listen="+x.front, "--ready="+x.ready, "--metrics="+x.metrics)
	waitListening(t, x.front, x.ready, x.metrics, x.keeperAddr, x.keeperMetrics)
	x.requireAnswer(t)
	return x
}

// waitListening waits until all addresses accept connections.
func waitListening(t *testing.T, addrs ...string) {
	t.Helper()
	end := time.Now().Add(startTimeout)
	for _, addr := range addrs {
		for {
			c, err := net.DialTimeout("tcp", addr, dialTimeout)
			if err == nil {
				c.Close()
				break
			}
			if time.Now().After(end) {
				t.Fatalf("nothing listens at %s: %v", addr, err)
			}
			time.Sleep(samplingInterval)
		}
	}
}

// setLimits publishes a version of the configuration.
func (x *gatewayRig) setLimits(version, header, body int) {
	x.store.PutConfig(fmt.Sprintf(gatewayConfig, version, header, body))
}

// slow makes upstreams take their time, so that requests are held while they run.
func (x *gatewayRig) slow() {
	x.app.SetFaults(standin.WorkerFaults{
		Think: time.Second,
	})
}

// requireAnswer requires an answer to an ordinary request.
func (x *gatewayRig) requireAnswer(t *testing.T) {
	t.Helper()
	x.app.SetFaults(standin.WorkerFaults{})
	requireAnswer(t, x.front, []byte(requestLine+"Content-Length: 6\r\n\r\nprompt"))
}

// check checks both processes and requires an answer to an ordinary request.
func (x *gatewayRig) check(t *testing.T) {
	t.Helper()
	x.requireAnswer(t)
	x.gateway.check()
	x.keeper.check()
}
