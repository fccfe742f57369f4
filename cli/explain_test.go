package cli_test

import (
	"context"
	"strings"
	"testing"

	"wardturn/cli"
)

const explainLog = `  1.0 edge-1 10:00:01.000 [INFO]  gateway: adapter there: adapter=a7 upstream=i-2 took=200ms
  1.2 edge-1 10:00:08.000 [INFO]  gateway: adapter there: adapter=a9 upstream=i-1 took=200ms
  1.3 edge-2 10:00:09.000 [INFO]  gateway: adapter there: adapter=a7 upstream=i-1 took=1.2s
  1.4 edge-1 10:00:09.500 [WARN]  gateway: store away, the present configuration stays: error="status 503"
  1.5 edge-1 10:00:10.000 [INFO]  gateway: refused: id=r1 reason=adapter_loading adapter=a7 waited=420ms
  1.6 edge-1 10:00:10.100 [INFO]  gateway: refused: id=r2 reason=adapter_loading adapter=a7 waited=420ms
no time here id=r1
`

func TestExplain(t *testing.T) {
	var out, errs strings.Builder
	code := cli.Main(context.Background(), []string{"explain", "r1"}, cli.Streams{
		In:  strings.NewReader(explainLog),
		Out: &out,
		Err: &errs,
	})
	if code != cli.ExitOK {
		t.Fatalf("exit %d: %s", code, errs.String())
	}
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(got) != 3 {
		t.Fatalf("%d lines:\n%s", len(got), out.String())
	}
	for i, want := range []string{"adapter=a7 upstream=i-1", "store away", "id=r1"} {
		if !strings.Contains(got[i], want) {
			t.Errorf("line %d is %q, want one with %q", i, got[i], want)
		}
	}
	code = cli.Main(context.Background(), []string{"explain", "nobody"}, cli.Streams{
		In:  strings.NewReader(explainLog),
		Out: &out,
		Err: &errs,
	})
	if code != cli.ExitFailure {
		t.Errorf("exit %d for a request without log lines", code)
	}
}
