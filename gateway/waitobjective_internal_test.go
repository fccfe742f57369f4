package gateway

import (
	"net/http/httptest"
	"testing"
	"time"

	"wardturn"
)

// Resumed streams were refused at the objective for a first event, while their adapters were
// being loaded at the few engines of their software version.
func TestResumedStreamsWaitBeyondTheObjectiveOfAFirstEvent(t *testing.T) {
	const objective = 600 * time.Millisecond
	for _, c := range []struct {
		name      string
		lastEvent string
		left      time.Duration
		want      time.Duration
	}{
		{
			name: "new stream",
			left: 6 * time.Second,
			want: objective,
		},
		{
			name:      "resumed stream",
			lastEvent: "3",
			left:      6 * time.Second,
			want:      maxResumeWait,
		},
		{
			name:      "resumed stream with little time left",
			lastEvent: "3",
			left:      time.Second,
			want:      time.Second,
		},
		{
			name:      "resumed stream with less time left than the objective",
			lastEvent: "3",
			left:      100 * time.Millisecond,
			want:      objective,
		},
	} {
		x := &exchange{
			g: &Gateway{
				names: wardturn.HeaderNames{
					LastEventID: "Last-Event-Id",
				},
			},
			r: httptest.NewRequest("POST", "/", nil),
			route: &wardturn.Route{
				Resumable: true,
				Objective: objective,
			},
			arrived: time.Unix(1000, 0),
		}
		x.deadline = x.arrived.Add(c.left)
		x.r.Header.Set("Last-Event-Id", c.lastEvent)
		if got := x.waitObjective(); got != c.want {
			t.Errorf("%s: waits %v, want %v", c.name, got, c.want)
		}
	}
}
