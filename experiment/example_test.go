package experiment_test

import (
	"fmt"

	"wardturn/experiment"
)

func ExampleProfile_Generate() {
	p, err := experiment.NewProfile(experiment.ProfileTampere)
	if err != nil {
		fmt.Println(err)
		return
	}
	trace := p.Generate(1)
	again := p.Generate(1)
	fmt.Println(len(trace) == len(again), trace[0] == again[0])
	// Output: true true
}
