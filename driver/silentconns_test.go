package driver_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"wardturn/driver"
	"wardturn/process"
	"wardturn/standin"
)

const silentCallTimeout = 300 * time.Millisecond // of each call in these tests

// callsAfterSilence opens four connections with concurrent calls, makes them silent, and
// returns the number of calls until one succeeds, up to five.
func callsAfterSilence(t *testing.T, proxy *standin.FaultProxy, call func(context.Context) error) int {
	t.Helper()
	proxy.Delay(50 * time.Millisecond)
	var calls sync.WaitGroup
	for range 4 {
		calls.Go(func() {
			if err := call(context.Background()); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	proxy.Delay(0)
	proxy.SilenceConns()
	for n := 1; n <= 5; n++ {
		ctx, cancel := context.WithTimeout(context.Background(), silentCallTimeout)
		err := call(ctx)
		cancel()
		if err == nil {
			return n
		}
		time.Sleep(20 * time.Millisecond) // the call returns a moment before its connection is closed
	}
	return 5
}

// Former versions used one silent connection after the other.
func TestLogConnectionsGoSilent(t *testing.T) {
	log := standin.NewLog(process.Clock{}, standin.LogConfig{})
	proxy, err := standin.NewFaultProxy(startServer(t, standin.LogHandler(log)))
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	first, err := log.Append(context.Background(), []byte("x"))
	if err != nil {
		t.Fatal(err)
	}
	l := driver.NewLog(proxy.Addr())
	if n := callsAfterSilence(t, proxy, func(ctx context.Context) error {
		_, err := l.Read(ctx, first, 1, 0)
		return err
	}); n != 2 {
		t.Errorf("call %d was the first to succeed, want 2", n)
	}
	if n := callsAfterSilence(t, proxy, func(ctx context.Context) error {
		_, err := l.Append(ctx, []byte("x"))
		return err
	}); n != 2 {
		t.Errorf("append %d was the first to succeed, want 2", n)
	}
}
