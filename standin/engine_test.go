package standin_test

import (
	"sync"
	"testing"
	"time"

	"wardturn"
	"wardturn/standin"
)

// TestTokensComeInOrder blocks the callbacks of one step until several later steps have
// ended. It guards against the callbacks of later steps overtaking those of earlier ones.
func TestTokensComeInOrder(t *testing.T) {
	clock := standin.NewClock()
	store := standin.NewStore(clock, standin.StoreConfig{
		Rate:        10,
		MaxParallel: 1,
	})
	engine := standin.NewEngine(clock, store, standin.DefaultEngine())
	ref := wardturn.AdapterRef{
		Adapter: "a",
		Version: 1,
	}
	engine.Load(wardturn.SlotOrder{
		ID:      1,
		Adapter: ref,
	}, func(error) {})
	clock.Advance(time.Second)
	const tokens = 8
	var mu sync.Mutex
	var got []int
	release := make(chan struct{})
	blocked := make(chan struct{})
	ended := make(chan struct{})
	err := engine.Submit(standin.Generation{
		Request: wardturn.EngineRequest{
			Adapter: ref,
			Output:  tokens,
		},
		OnToken: func(i int) {
			if i == 0 {
				close(blocked)
				<-release
			}
			mu.Lock()
			defer mu.Unlock()
			got = append(got, i)
		},
		OnEnd: func(wardturn.EngineResult, error) {
			close(ended)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	go clock.Advance(30 * time.Millisecond) // blocks in the callback of token 0
	<-blocked
	clock.Advance(time.Second) // the other steps end
	close(release)
	<-ended
	for i := range got {
		if got[i] != i {
			t.Fatalf("order of the tokens: %v", got)
		}
	}
	if len(got) != tokens {
		t.Fatalf("got %d tokens, want %d", len(got), tokens)
	}
}
