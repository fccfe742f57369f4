package cli

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.yaml.in/yaml/v3"

	"wardturn/control"
	"wardturn/entry"
	"wardturn/report"
)

// reportCmd groups the reports.
type reportCmd struct {
	Burn burnCmd `cmd:"" help:"Report on service-level burn."`
}

// burnCmd reports how fast services burn the error budgets of their objectives.
type burnCmd struct {
	entryFlags
	HTML string `name:"html" placeholder:"FILE" help:"Write a page with plots to this file."`
	Fail bool   `help:"Exit with 1 if an alert fires."`
}

// Run merges the event counts of all entries given by --entry and prints the burn rates.
// Entries that do not respond are listed as missing in the report.
func (c *burnCmd) Run(s Streams) error {
	client := c.client()
	objectives, err := client.objectives()
	if err != nil {
		return err
	}
	var counts []report.ProcessCounts
	missing := []string{}
	for _, addr := range c.Entry {
		var b report.ProcessCounts
		if err := client.doAddr(addr, fasthttp.MethodGet, entry.PathWindows, nil, &b); err != nil {
			missing = append(missing, addr)
			continue
		}
		counts = append(counts, b)
	}
	burn := report.ComputeBurn(time.Now(), objectives, counts, missing)
	if c.HTML != "" {
		if err := writeFile(c.HTML, burn.WriteHTML); err != nil {
			return err
		}
	}
	if c.Output == "json" {
		err = json.NewEncoder(s.Out).Encode(burn)
	} else {
		err = burn.WriteText(s.Out)
	}
	if err == nil && c.Fail && len(burn.FiringObjectives()) > 0 {
		err = errors.Newf("alerts are firing for %d objectives", len(burn.FiringObjectives()))
	}
	return err
}

// writeFile creates a file and fills it with write.
func writeFile(name string, write func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return errors.Mark(err, ErrUsage)
	}
	if err := write(f); err != nil {
		f.Close()
		return err
	}
	return errors.Wrap(f.Close(), "write")
}

// objectives returns the objectives of the configuration.
func (c *client) objectives() ([]report.Objective, error) {
	docs, err := c.docs(control.KindObjective)
	if err != nil {
		return nil, err
	}
	var list []report.Objective
	for _, d := range docs {
		var o control.ObjectiveDoc
		if err := yaml.Unmarshal([]byte(d.Body), &o); err != nil {
			return nil, errors.Wrapf(err, "objective %s", d.Key)
		}
		list = append(list, report.Objective{
			Name:      control.NameOf(d.Key),
			Team:      o.Team,
			Indicator: report.Indicator(o.Indicator),
			Threshold: time.Duration(o.Threshold),
			Target:    o.Target,
			Window:    time.Duration(o.Window),
		})
	}
	report.SortObjectives(list)
	return list, nil
}
