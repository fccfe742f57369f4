package policy_test

import (
	"fmt"
	"time"

	"wardturn"
	"wardturn/policy"
)

func ExampleCompile() {
	p, err := policy.Compile("mine.star", `
def hold(r):
    return 0.0 if r.running > 0 else 60.0
`)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(p.Hold(wardturn.QueueInput{
		Waited: time.Second,
	}))
	fmt.Println(p.Hold(wardturn.QueueInput{
		Running: 3,
	}))
	// Output:
	// 1m0s
	// 0s
}

func ExampleCheckProgram() {
	_, err := policy.CheckProgram("mine.star", "def slot(a):\n    return a.rte\n")
	fmt.Println(err)
	// Output: mine.star:2:13: adapter has no .rte field or method (did you mean .rate?)
}
