package gateway

import (
	"context"
	"testing"
	"time"

	"wardturn"
)

// oldSend is a request to version 1 of adapter a at upstream u.
func oldSend(attempt string, whole bool) *pendingSend {
	return &pendingSend{
		attempt:  attempt,
		upstream: "u",
		key: wardturn.ModelAdapter{
			Model:   "m",
			Adapter: "a",
		},
		version:      1,
		nonStreaming: whole,
	}
}

var newerVersion = wardturn.AdapterVersion{
	Model:   "m",
	Adapter: "a",
	Version: 2,
}

func TestPendingSendsRetiredVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name  string
		whole bool                // the response is not streamed
		told  wardturn.UpstreamID // whose keeper reports the start; empty: none does
		late  bool                // the report comes after the version was retired
		want  bool                // aborted
	}{
		{name: "stream", want: true},
		{name: "not streamed", whole: true, want: true},
		{name: "not streamed, start reported before the version was retired", whole: true, told: "u"},
		{name: "not streamed, start reported after the version was retired", whole: true, told: "u", late: true},
		{name: "not streamed, start reported by another upstream's keeper", whole: true, told: "other", want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := newNotStarted()
			s := oldSend("r", tt.whole)
			ctx := u.add(context.Background(), s)
			if !tt.late {
				u.markStarted(tt.told, []string{"r"})
			}
			u.abortOlder(newerVersion, now)
			if tt.late {
				u.markStarted(tt.told, []string{"r"})
			}
			u.abortOverdue(now.Add(startedGrace - time.Millisecond))
			if tt.whole && ctx.Err() != nil {
				t.Error("aborted before the keeper could report the start")
			}
			u.abortOverdue(now.Add(startedGrace))
			if got := ctx.Err() != nil; got != tt.want {
				t.Errorf("aborted: %v, want %v", got, tt.want)
			}
			if got := u.remove(s); got != tt.want {
				t.Errorf("remove reports aborted: %v, want %v", got, tt.want)
			}
		})
	}
}

// Keepers are asked only for sends whose response is not streamed and whose start was not
// reported.
func TestPendingSendsUnconfirmed(t *testing.T) {
	u := newNotStarted()
	for _, s := range []*pendingSend{oldSend("stream", false), oldSend("told", true), oldSend("asked for", true)} {
		u.add(context.Background(), s)
	}
	u.markStarted("u", []string{"told"})
	list := u.unconfirmed()
	if len(list) != 1 || list[0].attempt != "asked for" {
		t.Errorf("got %d sends to ask for, want the one named \"asked for\"", len(list))
	}
}
