//go:build review

// Package review3 starts the daemons beside stand-ins. The operator raises the limit of a
// request's header, and clients send requests that the new configuration allows.
package review3

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"wardturn/standin"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	workerCount  = 3 // one in each zone
	gatewayCount = 2
	requestRate  = 40 // requests a second, all clients together
	before       = 8 * time.Second
	after        = 20 * time.Second
	applyTime    = 2 * time.Second // config_apply_ms
	deadline     = time.Second
	slots        = 6
	startTimeout = 10 * time.Second
	beatInterval = 1200 * time.Millisecond

	oldLimit    = 16384 // max_header_bytes
	newLimit    = 65536
	largeHeader = 32 << 10
	largeShare  = 0.2 // of the requests
)

var zones = []string{"hervanta", "lielahti", "keskusta"}

// config is the operator's configuration: version and max_header_bytes are filled in. The
// route has the figures of the class checksum-fetch.
const config = `{"version":%d,"routes":[
{"name":"lookup","host":"index.example","path_prefix":"/lookup/","type":"idempotent","timeout_ms":1000,"slo_ms":150,"priority":2,"service":"hakemisto","max_attempts":2}],
"services":[{"name":"hakemisto","max_conns":100}],
"limits":{"max_header_bytes":%d,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// gatewaySettings are those that deploy/gateway.conf gives on this deployment.
const gatewaySettings = `drain=2000ms
grace=8s
retry-share=0.2
retry-extra=54
retry-window=10s
version-bound=5000ms
key-bound=0s
cold-overage=
cold-slack=
regions=hervanta=tampere,lielahti=tampere,keskusta=tampere
memory-mb=284
`

func TestMain(m *testing.M) {
	os.Exit(run())
}

// record is the file with what was sent, answered and run.
type record struct {
	mu sync.Mutex
	f  *os.File
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, time.Now().Format("15:04:05.000 ")+format+"\n", args...)
}

func run() int {
	f, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.Close()
	c := &testCase{
		record:  &record{f: f},
		trouble: os.Getenv("TROUBLE") != "0",
	}
	defer c.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		c.close()
		os.Exit(exitNotRun)
	}()
	if err := c.start(); err != nil {
		c.record.printf("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return c.play()
}

type testCase struct {
	record  *record
	trouble bool

	dir      string
	store    *standin.MetaStore
	workers  []*worker
	gateways []string // addresses for clients

	mu        sync.Mutex
	processes []*exec.Cmd
	closed    bool

	sent, whole, denied, other atomic.Int64
}

// worker is a worker stand-in.
type worker struct {
	id     string
	zone   string
	addr   string
	worker *standin.ModelWorker
}

func serve(addr string, h http.Handler) (*http.Server, string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, "", err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(ln) }()
	return s, ln.Addr().String(), nil
}

// freePort returns a port below the ephemeral ones that is free on all hosts.
func freePort(hosts ...string) (string, error) {
	for range 200 {
		port := strconv.Itoa(12000 + rand.IntN(18000))
		free := true
		for _, h := range hosts {
			ln, err := net.Listen("tcp", net.JoinHostPort(h, port))
			if err != nil {
				free = false
				break
			}
			ln.Close()
		}
		if free {
			return port, nil
		}
	}
	return "", fmt.Errorf("no free port")
}

func workerHost(i int) string  { return fmt.Sprintf("127.0.8.%d", 10+i) }
func gatewayHost(i int) string { return fmt.Sprintf("127.0.9.%d", 10+i) }

func (c *testCase) start() error {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return err
	}
	c.dir = dir
	c.store = standin.NewMetaStore()
	_, storeAddr, err := serve("127.0.0.1:0", c.store)
	if err != nil {
		return err
	}
	limit := oldLimit
	if !c.trouble {
		limit = newLimit
	}
	c.store.PutConfig(fmt.Sprintf(config, 1, limit))
	for i := range workerCount {
		w := &worker{
			id:   fmt.Sprintf("i-%08x", 0x31b10000+i),
			zone: zones[i%len(zones)],
		}
		w.worker = standin.NewModelWorker(standin.ModelWorkerConfig{ID: w.id})
		w.worker.SetFaults(standin.WorkerFaults{Slots: slots, Queue: 24, Think: 30 * time.Millisecond})
		if _, w.addr, err = serve(workerHost(i)+":0", w.worker); err != nil {
			return err
		}
		c.workers = append(c.workers, w)
	}
	c.writeEntries()
	go func() {
		for range time.Tick(beatInterval) {
			c.writeEntries()
		}
	}()
	var hosts []string
	for i := range gatewayCount {
		hosts = append(hosts, gatewayHost(i))
	}
	keeperPort, err := freePort(hosts...)
	if err != nil {
		return err
	}
	metricsPort, err := freePort(hosts...)
	if err != nil {
		return err
	}
	for i := range gatewayCount {
		zone := zones[i%len(zones)]
		name := fmt.Sprintf("edge-%s-%d", zone, i)
		front, err := freePort(gatewayHost(i))
		if err != nil {
			return err
		}
		ready, err := freePort(gatewayHost(i))
		if err != nil {
			return err
		}
		addr := net.JoinHostPort(gatewayHost(i), front)
		if err := c.startProcess(name, gatewaySettings, "gateway", "--node="+name, "--domain="+zone, "--store="+storeAddr,
			"--port="+keeperPort, "--listen="+addr, "--ready="+net.JoinHostPort(gatewayHost(i), ready), "--metrics="+gatewayHost(i)+":"+metricsPort); err != nil {
			return err
		}
		c.gateways = append(c.gateways, addr)
		until := time.Now().Add(startTimeout)
		for {
			res, err := http.Get("http://" + net.JoinHostPort(gatewayHost(i), ready) + "/wardturn/readyz")
			if err == nil {
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second) // in touch
	return nil
}

func (c *testCase) writeEntries() {
	for _, w := range c.workers {
		c.store.PutServer(w.id, w.worker.Entry("hakemisto", w.addr, w.zone, "ready"))
	}
}

func (c *testCase) startProcess(name, settings string, args ...string) error {
	file := filepath.Join(c.dir, name+".conf")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return err
	}
	cmd := exec.Command("target/wardturn-fleet", args...)
	cmd.Env = append(os.Environ(), "WARDTURN_SETTINGS="+file)
	cmd.Stdout, cmd.Stderr = log, log
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return fmt.Errorf("closed")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	c.processes = append(c.processes, cmd)
	return nil
}

// close ends all processes that were started.
func (c *testCase) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	for _, p := range c.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	if os.Getenv("KEEP_LOGS") == "" && c.dir != "" {
		_ = os.RemoveAll(c.dir)
	}
}

func (c *testCase) play() int {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	c.traffic(client, before, func() bool { return false })
	if c.trouble {
		c.store.PutConfig(fmt.Sprintf(config, 2, newLimit))
		c.record.printf("configuration version 2 is acknowledged: max_header_bytes %d, before %d", newLimit, oldLimit)
	}
	c.traffic(client, applyTime+time.Second, func() bool { return false })
	c.record.printf("requests with large headers begin")
	c.traffic(client, after, func() bool { return rand.Float64() < largeShare })
	runs := 0
	for _, w := range c.workers {
		runs += w.worker.TotalRuns()
	}
	allowed := 5 + c.sent.Load()/500
	c.record.printf("sent %d; answered 200 by a worker %d, ended with a 4xx of the gateway %d (allowed: %d), other %d; runs %d", c.sent.Load(), c.whole.Load(), c.denied.Load(), allowed, c.other.Load(), runs)
	fmt.Printf("sent %d, denied %d\n", c.sent.Load(), c.denied.Load())
	if c.denied.Load() > allowed {
		return exitBroken
	}
	if c.whole.Load() == 0 {
		return exitNotRun
	}
	return exitHeld
}

// traffic sends requests for some time.
func (c *testCase) traffic(client *http.Client, d time.Duration, large func() bool) {
	var wg sync.WaitGroup
	next := time.Now()
	end := next.Add(d)
	for next.Before(end) {
		next = next.Add(time.Duration(rand.ExpFloat64() * float64(time.Second) / requestRate))
		time.Sleep(time.Until(next))
		header := 0
		if large() {
			header = largeHeader
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.request(client, fmt.Sprintf("%016x", rand.Uint64()), header)
		}()
	}
	wg.Wait()
}

// request sends a request with so many bytes in an additional header.
func (c *testCase) request(client *http.Client, attempt string, header int) {
	g := c.gateways[rand.IntN(len(c.gateways))]
	req, err := http.NewRequest(http.MethodGet, "http://"+g+"/lookup/2f", nil)
	if err != nil {
		return
	}
	req.Host = "index.example"
	req.Header.Set("X-Wardturn-Attempt-Id", attempt)
	req.Header.Set("X-Wardturn-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if header > 0 {
		req.Header.Set("X-Package-List", strings.Repeat("p", header))
	}
	c.sent.Add(1)
	res, err := client.Do(req)
	if err != nil {
		c.other.Add(1)
		c.record.printf("attempt %s at %s, header of %d bytes: no answer: %v", attempt, g, header, err)
		return
	}
	_, err = io.ReadAll(res.Body)
	res.Body.Close()
	c.record.printf("attempt %s at %s, header of %d bytes: status %d, receipt %q, error %v", attempt, g, header, res.StatusCode, res.Header.Get(standin.HeaderSeal), err)
	own := res.Header.Get(standin.HeaderSeal) == ""
	switch s := res.StatusCode; {
	case s == http.StatusOK:
		c.whole.Add(1)
	case own && s >= 300 && s < 500 && s != http.StatusRequestTimeout && s != http.StatusMisdirectedRequest && s != http.StatusTooManyRequests:
		c.denied.Add(1)
	default:
		c.other.Add(1)
	}
}
