//go:build review

// Package cases2 holds the scripts of the second review. Each case starts the daemons as
// processes, plays the platform, the servers and the clients on loopback, and writes what it
// saw to a record.
package cases2

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"wardturn/standin"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by the name in CASE.
var cases = map[string]func(*rig) (broken bool){}

// TestMain runs the case that CASE names.
func TestMain(*testing.M) {
	run := cases[os.Getenv("CASE")]
	if run == nil {
		fmt.Fprintln(os.Stderr, "CASE names no case")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(run))
}

// runCase runs a case and returns the exit code.
func runCase(run func(*rig) bool) (code int) {
	x := &rig{
		trouble: os.Getenv("TROUBLE") != "0",
		fleet:   os.Getenv("FLEET"),
	}
	defer x.finish()
	defer func() {
		if p := recover(); p != nil {
			x.close()
			x.note("RESULT the case could not run: %v", p)
			fmt.Fprintln(os.Stderr, "the case could not run:", p)
			code = exitNotRun
		}
	}()
	x.start()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ended
		x.close()
		os.Exit(exitNotRun)
	}()
	broken := run(x)
	x.close()
	if broken {
		x.note("RESULT the rule was broken")
		return exitBroken
	}
	x.note("RESULT the rule held")
	return exitHeld
}

// rig is the platform with its store, and the daemons.
type rig struct {
	trouble bool   // the disruption is played
	fleet   string // the daemons' program
	dir     string
	began   time.Time

	mu        sync.Mutex
	record    *os.File
	store     *standin.MetaStore
	storeAddr string
	servers   []*server
	procs     []*daemon
	keepers   string // their port
	stop      chan struct{}
}

// must ends a case that cannot run.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// note writes a line to the record.
func (x *rig) note(format string, args ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.record != nil {
		fmt.Fprintf(x.record, "%8.3f %s\n", time.Since(x.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (x *rig) start() {
	x.began = time.Now()
	x.stop = make(chan struct{})
	f, err := os.Create(os.Getenv("RECORD"))
	must(err)
	x.record = f
	x.dir, err = os.MkdirTemp("", "review")
	must(err)
	x.store = standin.NewMetaStore()
	x.storeAddr = serve("127.0.0.1:0", x.store)
	x.keepers = fmt.Sprint(freePort())
	go func() {
		for {
			select {
			case <-x.stop:
				return
			case <-time.After(time.Second):
			}
			x.mu.Lock()
			list := append([]*server(nil), x.servers...)
			x.mu.Unlock()
			for _, s := range list {
				s.beat()
			}
		}
	}()
}

// close ends the daemons.
func (x *rig) close() {
	if x.stop != nil {
		close(x.stop)
		x.stop = nil
	}
	for _, d := range x.procs {
		d.end()
	}
	x.procs = nil
}

// finish closes the record and removes the temporary folder.
func (x *rig) finish() {
	if x.record != nil {
		x.record.Close()
	}
	if x.dir != "" {
		_ = os.RemoveAll(x.dir)
	}
}

// serve serves HTTP on an address and returns it with its port.
func serve(addr string, h http.Handler) string {
	ln, err := net.Listen("tcp", addr)
	must(err)
	go func() { _ = http.Serve(ln, h) }()
	return ln.Addr().String()
}

// freePort returns a port that is free on the loopback addresses of a case.
func freePort() int {
	for range 50 {
		first, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		port := first.Addr().(*net.TCPAddr).Port
		listeners, free := []net.Listener{first}, true
		for i := range 10 {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:%d", 11+i, port))
			if err != nil {
				free = false
				break
			}
			listeners = append(listeners, ln)
		}
		for _, ln := range listeners {
			ln.Close()
		}
		if free {
			return port
		}
	}
	panic("no free port")
}

// server is a worker of the platform with its entry in the store.
type server struct {
	x       *rig
	worker  *standin.ModelWorker
	id      string
	service string
	addr    string
	zone    string

	mu     sync.Mutex
	state  string
	silent bool // its entry is not renewed
}

// beat writes the entry of a server.
func (s *server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.silent {
		s.x.store.PutServer(s.id, s.worker.Entry(s.service, s.addr, s.zone, s.state))
	}
}

// addServer starts a worker behind a handler; nil means the worker itself.
func (x *rig) addServer(service, host, zone string, cfg standin.ModelWorkerConfig, wrap func(http.Handler) http.Handler) *server {
	s := &server{
		x:       x,
		worker:  standin.NewModelWorker(cfg),
		id:      cfg.ID,
		service: service,
		zone:    zone,
		state:   "ready",
	}
	var h http.Handler = s.worker
	if wrap != nil {
		h = wrap(h)
	}
	s.addr = serve(host+":0", h)
	x.mu.Lock()
	x.servers = append(x.servers, s)
	x.mu.Unlock()
	s.beat()
	return s
}

// daemon is a process of the system.
type daemon struct {
	x    *rig
	name string
	args []string
	conf string

	mu     sync.Mutex
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
	ended  bool // by the case
	peak   int  // most memory seen, in MB
	overs  int  // ends for its memory
}

// startDaemon starts a daemon with its settings file.
func (x *rig) startDaemon(name, settings string, args ...string) *daemon {
	d := &daemon{
		x:    x,
		name: name,
		args: args,
		conf: filepath.Join(x.dir, name+".conf"),
	}
	must(os.WriteFile(d.conf, []byte(settings), 0o600))
	d.run()
	x.procs = append(x.procs, d)
	return d
}

func (d *daemon) run() {
	log, err := os.OpenFile(filepath.Join(d.x.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command(d.x.fleet, d.args...)
	cmd.Env = append(os.Environ(), "WARDTURN_SETTINGS="+d.conf)
	cmd.Stdout, cmd.Stderr = log, log
	must(cmd.Start())
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.log, d.exited, d.ended = cmd, log, exited, false
	d.mu.Unlock()
	d.x.note("PROCESS %s started", d.name)
	go func() {
		err := cmd.Wait()
		d.mu.Lock()
		own := !d.ended
		d.mu.Unlock()
		d.x.note("PROCESS %s ended: %v (by itself: %v)", d.name, err, own)
		close(exited)
	}()
}

// signal sends a signal to the process.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = d.ended || sig == syscall.SIGKILL || sig == syscall.SIGTERM
	d.x.note("PROCESS %s gets %v", d.name, sig)
	_ = d.cmd.Process.Signal(sig)
}

// end ends the process.
func (d *daemon) end() {
	select {
	case <-d.exited:
	default:
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		<-d.exited
	}
	if keep := os.Getenv("KEEPLOGS"); keep != "" {
		b, _ := os.ReadFile(filepath.Join(d.x.dir, d.name+".log"))
		_ = os.WriteFile(filepath.Join(keep, d.name+".log"), b, 0o600)
	}
}

// gatewaySettings is deploy/gateway.conf with the values of a small deployment.
const gatewaySettings = `drain=2000ms
grace=8s
retry-share=0.2
retry-extra=54
retry-window=10s
version-bound=5000ms
key-bound=0s
cold-overage=
cold-slack=
regions=a=r,b=r,c=r
memory-mb=284
max-descriptors=4100
`

// keeperSettings is deploy/keeper.conf with the values of a small deployment.
const keeperSettings = `log-level=info
memory-mb=216
max-descriptors=4096
`

// front is a gateway.
type front struct {
	*daemon
	addr  string
	ready string
}

// startGateway starts a gateway with the command of deploy/system.toml.
func (x *rig) startGateway(name, zone, host string) *front {
	g := &front{
		addr:  fmt.Sprintf("%s:%d", host, freePort()),
		ready: fmt.Sprintf("%s:%d", host, freePort()),
	}
	g.daemon = x.startDaemon(name, gatewaySettings, "gateway", "--node="+name, "--domain="+zone, "--store="+x.storeAddr, "--port="+x.keepers,
		"--listen="+g.addr, "--ready="+g.ready, fmt.Sprintf("--metrics=%s:%d", host, freePort()))
	return g
}

// startKeeper starts the keeper beside an engine.
func (x *rig) startKeeper(name string, s *server) *daemon {
	host, _, err := net.SplitHostPort(s.addr)
	must(err)
	return x.startDaemon(name, keeperSettings, "keeper", "--node="+name, "--domain="+s.zone, "--store="+x.storeAddr, "--port="+x.keepers,
		"--ip="+host, "--engine="+s.addr, fmt.Sprintf("--metrics=%s:%d", host, freePort()))
}

// awaitReady waits until a gateway says that it is ready.
func (g *front) awaitReady() {
	for range 200 {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/wardturn/readyz", nil)
		must(err)
		res, err := http.DefaultClient.Do(req)
		if err == nil {
			res.Body.Close()
		}
		cancel()
		if err == nil && res.StatusCode == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	panic("gateway " + g.name + " is not ready")
}

// answer is what a client got for a request.
type answer struct {
	status int
	seal   string
	body   string
	whole  bool // the answer looks complete
	err    error

	retryAfter time.Duration
}

func (a answer) String() string {
	return fmt.Sprintf("status %d seal %q whole %v body %q error %v", a.status, a.seal, a.whole, a.body, a.err)
}

// readAnswer reads an answer to a request with a method.
func readAnswer(br *bufio.Reader, method string) answer {
	res, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	var b strings.Builder
	_, err = bufio.NewReader(res.Body).WriteTo(&b)
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	return answer{
		retryAfter: time.Duration(seconds * float64(time.Second)),

		status: res.StatusCode,
		seal:   res.Header.Get("X-Wardturn-Server-Seal"),
		body:   b.String(),
		whole:  err == nil,
		err:    err,
	}
}

// smallConfig is the configuration of a small deployment.
const smallConfig = `{"version":1,"routes":[
{"name":"ask","host":"h","path_prefix":"/ask/","type":"streaming","timeout_ms":6000,"slo_ms":600,"priority":0,"gap_aim_ms":400,"service":"llm","max_attempts":1,"sticky":true},
{"name":"book","host":"h","path_prefix":"/book/","type":"mutating","timeout_ms":1000,"slo_ms":150,"priority":2,"service":"app","max_attempts":1},
{"name":"look","host":"h","path_prefix":"/look/","type":"idempotent","timeout_ms":1000,"slo_ms":150,"priority":2,"service":"app","max_attempts":2}],
"services":[{"name":"llm","max_conns":360,"engine":{"slots":64,"adapter_slots":18,"weights_mb":66600,"kv_capacity":232000,"models":[{"name":"m0","weights_mb":65100,"load_s":0.1,"adapters":3000,"adapter_size_mb":12}]}},{"name":"app","max_conns":100}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`
