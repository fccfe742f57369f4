package wardturn_test

import (
	"fmt"

	"wardturn"
)

func ExampleBearerKey() {
	for _, v := range []string{"Bearer k1", "bearer  k2", "Basic k3", "Bearer ", ""} {
		key, ok := wardturn.BearerKey(v)
		fmt.Printf("%q %v\n", key, ok)
	}
	// Output:
	// "k1" true
	// "k2" true
	// "" false
	// "" false
	// "" false
}

func ExampleUsageCap_Units() {
	c := wardturn.UsageCap{
		Unit:          wardturn.CapTokens,
		DefaultTokens: 200,
	}
	for _, counts := range []string{"1460,80", "1460", "x,80", "-3,5", ""} {
		fmt.Print(c.Units(counts), " ")
	}
	c.Unit = wardturn.CapRequests
	fmt.Println(c.Units("1460,80"))
	// Output: 1540 200 200 200 200 1
}
