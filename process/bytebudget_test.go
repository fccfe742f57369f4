package process_test

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"

	"wardturn/process"
)

func TestReadBody(t *testing.T) {
	for _, size := range []int{0, 1, 4095, 4096, 16 << 10, 16<<10 + 1, 100_000} {
		want := bytes.Repeat([]byte("x"), size)
		for name, stated := range map[string]int64{
			"stated":     int64(size),
			"not stated": -1,
		} {
			for _, r := range []io.Reader{
				bytes.NewReader(want),
				iotest.OneByteReader(bytes.NewReader(want)),
				iotest.DataErrReader(bytes.NewReader(want)),
			} {
				b := process.NewByteBudget(1 << 20)
				got, reserved, err := b.ReadBody(r, stated, 1<<20)
				if err != nil || !bytes.Equal(got, want) {
					t.Fatalf("%d bytes, %s: got %d, %v", size, name, len(got), err)
				}
				if b.Held() != reserved {
					t.Fatalf("%d bytes, %s: %d held, %d reserved", size, name, b.Held(), reserved)
				}
			}
		}
	}
}

// Guards against bodies that take their room when they are announced.
func TestReadBodyReservesWhatArrives(t *testing.T) {
	b := process.NewByteBudget(1 << 20)
	r := io.MultiReader(bytes.NewReader(make([]byte, 100)), iotest.ErrReader(io.ErrUnexpectedEOF))
	_, reserved, err := b.ReadBody(r, 1<<20, 1<<20)
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatal(err)
	}
	if reserved > 16<<10 {
		t.Errorf("%d bytes reserved for 100", reserved)
	}
}

func TestReadBodyBeyondTheLimits(t *testing.T) {
	b := process.NewByteBudget(64 << 10)
	if !b.Reserve(32 << 10) { // another holder
		t.Fatal("no room")
	}
	if _, _, err := b.ReadBody(bytes.NewReader(make([]byte, 100_000)), -1, 1<<20); !errors.Is(err, process.ErrBudgetExhausted) {
		t.Errorf("got %v, want ErrBudgetExhausted", err)
	}
	got, _, err := process.NewByteBudget(0).ReadBody(bytes.NewReader(make([]byte, 100_000)), -1, 1000)
	if err != nil || len(got) != 1001 {
		t.Errorf("got %d bytes, %v, want one more than the limit", len(got), err)
	}
}
