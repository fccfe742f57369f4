package decide

import (
	"testing"
	"time"
)

func TestReadRateLearns(t *testing.T) {
	for _, c := range []struct {
		name           string
		tokensPerMilli float64
		hangEvery      int // one prompt in this many takes 4 s
	}{
		{
			name:           "half as fast as usual",
			tokensPerMilli: 20,
		},
		{
			name:           "twice as fast",
			tokensPerMilli: 80,
		},
		{
			name:           "engines hang now and then",
			tokensPerMilli: 20,
			hangEvery:      32,
		},
	} {
		r := newPrefillRate()
		for i := range 100 {
			took := time.Duration(2400 / c.tokensPerMilli * float64(time.Millisecond))
			if c.hangEvery > 0 && i%c.hangEvery == 0 {
				took = 4 * time.Second
			}
			r.observe(2400, took)
			r.observe(30, time.Second) // too short to be a sample
		}
		want := 10000 / c.tokensPerMilli
		if got := r.cost(10000); got < 0.8*want || got > 1.25*want {
			t.Errorf("%s: estimated prefill time of 10,000 tokens is %.0f ms, want %.0f", c.name, got, want)
		}
	}
}
