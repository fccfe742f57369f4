package process_test

import (
	"io"
	"net"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"wardturn/process"
)

// Guards against a listener whose idle connections keep out new ones, and against requests that are
// broken off for new connections.
func TestConnLimitClosesTheIdlest(t *testing.T) {
	limit := process.NewConnLimit("test", 3, process.Clock{}, hclog.NewNullLogger(), tally.NoopScope)
	var slots []*process.ConnSlot
	var callers []net.Conn
	admit := func() *process.ConnSlot {
		caller, accepted := net.Pipe()
		t.Cleanup(func() { caller.Close() })
		callers = append(callers, caller)
		s := limit.Admit(accepted)
		slots = append(slots, s)
		return s
	}
	for range 3 {
		admit()
	}
	if !slots[0].Busy() {
		t.Fatal("the first connection is closed")
	}
	if admit() == nil {
		t.Fatal("a new connection is refused while others are idle")
	}
	if _, err := callers[1].Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the connection that was idle longest is open: %v", err)
	}
	if slots[1].Busy() {
		t.Error("a closed connection begins a request")
	}
	slots[0].Idle()
	if !slots[2].Busy() || !slots[3].Busy() || !slots[0].Busy() {
		t.Fatal("connections that are open do not begin requests")
	}
	if admit() != nil {
		t.Error("a connection too many is accepted while all are busy")
	}
	slots[3].Free()
	if admit() == nil {
		t.Error("a connection is refused though a slot is free")
	}
}

func TestMachineConnections(t *testing.T) {
	for _, c := range []struct {
		memoryMB    int64
		descriptors int
		want        int
	}{
		{64, 600, 160},
		{144, 3075, 1150},
		{284, 4100, 1560},
		{64, 1 << 20, 512}, // by memory
	} {
		m := process.Machine{
			Memory:      c.memoryMB << 20,
			Descriptors: c.descriptors,
		}
		if got := m.MaxConnections(); got != c.want {
			t.Errorf("%d MB and %d descriptors: %d connections, want %d", c.memoryMB, c.descriptors, got, c.want)
		}
	}
}
