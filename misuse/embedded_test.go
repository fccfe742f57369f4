package misuse

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"wardturn"
	"wardturn/control"
	"wardturn/driver"
	"wardturn/process"
	"wardturn/standin"
)

// embeddedRig is an entry and an agent beside a plain service, each a process, with their
// stand-ins in this process.
type embeddedRig struct {
	entry     *proc
	agent     *proc
	entryAddr string
	agentAddr string
}

// The names in the configuration of an embedded rig.
const (
	service      = "fares"
	serviceTime  = 5 * time.Millisecond
	embeddedHost = "POST /v1/services/" + service + "/x HTTP/1.1\r\nHost: h\r\n"
)

func newEmbeddedRig(t *testing.T) *embeddedRig {
	t.Helper()
	clock := process.Clock{}
	log := standin.NewLog(clock, standin.LogConfig{})
	hosts := standin.NewHostList(clock, 0)
	plain := standin.NewService(clock, serviceTime)
	x := &embeddedRig{
		entryAddr: freeAddr(t, "127.0.0.1"),
		agentAddr: freeAddr(t, "127.0.0.1"),
	}
	addrs := make([]string, 3)
	for i := range addrs {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addrs[i] = ln.Addr().String()
		switch i {
		case 0:
			t.Cleanup(standin.Serve(ln, standin.LogHandler(log)))
		case 1:
			t.Cleanup(standin.Serve(ln, standin.HostsHandler(hosts)))
		case 2:
			t.Cleanup(standin.Serve(ln, plain.Handler()))
		}
	}
	hosts.Set(wardturn.Host{
		Upstream: "u0",
		Region:   "r",
		Domain:   "d",
		Service:  service,
		Addr:     x.agentAddr,
		State:    wardturn.HostLive,
	})
	publish(t, addrs[0])
	common := []string{"--plain", "--region=r", "--domain=d", "--log-addr=" + addrs[0], "--host-list=" + addrs[1]}
	x.agent = start(t, "wardturn-agent", append(common, "--listen="+x.agentAddr, "--upstream=u0", "--upstream-addr="+addrs[2], "--service="+service)...)
	x.entry = start(t, "wardturn-entry", append(common, "--listen="+x.entryAddr, "--open")...)
	waitListening(t, x.entryAddr, x.agentAddr)
	x.requireAnswer(t)
	return x
}

// publish publishes the configuration of the service.
func publish(t *testing.T, logAddr string) {
	t.Helper()
	r := control.NewReplica(driver.NewLog(logAddr), process.Clock{}, hclog.NewNullLogger(), false)
	defer r.Close()
	_, err := r.Publish(t.Context(), control.Change{
		ID:     "misuse",
		Author: "misuse",
		Time:   time.Now(),
		Docs: []control.DocChange{{
			Key:  control.KeyOf(control.KindService, service),
			Body: []byte("team: misuse\n"),
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
}

func (x *embeddedRig) requireAnswer(t *testing.T) {
	t.Helper()
	requireAnswer(t, x.entryAddr, []byte(embeddedHost+"Content-Length: 6\r\n\r\nprompt"))
}

func (x *embeddedRig) check(t *testing.T) {
	t.Helper()
	x.requireAnswer(t)
	x.entry.check()
	x.agent.check()
}

// The entry's limits on the head and the body of a request.
const (
	entryMaxHeader = 16 << 10
	entryMaxBody   = 1 << 20
)

// Guards against an entry that callers make run out of memory or descriptors.
func TestEntryCallers(t *testing.T) {
	const end = "Content-Length: 0\r\n\r\n"
	legal := append([]byte(embeddedHost), shortLines(entryMaxHeader-len(embeddedHost)-len(end))...)
	for _, m := range []struct {
		name string
		act  act
	}{
		{"legal_heads_of_short_lines", hold(append(legal, end...))},
		{"legal_heads_without_their_last_byte", hold(append(legal, end[:len(end)-1]...))},
		{"heads_over_the_limit", hold(append([]byte(embeddedHost), shortLines(120<<10)...))},
		{"heads_without_end", endless([]byte(embeddedHost), shortLines(16<<10))},
		{"a_line_without_end", endless([]byte(embeddedHost+"X-Long: "), bytes.Repeat([]byte("x"), 16<<10))},
		{"empty_lines_before_a_request", endless([]byte("\r\n"), repeatedLines("\r\n", 16<<10))},
		{"empty_lines_after_a_request", endless([]byte(embeddedHost+end), repeatedLines("\r\n", 16<<10))},
		{"trailers_without_end", endless([]byte(embeddedHost+"Transfer-Encoding: chunked\r\nTrailer: a\r\n\r\n1\r\nx\r\n0\r\n"), shortLines(16<<10))},
		{"chunk_extensions_without_end", endless([]byte(embeddedHost+"Transfer-Encoding: chunked\r\n\r\n1;"), bytes.Repeat([]byte("x"), 16<<10))},
		{"chunks_of_one_byte", hold(append([]byte(embeddedHost+"Transfer-Encoding: chunked\r\n\r\n"), repeatedLines("1\r\nx\r\n", entryMaxBody)...))},
		{"bodies_announced_and_never_sent", hold([]byte(embeddedHost + fmt.Sprintf("Content-Length: %d\r\n\r\n", entryMaxBody)))},
		{"bodies_without_their_last_byte", hold(append([]byte(embeddedHost+fmt.Sprintf("Content-Length: %d\r\n\r\n", entryMaxBody)), bytes.Repeat([]byte("x"), entryMaxBody-1)...))},
		{"whole_bodies", hold(append([]byte(embeddedHost+fmt.Sprintf("Content-Length: %d\r\n\r\n", entryMaxBody)), bytes.Repeat([]byte("x"), entryMaxBody)...))},
		{"answers_that_are_never_read", neverRead(bytes.Repeat([]byte("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"), 500))},
		{"idle_connections", hold([]byte("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"))},
		{"connections_that_send_nothing", hold()},
	} {
		t.Run(m.name, func(t *testing.T) {
			x := newEmbeddedRig(t)
			crowd(x.entryAddr, m.act)
			x.check(t)
		})
	}
	for _, m := range []struct {
		name string
		sent string
	}{
		{"idle_connections_that_stay", "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"silent_connections_that_stay", ""},
		{"heads_that_stay", strings.TrimSuffix(embeddedHost, "\n")},
		{"bodies_that_stay", embeddedHost + "Content-Length: 1000\r\n\r\n"},
	} {
		t.Run(m.name, func(t *testing.T) {
			x := newEmbeddedRig(t)
			stay(t, x.entryAddr, func() []byte {
				return []byte(m.sent)
			})
			x.check(t)
		})
	}
}

// Guards against an agent that connections to it make run out of memory or descriptors.
func TestAgentPeers(t *testing.T) {
	checkPeers(t, func(t *testing.T) (string, func(t *testing.T)) {
		x := newEmbeddedRig(t)
		return x.agentAddr, x.check
	})
}
