package cli_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"flag"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"wardturn/cli"
	"wardturn/process"
	"wardturn/standin"
)

var update = flag.Bool("update", false, "write the golden files")

// golden compares output with a golden file in testdata.
func golden(t *testing.T, name string, got string) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if string(want) != got {
		t.Errorf("%s differs; got:\n%s", name, got)
	}
}

type result struct {
	code     int
	out, err string
}

func run(main func(context.Context, []string, cli.Streams) int, args ...string) result {
	os.Setenv("COLUMNS", "80") // the width of help texts
	var out, errs bytes.Buffer
	code := main(context.Background(), args, cli.Streams{
		In:  strings.NewReader(""),
		Out: &out,
		Err: &errs,
	})
	return result{code, out.String(), errs.String()}
}

func TestHelp(t *testing.T) {
	golden(t, "wardturn.help", run(cli.Main, "--help").out)
	golden(t, "wardturn-agent.help", run(cli.AgentMain, "--help").out)
	golden(t, "wardturn-entry.help", run(cli.EntryMain, "--help").out)
}

func TestAllInvalidSettingsAreReported(t *testing.T) {
	r := run(cli.EntryMain,
		"--listen=nowhere", "--region=a b", "--domain=d", "--log-addr=127.0.0.1:1", "--host-list=x",
		"--plain", "--caller-keys=me:short", "--retry-share=3")
	if r.code != cli.ExitUsage {
		t.Errorf("exit code %d", r.code)
	}
	golden(t, "bad-entry-settings", r.err)
	r = run(cli.AgentMain,
		"--listen=127.0.0.1:0", "--region=r", "--domain=d", "--log-addr=127.0.0.1:1", "--host-list=127.0.0.1:1",
		"--upstream=u", "--upstream-addr=127.0.0.1:1", "--model=m", "--service=s", "--no-checks-fences", "--store-rate=0")
	if r.code != cli.ExitUsage {
		t.Errorf("exit code %d", r.code)
	}
	golden(t, "bad-agent-settings", r.err)
}

func TestPlainOnlyOnLoopback(t *testing.T) {
	r := run(cli.EntryMain, "--listen=10.0.0.1:80", "--region=r", "--domain=d", "--log-addr=127.0.0.1:1", "--host-list=127.0.0.1:1", "--plain", "--check")
	if r.code != cli.ExitUsage || !strings.Contains(r.err, "not a loopback address") {
		t.Errorf("%d %s", r.code, r.err)
	}
	r = run(cli.EntryMain, "--listen=127.0.0.1:0", "--region=r", "--domain=d", "--log-addr=127.0.0.1:1", "--host-list=127.0.0.1:1", "--plain", "--check")
	if r.code != cli.ExitOK || r.err != "" {
		t.Errorf("%d %s", r.code, r.err)
	}
}

func TestGuardKeepsSecondAgentOut(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	r := run(cli.AgentMain, "--plain", "--listen=127.0.0.1:0", "--region=r", "--domain=d", "--log-addr=127.0.0.1:1",
		"--host-list=127.0.0.1:1", "--upstream=u", "--upstream-addr=127.0.0.1:1", "--model=m",
		"--no-checks-fences", "--guard-addr="+ln.Addr().String())
	if r.code != cli.ExitFailure || !strings.Contains(r.err, "another agent") {
		t.Errorf("%d %s", r.code, r.err)
	}
}

func TestPolicyCheck(t *testing.T) {
	good := filepath.Join(t.TempDir(), "good.star")
	writeFile(t, good, "def slot(a):\n  return a.rate\n\ndef hold(r):\n  return 5\n")
	r := run(cli.Main, "policy", "check", good)
	if r.code != cli.ExitOK {
		t.Errorf("%d %s", r.code, r.err)
	}
	golden(t, "policy-check", r.out)
	bad := filepath.Join(t.TempDir(), "bad.star")
	writeFile(t, bad, "def slot(a):\n  return a.rate / 0\n")
	r = run(cli.Main, "policy", "check", bad)
	if r.code != cli.ExitFailure || !strings.Contains(r.err, "bad.star:2:17: floating-point division by zero") {
		t.Errorf("%d %s", r.code, r.err)
	}
}

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

func TestTraceAndCompareGolden(t *testing.T) {
	trace := filepath.Join(t.TempDir(), "t.jsonl")
	r := run(cli.Main, "trace", "--profile=zurich", "--seed=3", "--duration=20s", "--rate=10", "--deadline=10s")
	if r.code != cli.ExitOK {
		t.Fatal(r.err)
	}
	writeFile(t, trace, r.out)
	golden(t, "trace-head", strings.Join(strings.SplitAfterN(r.out, "\n", 4)[:3], ""))
	r = run(cli.Main, "compare", "-q", "--json", "--trace="+trace, "--policy=zurich", "--policy=builtin:lru", "--fault=store-slow@5s+5s*3")
	if r.code != cli.ExitOK {
		t.Fatal(r.err)
	}
	golden(t, "compare.json", r.out)
	for _, name := range []string{"p.svg", "p.png"} {
		plot := filepath.Join(t.TempDir(), name)
		if r := run(cli.Main, "compare", "-q", "--trace="+trace, "--policy=zurich", "--plot="+plot); r.code != cli.ExitOK {
			t.Fatal(r.err)
		}
		if info, err := os.Stat(plot); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestCompareRejectsBadInput(t *testing.T) {
	trace := filepath.Join(t.TempDir(), "t.jsonl")
	writeFile(t, trace, `{"at_ms":1,"caller":"c","adapter":"a","version":1,"class":"x","prompt_tokens":1,"output_tokens":1}`+"\n")
	r := run(cli.Main, "compare", "--trace="+trace, "--policy=zurich")
	if r.code != cli.ExitFailure || !strings.Contains(r.err, "t.jsonl:1: class") {
		t.Errorf("%d %s", r.code, r.err)
	}
	for _, args := range [][]string{
		{"compare", "--trace=" + trace, "--policy=builtin:nothing"},
		{"compare", "--trace=" + trace, "--policy=zurich", "--slots=0"},
		{"compare", "--trace=" + trace, "--policy=zurich", "--fault=fire@3s"},
		{"compare", "--trace=/nowhere", "--policy=zurich"},
		{"compare", "--policy=zurich"},
		{"trace", "--profile=bern"},
	} {
		if r := run(cli.Main, args...); r.code != cli.ExitUsage {
			t.Errorf("%v: exit code %d, %s", args, r.code, r.err)
		}
	}
}

// certificate returns a self-signed certificate and its key in PEM.
func certificate(t *testing.T) (certPEM, keyPEM string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "wardturn"},
		DNSNames:              []string{"wardturn"},
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})),
		string(pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}))
}

// TestProcessesOverTLS runs an agent and an entry by their main functions, with mutual
// TLS between them and TLS for the caller, and sends a request through both. The agent
// must reject a client certificate that its CA did not sign.
func TestProcessesOverTLS(t *testing.T) {
	cert, key := certificate(t)
	untrustedCert, untrustedKey := certificate(t)
	platform := newTestPlatform(t)
	shared := []string{
		"--region=r", "--domain=d", "--log-addr=" + platform.log, "--host-list=" + platform.hosts,
		"--tls-cert=" + cert, "--tls-key=" + key, "--tls-ca=" + cert,
	}
	agentAddr := start(t, cli.AgentMain, append(shared, "--upstream=u", "--upstream-addr="+platform.engine, "--model=base", "--store-agents=1"))
	platform.addHost(agentAddr)
	entryAddr := start(t, cli.EntryMain, append(shared, "--caller-keys=me:"+keyDigest("secret")))
	c := httpsClient(t, cert)
	waitFor(t, "readiness", func() bool { return c.status("https://"+entryAddr+"/readyz", "") == 200 })
	waitFor(t, "an answer", func() bool {
		return c.complete("https://"+entryAddr+"/v1/completions", "secret") == 200
	})
	if got := c.complete("https://"+entryAddr+"/v1/completions", "wrong"); got != 401 {
		t.Errorf("status %d for a wrong key", got)
	}
	if err := dialTLS(agentAddr, untrustedCert, untrustedKey, cert); err == nil {
		t.Error("the agent accepted a certificate that its CA did not sign")
	}
	if err := dialTLS(agentAddr, cert, key, cert); err != nil {
		t.Errorf("the agent rejected a valid certificate: %v", err)
	}
}

// testPlatform has the addresses of stand-ins for the services that daemons depend on.
// list adds an agent to the list of hosts.
type testPlatform struct {
	log, hosts, engine string
	addHost            func(agentAddr string)
}

// newTestPlatform serves stand-ins on loopback, with one adapter published.
func newTestPlatform(t *testing.T) testPlatform {
	t.Helper()
	clock := process.Clock{}
	log := standin.NewLog(clock, standin.LogConfig{})
	hosts := standin.NewHostList(clock, 0)
	store := standin.NewStore(clock, standin.StoreConfig{
		Rate:        100,
		MaxParallel: 4,
		FetchTime:   time.Millisecond,
	})
	cfg := standin.DefaultEngine()
	cfg.ReportAge = 0
	engine := standin.NewEngine(clock, store, cfg)
	publishAdapter(t, log)
	return testPlatform{
		log:    listenAndServe(t, standin.LogHandler(log)),
		hosts:  listenAndServe(t, standin.HostsHandler(hosts)),
		engine: listenAndServe(t, standin.EngineHandler(engine)),
		addHost: func(addr string) {
			hosts.Set(testHost(addr))
		},
	}
}
