package misuse

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The machine of a tested process has the least memory that the settings allow, and few
// descriptors, so that a small crowd reaches the limits.
const (
	machineMemoryMB    = 64
	machineDescriptors = 600
	// fileDescriptors are kept for files; sockets and pipes share the others.
	fileDescriptors = 200
)

// The bounds of all tests.
const (
	maxMemoryKB    = machineMemoryMB << 10
	maxDescriptors = machineDescriptors - fileDescriptors
)

const (
	startTimeout     = 15 * time.Second
	samplingInterval = 10 * time.Millisecond
)

var binaries string // directory of the processes' executables

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "misuse")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "wardturn/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binaries = dir
	return m.Run()
}

// proc is a process of the system on its machine.
type proc struct {
	t      *testing.T
	cmd    *exec.Cmd
	output logBuffer
	exited chan struct{}
	stop   chan struct{}
	done   chan struct{} // closed when sampling has ended

	mu             sync.Mutex
	maxDescriptors int
}

// logBuffer keeps the output of a process.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// lastLines returns the last lines of the output.
func (b *logBuffer) lastLines(n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(b.buf.String()), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// start starts a process with the settings of its machine. Settings that a program does not know
// are ignored.
func start(t *testing.T, program string, args ...string) *proc {
	t.Helper()
	settings := filepath.Join(t.TempDir(), "settings")
	text := fmt.Sprintf("memory-mb=%d\nmax-descriptors=%d\n", machineMemoryMB, machineDescriptors)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &proc{
		t:      t,
		exited: make(chan struct{}),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, machineDescriptors)
	p.cmd = exec.Command("/bin/sh", append([]string{"-c", script, filepath.Join(binaries, program)}, args...)...)
	p.cmd.Env = append(os.Environ(),
		"WARDTURN_SETTINGS="+settings,
		fmt.Sprintf("WARDTURN_MEMORY_MB=%d", machineMemoryMB),
		fmt.Sprintf("WARDTURN_MAX_DESCRIPTORS=%d", machineDescriptors),
	)
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait() // the exit status is not needed
		close(p.exited)
	}()
	go p.sample()
	t.Cleanup(p.end)
	return p
}

// end kills the process.
func (p *proc) end() {
	close(p.stop)
	<-p.done
	_ = p.cmd.Process.Signal(syscall.SIGKILL) // fails if it has ended
	<-p.exited
}

// runawayKB is the memory from which on a process is ended, before it takes that of the host.
const runawayKB = 8 * maxMemoryKB

// sample records how many descriptors are open, and ends a process that takes far too much memory.
func (p *proc) sample() {
	defer close(p.done)
	for {
		select {
		case <-p.stop:
			return
		case <-p.exited:
			return
		case <-time.After(samplingInterval):
		}
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		if err != nil {
			continue // the process is ending
		}
		p.mu.Lock()
		p.maxDescriptors = max(p.maxDescriptors, len(entries))
		p.mu.Unlock()
		if memory := p.memoryKB(); memory > runawayKB {
			fmt.Fprintf(&p.output, "ended by the test, used %d KB of memory\n", memory)
			_ = p.cmd.Process.Signal(syscall.SIGKILL) // fails if it has ended
		}
	}
}

// memoryKB returns the largest resident memory so far, in KB, or zero if the process has ended.
func (p *proc) memoryKB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// alive reports whether the process runs.
func (p *proc) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// check checks the bounds.
func (p *proc) check() {
	p.t.Helper()
	if !p.alive() {
		p.t.Errorf("the process has ended:\n%s", p.output.lastLines(30))
		return
	}
	memory := p.memoryKB()
	p.mu.Lock()
	descriptors := p.maxDescriptors
	p.mu.Unlock()
	p.t.Logf("at most %d KB of memory and %d descriptors", memory, descriptors)
	if memory > maxMemoryKB {
		p.t.Errorf("used %d KB of memory, the machine has %d", memory, maxMemoryKB)
	}
	if descriptors > maxDescriptors {
		p.t.Errorf("%d descriptors were open, want at most %d", descriptors, maxDescriptors)
	}
}

// freeAddr returns a loopback address that is free at present, below the range of ephemeral ports.
func freeAddr(t *testing.T, host string) string {
	t.Helper()
	for port := 11000 + os.Getpid()%1000; port < 13000; port++ {
		ln, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
		if err != nil {
			continue
		}
		ln.Close()
		if usedPorts[port] {
			continue
		}
		usedPorts[port] = true
		return net.JoinHostPort(host, strconv.Itoa(port))
	}
	t.Fatal("no port is free")
	return ""
}

var usedPorts = make(map[int]bool)
