package gateway

import (
	"context"
	"testing"
	"time"

	"wardturn"
)

// oldSend is a request to version 1 of adapter a at upstream u.
func oldSend(attempt string, whole bool) *waitingSend {
	return &waitingSend{
		attempt:  attempt,
		upstream: "u",
		key: wardturn.ModelAdapter{
			Model:   "m",
			Adapter: "a",
		},
		version: 1,
		whole:   whole,
	}
}

var newerVersion = wardturn.AdapterVersion{
	Model:   "m",
	Adapter: "a",
	Version: 2,
}

func TestNotStartedEndOfAVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name  string
		whole bool                // the begin does not show
		told  wardturn.UpstreamID // whose keeper tells of the begin; empty: nobody does
		late  bool                // it does so after the end
		want  bool                // broken off
	}{
		{name: "stream", want: true},
		{name: "whole answer", whole: true, want: true},
		{name: "whole answer that began before the end", whole: true, told: "u"},
		{name: "whole answer of which that is told after the end", whole: true, told: "u", late: true},
		{name: "whole answer that began elsewhere before", whole: true, told: "other", want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := newNotStarted()
			s := oldSend("r", tt.whole)
			ctx := u.add(context.Background(), s)
			if !tt.late {
				u.markStarted(tt.told, []string{"r"})
			}
			u.breakOffOlder(newerVersion, now)
			if tt.late {
				u.markStarted(tt.told, []string{"r"})
			}
			u.breakOffDue(now.Add(startedGrace - time.Millisecond))
			if tt.whole && ctx.Err() != nil {
				t.Error("broken off before the keeper could tell")
			}
			u.breakOffDue(now.Add(startedGrace))
			if got := ctx.Err() != nil; got != tt.want {
				t.Errorf("broken off: %v, want %v", got, tt.want)
			}
			if got := u.remove(s); got != tt.want {
				t.Errorf("counted as broken off: %v, want %v", got, tt.want)
			}
		})
	}
}

// Only requests whose begin neither showed nor was told are asked for.
func TestNotStartedUnknown(t *testing.T) {
	u := newNotStarted()
	for _, s := range []*waitingSend{oldSend("stream", false), oldSend("told", true), oldSend("asked for", true)} {
		u.add(context.Background(), s)
	}
	u.markStarted("u", []string{"told"})
	list := u.unknown()
	if len(list) != 1 || list[0].attempt != "asked for" {
		t.Errorf("%d requests are asked for", len(list))
	}
}
