//go:build review

// Package review1 starts the daemons beside stand-ins. The adapters of the configuration are of a
// size at which the memory of an engine holds fewer of them than it has places for adapters, and
// many adapters are asked for at once.
package review1

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
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
	engineCount   = 4 // in three zones
	gatewayCount  = 2
	requestRate   = 40 // streams a second, all clients together
	calmFor       = 10 * time.Second
	burstFor      = 3 * time.Second // rare adapters are asked for at once
	burstRate     = 28              // more streams a second: 1.7 times the usual ones
	burstAdapters = 80
	afterBurst    = 15 * time.Second
	usualAdapters = 12
	downFor       = 3 * time.Second // after an engine has fallen
	streamEvents  = 14
	eventInterval = 27 * time.Millisecond
	deadline      = 6 * time.Second
	adapterSlots  = 18
	engineMB      = 66600 // weights_mb of an engine, for the model and its adapters
	modelMB       = 65100 // weights_mb of the model
	adapterMB     = 100   // adapter_size_mb
	loadTime      = 250 * time.Millisecond
	startTimeout  = 10 * time.Second
	beatInterval  = 1200 * time.Millisecond
)

var zones = []string{"hervanta", "lielahti", "keskusta"}

// config is the operator's configuration: that of the site, but for adapter_size_mb. The route has
// the figures of the class changelog-ask.
const config = `{"version":1,"routes":[
{"name":"ask","host":"ask.example","path_prefix":"/ask/","type":"streaming","timeout_ms":6000,"slo_ms":600,"priority":0,"service":"kielimalli","max_attempts":1,"sticky":true,"resumable":false,"gap_aim_ms":400}],
"services":[{"name":"kielimalli","health_path":"/healthz","max_conns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":232000,"kv_token_bytes":327680,"models":[{"name":"m0","weights_mb":65100,"load_s":1.9,"adapters":3000,"adapter_size_mb":100,"warm_s":0.38,"disk_s":0.76}],"weights_mb":66600,"adapter_slots":18,"loads_per_s":4.4}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

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

const keeperSettings = "log-level=info\n"

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
	engines  []*engine
	gateways []string // addresses for clients

	mu        sync.Mutex
	processes []*exec.Cmd
	closed    bool

	sent, whole, refused, other, lost atomic.Int64
	orders, beyond                    atomic.Int64
}

// engine is an engine stand-in. An order to load more than its memory holds makes it fall.
type engine struct {
	c      *testCase
	id     string
	zone   string
	addr   string
	worker *standin.ModelWorker

	orderMu sync.Mutex      // one order at a time
	held    map[string]bool // adapters that were ordered in this lifetime

	mu       sync.Mutex
	ln       net.Listener
	conns    map[net.Conn]bool
	lifetime int
	up       bool
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/wardturn/order" {
		e.worker.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var o struct {
		Op      string
		Adapter string
	}
	if err := json.Unmarshal(body, &o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.orderMu.Lock()
	defer e.orderMu.Unlock()
	e.c.orders.Add(1)
	status := e.carryOut(r.Header, body)
	if status == http.StatusAccepted || status == http.StatusOK {
		switch {
		case o.Adapter == "":
		case o.Op == "model_load":
			e.held[o.Adapter] = true
		default:
			delete(e.held, o.Adapter)
		}
	}
	if mb := modelMB + adapterMB*len(e.held); mb > engineMB {
		e.c.beyond.Add(1)
		e.c.record.printf("BROKEN: %s is ordered to load adapter %s, its %dth, which makes %d MB of %d MB (adapter slots: %d): %s", e.id, o.Adapter, len(e.held), mb, engineMB, adapterSlots, body)
		e.fall()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// fall ends the lifetime and starts another one, with a new id, some seconds later.
func (e *engine) fall() {
	e.crash()
	e.c.store.DeleteServer(e.id)
	time.AfterFunc(downFor, func() {
		e.orderMu.Lock()
		defer e.orderMu.Unlock()
		clear(e.held)
		e.mu.Lock()
		e.id += "b"
		e.mu.Unlock()
		e.worker.Restart(e.id)
		if err := e.start(); err != nil {
			e.c.record.printf("%s: %v", e.id, err)
		}
	})
}

func (e *engine) carryOut(h http.Header, body []byte) int {
	req := httptest.NewRequest(http.MethodPost, "/wardturn/order", bytes.NewReader(body))
	req.Header = h.Clone()
	w := httptest.NewRecorder()
	e.worker.ServeHTTP(w, req)
	return w.Code
}

// start starts a lifetime at the engine's address.
func (e *engine) start() error {
	ln, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.ln, e.up = ln, true
	e.lifetime++
	e.conns = make(map[net.Conn]bool)
	e.mu.Unlock()
	s := &http.Server{
		Handler: e,
		ConnState: func(c net.Conn, s http.ConnState) {
			e.mu.Lock()
			defer e.mu.Unlock()
			switch s {
			case http.StateNew:
				e.conns[c] = true
			case http.StateClosed:
				delete(e.conns, c)
			}
		},
	}
	go func() { _ = s.Serve(ln) }()
	e.writeEntry()
	return nil
}

// crash ends the lifetime: the port refuses, and the connections are reset.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.up = false
	e.ln.Close()
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
	e.conns = nil
}

func (e *engine) writeEntry() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.up {
		e.c.store.PutServer(e.id, e.worker.Entry("kielimalli", e.addr, e.zone, "ready"))
	}
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

func engineHost(i int) string  { return fmt.Sprintf("127.0.10.%d", 10+i) }
func gatewayHost(i int) string { return fmt.Sprintf("127.0.11.%d", 10+i) }

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
	c.store.PutConfig(config)
	var hosts []string
	for i := range engineCount {
		hosts = append(hosts, engineHost(i))
	}
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
	for i := range engineCount {
		port, err := freePort(engineHost(i))
		if err != nil {
			return err
		}
		e := &engine{
			c:    c,
			id:   fmt.Sprintf("i-%08x", 0x7f3a0000+i),
			zone: zones[i%len(zones)],
			addr: net.JoinHostPort(engineHost(i), port),
			held: make(map[string]bool),
		}
		e.worker = standin.NewModelWorker(standin.ModelWorkerConfig{
			ID:            e.id,
			Model:         "m0",
			Slots:         adapterSlots,
			LoadTime:      loadTime,
			Software:      "v1",
			StreamEvents:  streamEvents,
			EventInterval: eventInterval,
		})
		e.worker.SetFaults(standin.WorkerFaults{Slots: 64, Queue: 192})
		if err := e.start(); err != nil {
			return err
		}
		c.engines = append(c.engines, e)
	}
	go func() {
		for range time.Tick(beatInterval) {
			for _, e := range c.engines {
				e.writeEntry()
			}
		}
	}()
	for i, e := range c.engines {
		name := fmt.Sprintf("side-%s-%d", e.zone, i)
		if err := c.startProcess(name, keeperSettings, "keeper", "--node="+name, "--domain="+e.zone, "--store="+storeAddr,
			"--port="+keeperPort, "--ip="+engineHost(i), "--engine="+e.addr, "--metrics="+engineHost(i)+":"+metricsPort); err != nil {
			return err
		}
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
	time.Sleep(2 * time.Second) // for the keepers to know the gateways
	return nil
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
	usual := func() int { return rand.IntN(usualAdapters) }
	c.traffic(client, calmFor, requestRate, usual)
	if c.trouble {
		c.record.printf("rare adapters are asked for at once: %d in %v", burstAdapters, burstFor)
		c.traffic(client, burstFor, requestRate+burstRate, func() int {
			if rand.IntN(requestRate+burstRate) < burstRate {
				return usualAdapters + rand.IntN(burstAdapters)
			}
			return usual()
		})
	} else {
		c.traffic(client, burstFor, requestRate, usual)
	}
	c.traffic(client, afterBurst, requestRate, usual)
	c.record.printf("sent %d streams; answered whole %d, refused %d, lost %d, other %d; orders %d", c.sent.Load(), c.whole.Load(), c.refused.Load(), c.lost.Load(), c.other.Load(), c.orders.Load())
	c.record.printf("orders to load more than weights_mb holds: %d", c.beyond.Load())
	fmt.Printf("sent %d, lost %d, orders beyond weights_mb: %d\n", c.sent.Load(), c.lost.Load(), c.beyond.Load())
	if c.beyond.Load() > 0 {
		return exitBroken
	}
	if c.whole.Load() == 0 {
		return exitNotRun
	}
	return exitHeld
}

// traffic sends streams for some time.
func (c *testCase) traffic(client *http.Client, d time.Duration, rate float64, adapter func() int) {
	var wg sync.WaitGroup
	next := time.Now()
	end := next.Add(d)
	for next.Before(end) {
		next = next.Add(time.Duration(rand.ExpFloat64() * float64(time.Second) / rate))
		time.Sleep(time.Until(next))
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.request(client, fmt.Sprintf("%016x", rand.Uint64()), adapter())
		}()
	}
	wg.Wait()
}

// request sends a stream request.
func (c *testCase) request(client *http.Client, attempt string, adapter int) {
	g := c.gateways[rand.IntN(len(c.gateways))]
	req, err := http.NewRequest(http.MethodPost, "http://"+g+"/ask/2f", strings.NewReader("{}"))
	if err != nil {
		return
	}
	req.Host = "ask.example"
	req.Header.Set("X-Wardturn-Attempt-Id", attempt)
	req.Header.Set("X-Wardturn-Model", fmt.Sprintf("m0/a%d", adapter+1))
	req.Header.Set("X-Wardturn-Token-Count", "491,70")
	req.Header.Set("X-Wardturn-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	c.sent.Add(1)
	res, err := client.Do(req)
	if err != nil {
		c.lost.Add(1)
		c.record.printf("attempt %s: no answer: %v", attempt, err)
		return
	}
	body, err := io.ReadAll(res.Body)
	res.Body.Close()
	c.record.printf("attempt %s adapter a%d: status %d, %d bytes, error %v", attempt, adapter+1, res.StatusCode, len(body), err)
	switch {
	case err == nil && res.StatusCode == http.StatusOK:
		c.whole.Add(1)
	case res.StatusCode == http.StatusServiceUnavailable:
		c.refused.Add(1)
	case err != nil || res.StatusCode == http.StatusBadGateway:
		c.lost.Add(1)
	default:
		c.other.Add(1)
	}
}
