package gateway

import (
	"context"
	"testing"
	"time"

	"wardturn"
)

// oldSend is a request to version 1 of adapter a at upstream u.
func oldSend(attempt string, nonStreaming bool) *pendingSend {
	return &pendingSend{
		attempt:  attempt,
		upstream: "u",
		key: wardturn.ModelAdapter{
			Model:   "m",
			Adapter: "a",
		},
		version:      1,
		nonStreaming: nonStreaming,
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
		name         string
		nonStreaming bool                // the response is not streamed
		reporter     wardturn.UpstreamID // whose keeper reports the start; empty: none does
		lateReport   bool                // the report comes after the version was retired
		want         bool                // aborted
	}{
		{name: "stream", want: true},
		{name: "not streamed", nonStreaming: true, want: true},
		{name: "not streamed, start reported before the version was retired", nonStreaming: true, reporter: "u"},
		{name: "not streamed, start reported after the version was retired", nonStreaming: true, reporter: "u", lateReport: true},
		{name: "not streamed, start reported by another upstream's keeper", nonStreaming: true, reporter: "other", want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPendingSends()
			s := oldSend("r", tt.nonStreaming)
			ctx := p.add(context.Background(), s)
			if !tt.lateReport {
				p.markStarted(tt.reporter, []string{"r"})
			}
			p.abortOlder(newerVersion, now)
			if tt.lateReport {
				p.markStarted(tt.reporter, []string{"r"})
			}
			p.abortOverdue(now.Add(startedGrace - time.Millisecond))
			if tt.nonStreaming && ctx.Err() != nil {
				t.Error("aborted before the keeper could report the start")
			}
			p.abortOverdue(now.Add(startedGrace))
			if got := ctx.Err() != nil; got != tt.want {
				t.Errorf("aborted: %v, want %v", got, tt.want)
			}
			if got := p.remove(s); got != tt.want {
				t.Errorf("remove reports aborted: %v, want %v", got, tt.want)
			}
		})
	}
}

// Keepers are asked only for sends whose response is not streamed and whose start was not
// reported.
func TestPendingSendsUnconfirmed(t *testing.T) {
	p := newPendingSends()
	for _, s := range []*pendingSend{oldSend("stream", false), oldSend("reported", true), oldSend("unreported", true)} {
		p.add(context.Background(), s)
	}
	p.markStarted("u", []string{"reported"})
	list := p.unconfirmed()
	if len(list) != 1 || list[0].attempt != "unreported" {
		t.Errorf("got %d unconfirmed sends, want only the unreported one", len(list))
	}
}
