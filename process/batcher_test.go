package process_test

import (
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"wardturn/process"
)

// Items must survive failed writes, in order, and the earliest go first if there are too many.
func TestBatcherRepeatsFailedWrites(t *testing.T) {
	tasks := process.NewTasks(process.Clock{})
	defer tasks.Stop()
	var mu sync.Mutex
	var got []int
	failures, dropped := 2, 0
	b := process.NewBatcher(tasks, process.BatcherConfig[int]{
		Delay:      time.Millisecond,
		RetryDelay: 20 * time.Millisecond,
		Max:        5,
		Write: func(list []int) error {
			mu.Lock()
			defer mu.Unlock()
			if failures > 0 {
				failures--
				return errors.New("away")
			}
			got = append(got, list...)
			return nil
		},
		Dropped: func(n int) {
			dropped += n
		},
	})
	b.Add(1, 2, 3)
	time.Sleep(5 * time.Millisecond) // the first write has failed
	b.Add(4, 5, 6)
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) {
		mu.Lock()
		n := len(got)
		mu.Unlock()
		if n > 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	if want := []int{2, 3, 4, 5, 6}; !slices.Equal(got, want) || dropped != 1 {
		t.Errorf("wrote %v, dropped %d; want %v and 1", got, dropped, want)
	}
}
