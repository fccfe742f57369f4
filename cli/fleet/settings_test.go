package fleet_test

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"wardturn/cli/fleet"
)

// logBuffer collects a daemon's log so that a test can read it while the daemon runs.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// await waits until the log contains text at least the given number of times.
func (b *logBuffer) await(t *testing.T, text string, times int) {
	t.Helper()
	for range 1000 {
		b.mu.Lock()
		n := strings.Count(b.text.String(), text)
		b.mu.Unlock()
		if n >= times {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%q is not in the log %d times:\n%s", text, times, b.text.String())
}

func writeSettings(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func keeperArgs(more ...string) []string {
	return append([]string{"keeper", "--node=n", "--domain=d", "--port=0", "--store=127.0.0.1:1", "--ip=127.0.0.1", "--engine=127.0.0.1:2"}, more...)
}

func TestSettingsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	writeSettings(t, path, "log-level=noise\nretry-share=\nnot.ours=1\n")
	if code, errs := run(keeperArgs("--check", "--settings="+path)...); code != fleet.ExitUsage || !strings.Contains(errs, "log-level") {
		t.Errorf("an invalid value in the file: exit %d: %s", code, errs)
	}
	if code, errs := run(keeperArgs("--check", "--settings="+path, "--log-level=warn")...); code != fleet.ExitOK {
		t.Errorf("the command line does not override the file: exit %d: %s", code, errs)
	}
	t.Setenv("WARDTURN_LOG_LEVEL", "warn")
	if code, errs := run(keeperArgs("--check", "--settings", path)...); code != fleet.ExitOK {
		t.Errorf("the environment does not override the file: exit %d: %s", code, errs)
	}
	if code, _ := run(keeperArgs("--check", "--settings="+path+".missing")...); code == fleet.ExitOK {
		t.Error("a missing file is accepted")
	}
}

func TestSettingsAreReloaded(t *testing.T) {
	signal.Ignore(syscall.SIGHUP)
	path := filepath.Join(t.TempDir(), "settings")
	writeSettings(t, path, "log-level=info\n")
	ctx, stop := context.WithCancel(context.Background())
	var log, errs logBuffer
	var wg sync.WaitGroup
	wg.Go(func() {
		fleet.Main(ctx, keeperArgs("--settings="+path), &log, &errs)
	})
	defer wg.Wait()
	defer stop()
	log.await(t, "keeper started", 1)
	time.Sleep(50 * time.Millisecond) // so that the modification time differs
	writeSettings(t, path, "log-level=debug\n")
	log.await(t, "settings read again: log_level=debug", 1)
	writeSettings(t, path, "log-level=noise\n")
	log.await(t, "settings not understood", 1)
	writeSettings(t, path, "log-level=warn\nengine=127.0.0.1:3\n")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	writeSettings(t, path, "log-level=info\n")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	log.await(t, "settings read again: log_level=info", 1)
}
