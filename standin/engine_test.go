package standin_test

import (
	"sync"
	"testing"
	"time"

	"wardturn"
	"wardturn/standin"
)

// TestTokensComeInOrder holds up the delivery of one step until several more
// have ended: the callbacks must still come in order.
func TestTokensComeInOrder(t *testing.T) {
	clock := standin.NewClock()
	store := standin.NewStore(clock, standin.StoreConfig{
		Rate:     10,
		Parallel: 1,
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
	held := make(chan struct{})
	holding := make(chan struct{})
	ended := make(chan struct{})
	err := engine.Submit(standin.Generation{
		Request: wardturn.EngineRequest{
			Adapter: ref,
			Output:  tokens,
		},
		Token: func(i int) {
			if i == 0 {
				close(holding)
				<-held
			}
			mu.Lock()
			defer mu.Unlock()
			got = append(got, i)
		},
		End: func(wardturn.EngineResult, error) {
			close(ended)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	go clock.Advance(30 * time.Millisecond) // delivers token 0 and waits
	<-holding
	clock.Advance(time.Second) // the other steps end meanwhile
	close(held)
	<-ended
	for i := range got {
		if got[i] != i {
			t.Fatalf("tokens came as %v", got)
		}
	}
	if len(got) != tokens {
		t.Fatalf("%d of %d tokens came", len(got), tokens)
	}
}
