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

const reasonsLog = `10:00:00.500 [INFO]  gateway: configuration in force: version=7 by=edge-9
10:00:01.000 [INFO]  gateway: late: id=l1 route=r adapter=a7 upstream=i-1 placed="23µs" first=1.2s pause=150ms load=6 prefill=4000 prompt=8000 sends=1 rank=1 team=t-a turn=700ms
10:00:01.100 [INFO]  gateway: late: id=l2 route=r adapter=a7 upstream=i-1 placed=600ms first=900ms pause=150ms load=6 prefill=1000 prompt=8000 sends=1
10:00:02.000 [INFO]  gateway: refused: id=r1 reason=adapter_loading retry_after=300ms adapter=a9 waited="0s" rank=2 team=t-a predicted=1.4s
10:00:02.200 [INFO]  gateway: refused: id=r3 reason=queue_full retry_after=900ms adapter= waited="10ms" rank=2 team=t-b capacity=98.5 demand=119
10:00:02.300 [INFO]  gateway: refused: id=r4 reason=queue_full retry_after=900ms adapter= waited="10ms" rank=0 team=t-b capacity=98.5 demand=90
10:00:02.400 [INFO]  gateway: refused: id=s1 reason=unknown_origin retry_after=500ms adapter= waited=150ms resumes=b1 software="[]" keepers=8 asked=8 replied=4 lookup=150ms
10:00:02.450 [INFO]  gateway: refused: id=p1 reason=crashing_prompt_part retry_after=2s adapter=a9 waited="0s" part=part-39e896318cb7ab0a
10:00:02.500 [INFO]  gateway: beyond the cap: id=c1 team=t-a units=2368 left_s=0.420 retry_after=7.2s rank=2 route=recheck
10:00:02.600 [INFO]  gateway: beyond the cap: id=c2 team=t-a units=2368 left_s=-0.031 retry_after=900ms rank=0 route=letter
10:00:02.700 [INFO]  gateway: beyond the cap: id=c3 team=t-c units=2368 left_s=-0.031 retry_after=900ms
`

// The operator must be told why a request waited or was rejected. Lines without the fields
// that say so get no reason.
func TestExplainReasons(t *testing.T) {
	var got strings.Builder
	for _, id := range []string{"l1", "l2", "r1", "r3", "r4", "s1", "p1", "c1", "c2", "c3"} {
		var out, errs strings.Builder
		code := cli.Main(context.Background(), []string{"explain", id, "--since=1s"}, cli.Streams{
			In:  strings.NewReader(reasonsLog),
			Out: &out,
			Err: &errs,
		})
		if code != cli.ExitOK {
			t.Fatalf("%s: exit %d: %s", id, code, errs.String())
		}
		got.WriteString(id + "\n")
		for line := range strings.Lines(out.String()) {
			if strings.HasPrefix(line, "=> ") {
				got.WriteString(line)
			}
		}
	}
	golden(t, "explain-reasons", got.String())
}
