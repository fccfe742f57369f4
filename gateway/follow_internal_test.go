package gateway

import (
	"testing"
	"time"

	"wardturn"
)

func TestConfigAsOf(t *testing.T) {
	sent := time.Unix(100, 0)
	waited := sent.Add(configWait)
	for _, c := range []struct {
		name       string
		returnedAt time.Time
		change     wardturn.ConfigChange
		first      bool
		want       time.Time
	}{
		{
			name:       "no record within the wait",
			returnedAt: waited.Add(time.Millisecond),
			want:       waited,
		},
		{
			name:       "a record without effect ended the wait",
			returnedAt: sent.Add(20 * time.Millisecond),
			want:       sent,
		},
		{
			name:       "a change",
			returnedAt: waited.Add(time.Millisecond),
			change: wardturn.ConfigChange{
				Table: &wardturn.RouteTable{},
			},
			want: sent,
		},
		{
			name:       "the first read, which returns without waiting",
			returnedAt: waited.Add(time.Millisecond),
			first:      true,
			want:       sent,
		},
	} {
		if got := configAsOf(sent, configWait, c.returnedAt, c.change, c.first); !got.Equal(c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
