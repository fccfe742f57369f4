package fleet_test

import (
	"context"
	"strings"
	"testing"

	"wardturn/cli/fleet"
)

func run(args ...string) (code int, errs string) {
	var out, e strings.Builder
	code = fleet.Main(context.Background(), args, &out, &e)
	return code, e.String()
}

func TestCheckReportsAllInvalidSettings(t *testing.T) {
	code, errs := run("gateway", "--check", "--node=n", "--domain=d", "--port=7380",
		"--store=nowhere", "--listen=127.0.0.1:0", "--ready=x", "--drain=10ms", "--loads-at-start=0")
	if code != fleet.ExitUsage {
		t.Fatalf("exit %d", code)
	}
	for _, setting := range []string{"store", "ready", "drain", "loads-at-start"} {
		if !strings.Contains(errs, "bad setting: "+setting) {
			t.Errorf("no error for setting %s:\n%s", setting, errs)
		}
	}
}

func TestCheckAcceptsGoodSettings(t *testing.T) {
	code, errs := run("keeper", "--check", "--node=n", "--domain=d", "--port=7380",
		"--store=127.0.0.1:1", "--ip=127.0.0.1", "--engine=127.0.0.1:2")
	if code != fleet.ExitOK {
		t.Fatalf("exit %d: %s", code, errs)
	}
}

func TestMissingRequiredSettings(t *testing.T) {
	if code, _ := run("keeper"); code != fleet.ExitUsage {
		t.Fatalf("exit %d", code)
	}
}
