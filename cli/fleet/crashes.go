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

// crashesCmd lists the contents of requests, and the parts of their prompts, during which
// upstreams crashed, and removes crash records so that they are served again. Without it, a content that
// was in progress during three unrelated crashes would be refused until its records
// expire.
type crashesCmd struct {
	Store string               `required:"" help:"Address of the platform's store, IP:port."`
	Clear []wardturn.ContentID `placeholder:"CONTENT" help:"Contents, or parts of prompts, whose records are taken back; gateways serve them again within some seconds."`
}

// Run implements the crashes command.
func (c *crashesCmd) Run(out io.Writer) error {
	var b badSettings
	b.addr("store", c.Store)
	if err := b.Err(); err != nil {
		return err
	}
	store := platform.NewCrashStore(platform.NewStore(c.Store, tally.NoopScope), hclog.NewNullLogger())
	change, err := store.Next()
	if err != nil {
		return err
	}
	byContent := make(map[wardturn.ContentID][]wardturn.RecordedCrash)
	for _, r := range change.Crashes {
		byContent[r.Content] = append(byContent[r.Content], r)
	}
	if len(c.Clear) > 0 {
		return c.clearCrashes(store, byContent)
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

// errNoRecordedCrash is returned for a content without crash records.
var errNoRecordedCrash = errors.New("no crash is recorded for this content")

// clearCrashes removes the records of the contents in Clear. If one of them has none, it
// returns an error and removes nothing.
func (c *crashesCmd) clearCrashes(store wardturn.CrashStore, byContent map[wardturn.ContentID][]wardturn.RecordedCrash) error {
	var removed []wardturn.Crash
	for _, content := range c.Clear {
		list := byContent[content]
		if len(list) == 0 {
			return errors.Wrapf(errNoRecordedCrash, "%s", content)
		}
		for _, r := range list {
			removed = append(removed, r.Crash)
		}
	}
	return store.Write(process.Clock{}.Now(), nil, removed)
}
