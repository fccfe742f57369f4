package fleet

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"wardturn"
	"wardturn/platform"
	"wardturn/process"
)

// crashesCmd shows the requests under which upstreams ended, and has them served again: a
// content that ended three by chance would else be refused for as long as crashes count.
type crashesCmd struct {
	Store string               `required:"" help:"Address of the platform's store, IP:port."`
	Clear []wardturn.ContentID `placeholder:"CONTENT" help:"Contents whose records are taken back; gateways serve them again within some seconds."`
}

// Run implements the crashes command.
func (c *crashesCmd) Run(out io.Writer) error {
	var b badSettings
	b.addr("store", c.Store)
	if err := b.Err(); err != nil {
		return err
	}
	record := platform.NewCrashStore(platform.NewStore(c.Store, tally.NoopScope), hclog.NewNullLogger())
	change, err := record.Next()
	if err != nil {
		return err
	}
	byContent := make(map[wardturn.ContentID][]wardturn.RecordedCrash)
	for _, r := range change.Crashes {
		byContent[r.Content] = append(byContent[r.Content], r)
	}
	if len(c.Clear) > 0 {
		return c.clear(record, byContent)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "content\tupstreams\tlatest")
	for _, content := range slices.Sorted(maps.Keys(byContent)) {
		list := byContent[content]
		latest := slices.MaxFunc(list, func(x, y wardturn.RecordedCrash) int {
			return x.At.Compare(y.At)
		})
		fmt.Fprintf(w, "%s\t%d\t%s\n", content, len(list), latest.At.UTC().Format(time.RFC3339))
	}
	return w.Flush()
}

// errNoSuchContent is returned for a content that has no record.
var errNoSuchContent = errors.New("no upstream is recorded to have ended under it")

func (c *crashesCmd) clear(record wardturn.CrashStore, byContent map[wardturn.ContentID][]wardturn.RecordedCrash) error {
	var takeBack []wardturn.Crash
	for _, content := range c.Clear {
		list := byContent[content]
		if len(list) == 0 {
			return errors.Wrapf(errNoSuchContent, "%s", content)
		}
		for _, r := range list {
			takeBack = append(takeBack, r.Crash)
		}
	}
	return record.Write(process.Clock{}.Now(), nil, takeBack)
}
