package fleet_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"wardturn/cli/fleet"
	"wardturn/standin"
)

func TestCrashesCommand(t *testing.T) {
	store := standin.NewMetaStore()
	srv := httptest.NewServer(store)
	defer srv.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	for _, key := range []string{"aa/u1", "aa/u2", "aa/u3", "bb/u1", "bb/u2", "part-cc/u1", "part-cc/u2"} {
		store.Put("keyed.wardturn.crashes", key, []byte(`{"at_ms":1700000000000}`))
	}
	command := func(want int, args ...string) string {
		t.Helper()
		var out, errs strings.Builder
		args = append([]string{"crashes", "--store=" + addr}, args...)
		if code := fleet.Main(context.Background(), args, &out, &errs); code != want {
			t.Fatalf("%v: exit %d, want %d: %s", args, code, want, errs.String())
		}
		return out.String()
	}
	const header = "content  upstreams  latest\n"
	const other = "bb       2          2023-11-14T22:13:20Z\n"
	const part = "part-cc  2          2023-11-14T22:13:20Z\n"
	if got, want := command(fleet.ExitOK), header+"aa       3          2023-11-14T22:13:20Z\n"+other+part; got != want {
		t.Errorf("listed\n%swant\n%s", got, want)
	}
	command(fleet.ExitFailure, "--clear=cc")
	command(fleet.ExitOK, "--clear=aa", "--clear=part-cc")
	if got, want := command(fleet.ExitOK), header+other; got != want {
		t.Errorf("after clearing one: listed\n%swant\n%s", got, want)
	}
}
