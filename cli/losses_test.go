package cli_test

import (
	"context"
	"strings"
	"testing"

	"wardturn/cli"
)

const lossesLog = `10:00:01.000 [INFO]  gateway: adapter there: adapter=a7 version=1 upstream=i-1 took=281.5ms waited=281.5ms warm=false cause=first window=9 under_way=4
10:00:01.200 [INFO]  gateway: adapter there: adapter=a8 version=1 upstream=i-1 took=250ms waited=250ms warm=false cause=first window=9 under_way=4
10:00:01.400 [INFO]  gateway: adapter there: adapter=a7 version=1 upstream=i-1 took=44ms waited=44ms warm=true cause=again window=9 under_way=4
10:00:01.500 [INFO]  gateway: adapter there: adapter=a7 version=1 upstream=i-2 took=900ms waited=900ms warm=false cause=second window=9 under_way=4
10:00:02.000 [INFO]  gateway: late: id=r1 route=r adapter=a7 upstream=i-1 placed="23µs" first=1.2s pause=150ms load=6 prefill=40000 prompt=8000 sends=1
10:00:02.100 [INFO]  gateway: late: id=r2 route=r adapter=a7 upstream=i-1 placed=600ms first=900ms pause=150ms load=6 prefill=1000 prompt=8000 sends=1
10:00:02.200 [INFO]  gateway: late: id=r3 route=r adapter=a7 upstream=i-1 placed="0s" first=850ms pause=100ms load=1 prefill=0 prompt=33000 sends=1
10:00:02.300 [INFO]  gateway: late: id=r4 route=r adapter=a7 upstream=i-1 placed="0s" first=50ms pause=410ms load=1 prefill=0 prompt=700 sends=1
10:00:03.000 [INFO]  gateway: refused: id=r5 reason=adapter_loading retry_after=300ms adapter=a9 waited=301ms left_out=3
10:00:03.100 [INFO]  gateway: refused: id=r6 reason=no_upstream retry_after=300ms waited="0s"
10:00:03.200 [INFO]  gateway: refused: id=r7 reason=adapter_loading retry_after=300ms adapter=a9 waited=420ms
10:00:03.300 [INFO]  gateway: refused: id=r8 reason=unknown_origin retry_after=500ms adapter= waited=150ms resumes=b1 software="[]" keepers=8 asked=8 replied=4 lookup=150ms
10:00:03.400 [INFO]  gateway: refused: id=r9 reason=crashing_prompt_part retry_after=2s adapter=a9 waited="0s" part=part-39e896318cb7ab0a
a line without a time: refused: reason=other
`

// tenthLog has the lines of two gateways about three routes: one without prompt sizes,
// and one that lost no request of its largest tenth. One line with sizes is truncated.
const tenthLog = `10:00:00.900 [INFO]  gateway: prompts of a route: route=r sizes="320:40,640:21,7168:2,8192:2"
10:00:00.900 [INFO]  gateway: prompts of a route: route=q sizes="320:40,1024:3"
10:00:00.950 [INFO]  gateway: late: id=q1 route=q adapter=a6 upstream=i-1 placed="0s" first=900ms pause=100ms load=1 prefill=30000 prompt=330 sends=1
10:00:01.000 [INFO]  gateway: refused: id=r1 reason=adapter_loading retry_after=300ms adapter=a9 waited=301ms route=r prompt=30000
10:00:02.000 [INFO]  gateway: late: id=r2 route=r adapter=a7 upstream=i-1 placed="23µs" first=1.2s pause=150ms load=6 prefill=40000 prompt=8000 sends=1
10:00:02.100 [INFO]  gateway: late: id=r3 route=r adapter=a7 upstream=i-1 placed=600ms first=900ms pause=150ms load=6 prefill=1000 prompt=8000 sends=1
10:00:02.200 [INFO]  gateway: late: id=r4 route=r adapter=a8 upstream=i-1 placed="0s" first=950ms pause=100ms load=1 prefill=0 prompt=33000 sends=1
10:00:02.300 [INFO]  gateway: late: id=r5 route=r adapter=a7 upstream=i-1 placed="0s" first=50ms pause=410ms load=1 prefill=0 prompt=7900 sends=1
10:00:02.400 [INFO]  gateway: late: id=r6 route=r adapter= upstream=i-1 placed="0s" first=1.1s pause=100ms load=30 prefill=2000 prompt=7200 sends=1
10:00:02.500 [INFO]  gateway: late: id=r7 route=r adapter=a6 upstream=i-1 placed="0s" first=900ms pause=100ms load=1 prefill=30000 prompt=700 sends=1
10:00:02.600 [INFO]  gateway: late: id=r8 route=s adapter= upstream=i-9 placed="0s" first=200ms pause=0s load=1 prefill=0 prompt=0 sends=1
10:00:02.700 [INFO]  gateway: refused: id=r9 reason=no_upstream retry_after=300ms adapter= waited="0s"
10:00:02.800 [INFO]  gateway: refused: id=r10 reason=adapter_loading retry_after=300ms adapter=a9 waited=360ms route=r prompt=9000
10:00:05.900 [INFO]  gateway: prompts of a route: route=r sizes="640:30,7168:1,9216:1,28672:1,32768:1,8192:"
`

// ranksLog has lines with ranks, teams, prefill turns, predicted waits and the capacity of
// plain services, and lines of an older build without them.
const ranksLog = `10:00:01.000 [INFO]  gateway: late: id=l1 route=r adapter=a7 upstream=i-1 placed="23µs" first=1.2s pause=150ms load=6 prefill=4000 prompt=8000 sends=1 rank=1 team=t-a turn=700ms
10:00:01.100 [INFO]  gateway: late: id=l2 route=r adapter=a7 upstream=i-1 placed="23µs" first=1.1s pause=150ms load=6 prefill=4000 prompt=8000 sends=1 rank=10 team=t-b turn=100ms
10:00:01.200 [INFO]  gateway: late: id=l3 route=r adapter=a7 upstream=i-1 placed="23µs" first=1.3s pause=150ms load=6 prefill=4000 prompt=8000 sends=1 rank=1 team=t-b turn="0s"
10:00:01.300 [INFO]  gateway: late: id=l4 route=r adapter=a7 upstream=i-1 placed=600ms first=900ms pause=150ms load=6 prefill=1000 prompt=8000 sends=1
10:00:02.000 [INFO]  gateway: refused: id=r1 reason=adapter_loading retry_after=300ms adapter=a9 waited="0s" rank=2 team=t-a predicted=1.4s
10:00:02.100 [INFO]  gateway: refused: id=r2 reason=adapter_loading retry_after=300ms adapter=a9 waited=420ms rank=2 team=t-b predicted=2.6s
10:00:02.200 [INFO]  gateway: refused: id=r3 reason=queue_full retry_after=900ms adapter= waited="10ms" rank=2 team=t-b capacity=98.5 demand=119
10:00:02.300 [INFO]  gateway: refused: id=r4 reason=queue_full retry_after=900ms adapter= waited="20ms" rank=2 team=t-b capacity=100.25 demand=121.4
10:00:02.400 [INFO]  gateway: refused: id=r5 reason=no_upstream retry_after=300ms waited="0s"
10:00:02.500 [INFO]  gateway: beyond the cap: id=c1 team=t-a units=2368 left_s=0.420 retry_after=7.2s rank=2 route=recheck
10:00:02.600 [INFO]  gateway: beyond the cap: id=c2 team=t-a units=2368 left_s=-0.031 retry_after=900ms rank=0 route=letter
10:00:02.700 [INFO]  gateway: beyond the cap: id=c3 team=t-c units=2368 left_s=-0.031 retry_after=900ms
`

// Losses that depend on rank, team, turns and capacity must be told apart, and lines of an
// older build must not count as of a rank.
func TestLossesByRank(t *testing.T) {
	var out, errs strings.Builder
	code := cli.Main(context.Background(), []string{"losses"}, cli.Streams{
		In:  strings.NewReader(ranksLog),
		Out: &out,
		Err: &errs,
	})
	if code != cli.ExitOK {
		t.Fatalf("exit %d: %s", code, errs.String())
	}
	golden(t, "losses-ranks", out.String())
}

func TestLossesLargestTenth(t *testing.T) {
	var out, errs strings.Builder
	code := cli.Main(context.Background(), []string{"losses"}, cli.Streams{
		In:  strings.NewReader(tenthLog),
		Out: &out,
		Err: &errs,
	})
	if code != cli.ExitOK {
		t.Fatalf("exit %d: %s", code, errs.String())
	}
	golden(t, "losses-tenth", out.String())
}

func TestLosses(t *testing.T) {
	var out, errs strings.Builder
	code := cli.Main(context.Background(), []string{"losses"}, cli.Streams{
		In:  strings.NewReader(lossesLog),
		Out: &out,
		Err: &errs,
	})
	if code != cli.ExitOK {
		t.Fatalf("exit %d: %s", code, errs.String())
	}
	golden(t, "losses", out.String())
}

func TestLossesWithoutMatchingLines(t *testing.T) {
	var out, errs strings.Builder
	code := cli.Main(context.Background(), []string{"losses"}, cli.Streams{
		In:  strings.NewReader("nothing\n"),
		Out: &out,
		Err: &errs,
	})
	if code != cli.ExitOK {
		t.Fatalf("exit %d: %s", code, errs.String())
	}
	if !strings.Contains(out.String(), "different adapters") {
		t.Errorf("no table: %s", out.String())
	}
}
