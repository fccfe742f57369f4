package wardturn_test

import (
	"fmt"

	"wardturn"
)

func ExampleNewUpstreamID() {
	first := wardturn.NewUpstreamID("i-7", 1000)
	second := wardturn.NewUpstreamID("i-7", 2000)
	fmt.Println(second, second.Instance(), second.StartMS())
	fmt.Println(first.Before(second), second.Before(first), second.Before(second))
	plain := wardturn.NewUpstreamID("i-8", 0)
	fmt.Println(plain, plain.Instance(), plain.StartMS(), plain.Before(second))
	named := wardturn.NewUpstreamID("i~9", 0)
	fmt.Println(named.Instance(), named.StartMS())
	// Output:
	// i-7~2000 i-7 2000
	// true false false
	// i-8 i-8 0 false
	// i~9 0
}
