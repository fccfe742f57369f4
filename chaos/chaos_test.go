package chaos_test

import (
	"context"
	"testing"

	"wardturn/chaos"
)

// TestHistories runs a few histories; the command wardturn chaos runs more.
func TestHistories(t *testing.T) {
	const histories = 6
	for seed := range uint64(histories) {
		out, err := chaos.Run(context.Background(), seed+1)
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range out.Violations {
			t.Errorf("seed %d, %v: %s", out.Seed, out.Faults, v)
		}
	}
}
