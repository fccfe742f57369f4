//go:build review

// Package review3 starts the daemons beside stand-ins and sends resumable streams while the
// workers of a service crash one after the other and come back under their ids with the next
// version of their software.
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
	"regexp"
	"slices"
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
	workerCount   = 4
	gatewayCount  = 4
	requestRate   = 40 // streams a second, all clients together
	streamEvents  = 14
	eventInterval = 60 * time.Millisecond
	deadline      = 12 * time.Second
	slots         = 64
	downFor       = 2 * time.Second
	nextAfter     = 250 * time.Millisecond // from the return of one worker to the end of the next

	roundPause   = 5 * time.Second
	rounds       = 6
	startTimeout = 10 * time.Second
	beatInterval = 1200 * time.Millisecond
	maxMixed     = 2 // streams; more break the rule
)

var zones = []string{"hervanta", "lielahti", "keskusta"}

const config = `{"version":1,"routes":[
{"name":"digest","host":"digest.example","path_prefix":"/digest/","type":"streaming","timeout_ms":12000,"slo_ms":1000,"priority":0,"gap_aim_ms":400,"service":"hakemisto","max_attempts":2,"resumable":true}],
"services":[{"name":"hakemisto","max_conns":360}],
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

	sent, whole, otherStatus, cut, mixed, wrong atomic.Int64
	runs                                        sync.Map // attempt -> *[]string
}

// worker is a worker stand-in that can crash and come back.
type worker struct {
	c      *testCase
	id     string
	zone   string
	addr   string
	worker *standin.ModelWorker

	mu      sync.Mutex
	ln      net.Listener
	conns   map[net.Conn]bool
	version int
	up      bool
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Wardturn-Attempt-Id")
	v, _ := w.c.runs.LoadOrStore(attempt, &runLog{})
	v.(*runLog).add(fmt.Sprintf("%s reaches %s, software %s, Last-Event-Id %q", time.Now().Format("15:04:05.000"), w.id, w.worker.Software(), r.Header.Get("Last-Event-Id")))
	w.worker.ServeHTTP(rw, r)
}

type runLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *runLog) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
}

// start starts a lifetime at the worker's address. Its entry is in the store before it listens.
func (w *worker) start() error {
	w.mu.Lock()
	w.up = true
	w.mu.Unlock()
	w.writeEntry()
	ln, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.ln = ln
	w.conns = make(map[net.Conn]bool)
	w.mu.Unlock()
	s := &http.Server{
		Handler: w,
		ConnState: func(c net.Conn, s http.ConnState) {
			w.mu.Lock()
			defer w.mu.Unlock()
			switch s {
			case http.StateNew:
				w.conns[c] = true
			case http.StateClosed:
				delete(w.conns, c)
			}
		},
	}
	go func() { _ = s.Serve(ln) }()
	return nil
}

// crash ends the lifetime: the port refuses, and the connections are reset.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = false
	w.ln.Close()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
	w.conns = nil
}

func (w *worker) writeEntry() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up {
		w.c.store.PutServer(w.id, w.worker.Entry("hakemisto", w.addr, w.zone, "ready"))
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

func workerHost(i int) string  { return fmt.Sprintf("127.0.4.%d", 10+i) }
func gatewayHost(i int) string { return fmt.Sprintf("127.0.5.%d", 10+i) }

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
	for i := range workerCount {
		port, err := freePort(workerHost(i))
		if err != nil {
			return err
		}
		w := &worker{
			c:       c,
			id:      fmt.Sprintf("i-%08x", 0x31b10000+i),
			zone:    zones[i%len(zones)],
			addr:    net.JoinHostPort(workerHost(i), port),
			version: 1,
		}
		w.worker = standin.NewModelWorker(standin.ModelWorkerConfig{
			ID:            w.id,
			Software:      "v1",
			StreamEvents:  streamEvents,
			EventInterval: eventInterval,
		})
		w.worker.SetFaults(standin.WorkerFaults{Slots: slots, Queue: 24})
		w.worker.RestartSameID(time.Now().UnixMilli()) // reports its start from the first lifetime on
		if err := w.start(); err != nil {
			return err
		}
		c.workers = append(c.workers, w)
	}
	go func() {
		for range time.Tick(beatInterval) {
			for _, w := range c.workers {
				w.writeEntry()
			}
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
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		time.Sleep(3 * time.Second)
		for range rounds {
			if c.trouble {
				c.upgrade()
			} else {
				time.Sleep(workerCount * (downFor + nextAfter))
			}
			time.Sleep(roundPause)
		}
	}()
	var wg sync.WaitGroup
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rand.ExpFloat64() * float64(time.Second) / requestRate))
		time.Sleep(time.Until(next))
		select {
		case <-stop:
		default:
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.request(client, fmt.Sprintf("%08x%08x", n, rand.Uint32()))
			}()
			continue
		}
		break
	}
	wg.Wait()
	c.record.printf("sent %d streams; answered whole %d, visibly broken off %d, other status %d, ended properly with wrong events %d", c.sent.Load(), c.whole.Load(), c.cut.Load(), c.otherStatus.Load(), c.wrong.Load())
	c.record.printf("streams with events of two software versions: %d", c.mixed.Load())
	fmt.Printf("sent %d, mixed %d\n", c.sent.Load(), c.mixed.Load())
	if c.mixed.Load() > maxMixed {
		return exitBroken
	}
	if c.whole.Load() == 0 {
		return exitNotRun
	}
	return exitHeld
}

// upgrade has the workers crash one after the other and come back under their ids, with the
// next version of the software.
func (c *testCase) upgrade() {
	for _, w := range c.workers {
		w.crash()
		c.record.printf("%s ends, software v%d", w.id, w.version)
		time.Sleep(downFor)
		w.version++
		w.worker.SetSoftware(fmt.Sprintf("v%d", w.version))
		w.worker.RestartSameID(time.Now().UnixMilli())
		if err := w.start(); err != nil {
			c.record.printf("%s: %v", w.id, err)
			return
		}
		c.record.printf("%s is back under its id and in the store, software v%d", w.id, w.version)
		time.Sleep(nextAfter)
	}
}

var eventPattern = regexp.MustCompile(`id: (\d+)\ndata: (v\d+) (\d+)\n\n`)

// request sends a stream request and checks the answer.
func (c *testCase) request(client *http.Client, attempt string) {
	g := c.gateways[rand.IntN(len(c.gateways))]
	req, err := http.NewRequest(http.MethodPost, "http://"+g+"/digest/2f", strings.NewReader("{}"))
	if err != nil {
		return
	}
	req.Host = "digest.example"
	req.Header.Set("X-Wardturn-Attempt-Id", attempt)
	req.Header.Set("X-Wardturn-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	c.sent.Add(1)
	res, err := client.Do(req)
	if err != nil {
		c.cut.Add(1)
		c.record.printf("attempt %s at %s: no answer: %v", attempt, g, err)
		return
	}
	body, err := io.ReadAll(res.Body)
	res.Body.Close()
	if res.StatusCode != http.StatusOK {
		c.otherStatus.Add(1)
		c.record.printf("attempt %s at %s: status %d", attempt, g, res.StatusCode)
		return
	}
	var versions []string
	for _, m := range eventPattern.FindAllStringSubmatch(string(body), -1) {
		if !slices.Contains(versions, m[2]) {
			versions = append(versions, m[2])
		}
	}
	events := len(eventPattern.FindAllString(string(body), -1))
	c.record.printf("attempt %s at %s: status 200, versions %v, %d events, error %v", attempt, g, versions, events, err)
	switch {
	case len(versions) > 1:
		c.mixed.Add(1)
		if v, ok := c.runs.Load(attempt); ok {
			l := v.(*runLog)
			l.mu.Lock()
			for _, line := range l.lines {
				c.record.printf("  %s", line)
			}
			l.mu.Unlock()
		}
	case err != nil:
		c.cut.Add(1)
	case events == streamEvents:
		c.whole.Add(1)
	default:
		c.wrong.Add(1)
	}
	c.runs.Delete(attempt)
}
