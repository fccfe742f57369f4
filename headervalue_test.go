package wardturn_test

import (
	"fmt"

	"wardturn"
)

func ExampleValidHeaderValue() {
	for _, s := range []string{"i-7f3a91c2", "a05+", "two words", "", " a", "a\tb", "a\r\nX-Other: 1", "\xff"} {
		fmt.Printf("%q %v\n", s, wardturn.ValidHeaderValue(s))
	}
	// Output:
	// "i-7f3a91c2" true
	// "a05+" true
	// "two words" true
	// "" false
	// " a" false
	// "a\tb" true
	// "a\r\nX-Other: 1" false
	// "\xff" true
}
