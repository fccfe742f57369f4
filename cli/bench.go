package cli

import (
	"fmt"

	"wardturn/capacity"
)

// benchCmd measures costs and works out the size in two years.
type benchCmd struct {
	Markdown bool `help:"Print docs/CAPACITY.md."`
}

// Run measures and prints.
func (c *benchCmd) Run(s Streams) error {
	m, err := capacity.Measure(func(name string) {
		fmt.Fprintln(s.Err, "measuring", name)
	})
	if err != nil {
		return err
	}
	if c.Markdown {
		return m.WriteMarkdown(s.Out, capacity.TwoYears())
	}
	return m.WriteTable(s.Out)
}
