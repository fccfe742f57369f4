package misuse

import (
	"bytes"
	"testing"
)

// probeMisuse are the forms of misuse of a listener for probes: readiness or metrics.
var probeMisuse = []struct {
	name string
	act  act
}{
	{"heads_of_short_lines", hold([]byte("GET / HTTP/1.1\r\nHost: h\r\n"), shortLines(900<<10))},
	{"heads_without_end", endless([]byte("GET / HTTP/1.1\r\nHost: h\r\n"), shortLines(16<<10))},
	{"a_line_without_end", endless([]byte("GET / HTTP/1.1\r\nHost: h\r\nX-Long: "), bytes.Repeat([]byte("x"), 16<<10))},
	{"empty_lines", endless([]byte("\r\n"), repeatedLines("\r\n", 16<<10))},
	{"bodies", endless([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000\r\n\r\n"), bytes.Repeat([]byte("x"), 16<<10))},
	{"idle_connections", hold([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))},
	{"connections_that_send_nothing", hold()},
	{"answers_that_are_never_read", neverRead(bytes.Repeat([]byte("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"), 500))},
}

// checkProbes misuses one listener of a new rig in each form.
func checkProbes(t *testing.T, addr func(*gatewayRig) string) {
	for _, m := range probeMisuse {
		t.Run(m.name, func(t *testing.T) {
			x := newGatewayRig(t)
			crowd(addr(x), m.act)
			x.check(t)
		})
	}
	for _, m := range []struct {
		name string
		sent string
	}{
		{"idle_connections_that_stay", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"silent_connections_that_stay", ""},
		{"bodies_that_stay", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n"},
	} {
		t.Run(m.name, func(t *testing.T) {
			x := newGatewayRig(t)
			stay(t, addr(x), func() []byte {
				return []byte(m.sent)
			})
			x.check(t)
		})
	}
}

// Guards against a gateway that clients of its readiness probe make run out of memory or descriptors.
func TestReadinessClients(t *testing.T) {
	checkProbes(t, func(x *gatewayRig) string {
		return x.ready
	})
}

// Guards against a gateway that clients of its metrics make run out of memory or descriptors.
func TestGatewayMetricsClients(t *testing.T) {
	checkProbes(t, func(x *gatewayRig) string {
		return x.metrics
	})
}

// Guards against a keeper that clients of its metrics make run out of memory or descriptors.
func TestKeeperMetricsClients(t *testing.T) {
	checkProbes(t, func(x *gatewayRig) string {
		return x.keeperMetrics
	})
}
