package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// daemon is a process of the system, restarted whenever it exits.
type daemon struct {
	name string
	bin  string
	args []string
	log  io.Writer

	mu           sync.Mutex
	cmd          *exec.Cmd
	closed       bool
	terminatedAt time.Time // of the latest SIGTERM
	exited       chan struct{}
	crashes      int // exits without a SIGTERM or SIGKILL from the soak
	starts       int
	signaled     bool // the running process got a SIGTERM or SIGKILL
}

func startDaemon(name, bin string, args []string, log io.Writer) (*daemon, error) {
	d := &daemon{
		name:   name,
		bin:    bin,
		args:   args,
		log:    log,
		exited: make(chan struct{}),
	}
	if err := d.launch(); err != nil {
		return nil, err
	}
	go d.supervise()
	return d, nil
}

func (d *daemon) launch() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd = exec.Command(d.bin, d.args...)
	d.cmd.Stdout = d.log
	d.cmd.Stderr = d.log
	d.signaled = false
	d.starts++
	return errors.Wrap(d.cmd.Start(), d.name)
}

// restartDelay is the time between the exit of a process and its next start.
const restartDelay = 100 * time.Millisecond

func (d *daemon) supervise() {
	defer close(d.exited)
	for {
		d.mu.Lock()
		cmd := d.cmd
		d.mu.Unlock()
		_ = cmd.Wait() // the exit status does not matter
		d.mu.Lock()
		closed := d.closed
		if !closed && !d.signaled {
			d.crashes++
		}
		d.mu.Unlock()
		if closed {
			return
		}
		time.Sleep(restartDelay)
		if err := d.launch(); err != nil {
			return
		}
	}
}

// processName returns a unique name of the running process.
func (d *daemon) processName() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprintf("%s/%d", d.name, d.starts)
}

// signal sends a signal to the running process.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if sig == syscall.SIGTERM {
		d.terminatedAt = time.Now()
	}
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		d.signaled = true
	}
	_ = d.cmd.Process.Signal(sig) // fails if the process has just exited
}

func (d *daemon) close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	<-d.exited
}

// freeAddr returns a loopback address whose port is free at present.
func freeAddr() (string, error) {
	var err error
	for range maxPortTries {
		addr := fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(portCount))
		var ln net.Listener
		if ln, err = net.Listen("tcp", addr); err == nil {
			ln.Close()
			return addr, nil
		}
	}
	return "", errors.Wrap(err, "soak")
}

// Daemons listen on the portCount ports from minPort on. These lie below the kernel's
// range of ephemeral ports, where a connection could take a port before its daemon has
// started.
const (
	minPort      = 12000
	portCount    = 18000
	maxPortTries = 20
)
