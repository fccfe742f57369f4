package wardturn_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"

	"wardturn"
)

func ExampleParseRequestRate() {
	rate, err := wardturn.ParseRequestRate("4.5")
	fmt.Println(rate, err)
	// Output: 4.5 <nil>
}

func TestParseRequestRateMalformed(t *testing.T) {
	for _, s := range []string{"", " ", ".", "4.5.1", "-4", "+4", "4e3", "0x4", "NaN", "Inf", "4,5", "4.5 4.5", "4\x005", "1111111111111111111111111", "99999999999"} {
		if rate, err := wardturn.ParseRequestRate(s); !errors.Is(err, wardturn.ErrBadRate) {
			t.Errorf("%q: %v, %v", s, rate, err)
		}
	}
}
