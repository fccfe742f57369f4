package agent

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"wardturn"
	"wardturn/control"
	"wardturn/policy"
	"wardturn/process"
	"wardturn/standin"
)

const (
	// appendTime is far longer than a goroutine takes to start, and shorter than
	// slowSource takes to compile.
	appendTime = 20 * time.Millisecond
	// slowSource takes 0.28 to 0.45 s to compile (three compilations on an idle
	// machine), in a single step of the program.
	slowSource  = "x = len(sorted(range(10000000)))\ndef slot(a):\n  return 1\n"
	quickSource = "def slot(a):\n  return 2\n"
)

// newPlainAgent starts an agent for a plain service.
func newPlainAgent(t *testing.T, clock wardturn.Clock, log wardturn.Log, service wardturn.Service) *Agent {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	metrics := process.NewMetrics()
	t.Cleanup(metrics.Close)
	a := New(Deps{
		Config: Config{
			Upstream: "u",
			Process:  "a1",
			Region:   "r",
			Domain:   "d",
			Service:  "s",
		},
		Clock:    clock,
		Logger:   hclog.NewNullLogger(),
		Metrics:  NewMetrics(metrics.Scope),
		Log:      log,
		Hosts:    standin.NewHostList(clock, 0),
		Service:  service,
		Policy:   policy.Default{},
		Listener: ln,
	})
	t.Cleanup(a.Close)
	return a
}

func publishPolicy(t *testing.T, a *Agent, name, source string) {
	t.Helper()
	body := "active: true\nsource: |\n  " + strings.ReplaceAll(source, "\n", "\n  ")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err := a.replica.Publish(ctx, control.Change{
		ID: control.PublicationID(name),
		Docs: []control.DocChange{{
			Key:  control.KeyOf(control.KindPolicy, name),
			Body: []byte(body),
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestNewerPolicyStaysCurrent checks that a policy that takes long to compile, as at the
// start of the agent, does not replace a policy that was published meanwhile.
func TestNewerPolicyStaysCurrent(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := process.Clock{}
	log := standin.NewLog(clock, standin.LogConfig{
		Latency: appendTime,
	})
	a := newPlainAgent(t, clock, log, nil)
	currentPolicy := func() string { return a.Status().Policy }
	publishPolicy(t, a, "slow", slowSource)
	g.Eventually(currentPolicy).WithTimeout(20 * time.Second).Should(gomega.Equal("slow"))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.applyPolicy()
	}()
	publishPolicy(t, a, "quick", quickSource)
	g.Eventually(ended).WithTimeout(20 * time.Second).Should(gomega.BeClosed())
	g.Eventually(a.replica.AppliedOffset).WithTimeout(20 * time.Second).Should(gomega.BeNumerically(">=", 2))
	g.Expect(currentPolicy()).To(gomega.Equal("quick"))
}
