package decide_test

import (
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
)

// A record that there is one version only must not count beside a record of another version,
// or streams of that version would go on at the wrong one.
func TestOnlySoftware(t *testing.T) {
	const keep = 30 * time.Second
	now := time.Unix(1000, 0)
	record := func(o *decide.OnlySoftware, attempt, software string) {
		o.Record(now, wardturn.StreamRecord{
			Attempt: attempt,
			Origin: wardturn.StreamOrigin{
				Service:  "llm",
				Software: wardturn.SoftwareVersion(software),
			},
		}, keep)
	}
	o := decide.NewOnlySoftware()
	expect := func(what string, want wardturn.SoftwareVersion) {
		t.Helper()
		got, ok := o.Find(now, "llm")
		if ok != (want != "") || ok && got != want {
			t.Errorf("%s: %q, %v, want %q", what, got, ok, want)
		}
	}
	expect("no record", "")
	record(o, "a", "v1")
	expect("a stream alone", "")
	record(o, "", "v1")
	expect("only one", "v1")
	if _, ok := o.Find(now, "other"); ok {
		t.Error("known of another service")
	}
	now = now.Add(keep / 2)
	record(o, "b", "v2")
	expect("a stream of another", "")
	now = now.Add(keep / 2)
	expect("the other remains", "")
	record(o, "", "v1")
	expect("both", "")
	now = now.Add(keep / 2)
	expect("the other has expired", "v1")
	record(o, "", "v2")
	expect("two are the only one", "")
	now = now.Add(keep)
	expect("all have expired", "")
}
