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

	mu      sync.Mutex
	cmd     *exec.Cmd
	closed  bool
	termed  time.Time // of the latest SIGTERM
	ended   chan struct{}
	crashes int // exits without a SIGTERM or SIGKILL from the soak
	starts  int
	hurt    bool // the running process got a SIGTERM or SIGKILL
}

func start(name, bin string, args []string, log io.Writer) (*daemon, error) {
	d := &daemon{
		name:  name,
		bin:   bin,
		args:  args,
		log:   log,
		ended: make(chan struct{}),
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
	d.hurt = false
	d.starts++
	return errors.Wrap(d.cmd.Start(), d.name)
}

// restartPause is the time between the exit of a process and its next start.
const restartPause = 100 * time.Millisecond

func (d *daemon) supervise() {
	defer close(d.ended)
	for {
		d.mu.Lock()
		cmd := d.cmd
		d.mu.Unlock()
		_ = cmd.Wait() // the exit status does not matter
		d.mu.Lock()
		closed := d.closed
		if !closed && !d.hurt {
			d.crashes++
		}
		d.mu.Unlock()
		if closed {
			return
		}
		time.Sleep(restartPause)
		if err := d.launch(); err != nil {
			return
		}
	}
}

// process returns a unique name of the running process.
func (d *daemon) process() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprintf("%s/%d", d.name, d.starts)
}

// signal sends a signal to the running process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s == syscall.SIGTERM {
		d.termed = time.Now()
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		d.hurt = true
	}
	_ = d.cmd.Process.Signal(s) // fails if the process has just exited
}

func (d *daemon) close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	<-d.ended
}

// freeAddr returns a loopback address whose port is free at present.
func freeAddr() (string, error) {
	var err error
	for range portTries {
		addr := fmt.Sprintf("127.0.0.1:%d", leastPort+rand.IntN(ports))
		var ln net.Listener
		if ln, err = net.Listen("tcp", addr); err == nil {
			ln.Close()
			return addr, nil
		}
	}
	return "", errors.Wrap(err, "soak")
}

// Daemons listen on ports ports from leastPort on. These lie below the kernel's range of
// ephemeral ports, where a connection could take a port before its daemon has started.
const (
	leastPort = 12000
	ports     = 18000
	portTries = 20
)
