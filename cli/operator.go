package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"wardturn"
	"wardturn/control"
	"wardturn/entry"
	"wardturn/process"
)

// docFile is a document read from a file. Its key consists of the last two elements of
// the path without the extension, kind/name.
type docFile struct {
	path string
	key  control.Key
	body []byte
}

// readDocs reads files, and the YAML files in directories and their subdirectories.
func readDocs(paths []string) ([]docFile, error) {
	var list []docFile
	for _, root := range paths {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !isYAML(path) && path != root {
				return err
			}
			body, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			list = append(list, docFile{
				path: path,
				key:  docKey(path),
				body: body,
			})
			return nil
		})
		if err != nil {
			return nil, errors.Mark(err, ErrUsage)
		}
	}
	return list, nil
}

func isYAML(path string) bool {
	ext := filepath.Ext(path)
	return ext == ".yaml" || ext == ".yml"
}

func docKey(path string) control.Key {
	dir, file := filepath.Split(path)
	name := strings.TrimSuffix(file, filepath.Ext(file))
	return control.KeyOf(filepath.Base(dir), name)
}

// validateDocs returns the errors of all invalid documents.
func validateDocs(files []docFile) []error {
	var list []error
	for _, f := range files {
		if err := control.ValidateDoc(f.path, f.key, f.body); err != nil {
			list = append(list, err)
		}
	}
	return list
}

// publishCmd publishes documents.
type publishCmd struct {
	entryFlags
	Files []string `arg:"" help:"Files named kind/name.yaml, or directories of them."`
	ID    string   `help:"Name of the publication; repeat it after a lost reply."`
}

// Run validates the documents and publishes all of them in one change, or none.
func (c *publishCmd) Run(s Streams) error {
	files, err := readDocs(c.Files)
	if err != nil {
		return err
	}
	if problems := validateDocs(files); len(problems) > 0 {
		for _, p := range problems {
			fmt.Fprintln(s.Err, p)
		}
		return errors.Newf("%d invalid documents; nothing was published", len(problems))
	}
	cl := c.client()
	req := entry.ChangeRequest{
		ID: control.PublicationID(c.ID),
	}
	if req.ID == "" {
		req.ID = control.PublicationID("cli-" + string(process.NewIncarnation()))
	}
	for _, f := range files {
		current, _, err := cl.doc(f.key)
		if err != nil {
			return err
		}
		req.Docs = append(req.Docs, entry.DocRequest{
			Key:         f.key,
			BaseVersion: current.Version,
			Body:        string(f.body),
		})
	}
	var res control.PublicationResult
	if err := cl.do(fasthttp.MethodPost, entry.PathChanges, req, &res); err != nil {
		return err
	}
	return printOutput(s.Out, c.Output, res, func(w io.Writer) {
		fmt.Fprintf(w, "published %d documents as version %d\n", len(req.Docs), res.Version)
	})
}

// printOutput prints a result as JSON, or as a table written by table.
func printOutput(w io.Writer, output string, v any, table func(io.Writer)) error {
	if output == "json" {
		return json.NewEncoder(w).Encode(v)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	table(t)
	return t.Flush()
}

// diffCmd compares files with the current documents.
type diffCmd struct {
	entryFlags
	Files []string `arg:"" help:"Files named kind/name.yaml, or directories of them."`
}

// diffLine is one document that differs.
type diffLine struct {
	Key     control.Key     `json:"key"`
	Version wardturn.Offset `json:"version"` // current version; zero if there is none
	Lines   []string        `json:"lines"`
}

// Run prints what publishing the files would change. It fails if anything differs, as
// diff(1) does.
func (c *diffCmd) Run(s Streams) error {
	files, err := readDocs(c.Files)
	if err != nil {
		return err
	}
	cl := c.client()
	list := []diffLine{}
	for _, f := range files {
		current, _, err := cl.doc(f.key)
		if err != nil {
			return err
		}
		if current.Body != string(f.body) {
			list = append(list, diffLine{
				Key:     f.key,
				Version: current.Version,
				Lines:   lineDiff(current.Body, string(f.body)),
			})
		}
	}
	err = printOutput(s.Out, c.Output, list, func(w io.Writer) {
		for _, d := range list {
			fmt.Fprintf(w, "%s (version %d)\n", d.Key, d.Version)
			for _, l := range d.Lines {
				fmt.Fprintln(w, l)
			}
		}
	})
	if err == nil && len(list) > 0 {
		err = errors.Newf("%d documents differ", len(list))
	}
	return err
}

// lineDiff lists the lines that occur in only one of two texts.
func lineDiff(old, updated string) []string {
	a := strings.Split(strings.TrimRight(old, "\n"), "\n")
	b := strings.Split(strings.TrimRight(updated, "\n"), "\n")
	var list []string
	for _, l := range a {
		if l != "" && !slices.Contains(b, l) {
			list = append(list, "- "+l)
		}
	}
	for _, l := range b {
		if !slices.Contains(a, l) {
			list = append(list, "+ "+l)
		}
	}
	return list
}

// getCmd prints a document, or the documents of a kind.
type getCmd struct {
	entryFlags
	Key string `arg:"" help:"kind/name, or a kind."`
}

// Run prints the documents.
func (c *getCmd) Run(s Streams) error {
	cl := c.client()
	if !strings.Contains(c.Key, "/") {
		docs, err := cl.docs(c.Key)
		if err != nil {
			return err
		}
		return printOutput(s.Out, c.Output, docs, func(w io.Writer) {
			fmt.Fprintln(w, "key\tversion\twho\tat")
			for _, d := range docs {
				fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", d.Key, d.Version, d.Who, d.At.UTC().Format(time.RFC3339))
			}
		})
	}
	d, ok, err := cl.doc(control.Key(c.Key))
	if err != nil {
		return err
	}
	if !ok {
		return errors.Newf("no document %s", c.Key)
	}
	return printOutput(s.Out, c.Output, d, func(w io.Writer) {
		fmt.Fprintf(w, "# %s, version %d, by %s at %s\n%s", d.Key, d.Version, d.Who, d.At.UTC().Format(time.RFC3339), d.Body)
	})
}

// historyCmd prints the history of publications.
type historyCmd struct {
	entryFlags
	Key string `arg:"" optional:"" help:"Only changes of this document."`
}

// Run prints who published what, when, and whether it was accepted.
func (c *historyCmd) Run(s Streams) error {
	var page entry.HistoryPage
	if err := c.client().do(fasthttp.MethodGet, entry.PathHistory+"?limit=1000&key="+url.QueryEscape(c.Key), nil, &page); err != nil {
		return err
	}
	return printOutput(s.Out, c.Output, page.Entries, func(w io.Writer) {
		fmt.Fprintln(w, "version\tat\twho\taccepted\tdocuments\tdeleted")
		for _, e := range page.Entries {
			fmt.Fprintf(w, "%d\t%s\t%s\t%v\t%s\t%s\n", e.Version, e.Time.UTC().Format(time.RFC3339), e.Author, e.Accepted, formatKeys(e.Keys), formatKeys(e.Deleted))
		}
	})
}

// formatKeys lists the keys, or only the first and a count if there are many.
func formatKeys(keys []control.Key) string {
	const maxKeys = 3
	if len(keys) > maxKeys {
		return fmt.Sprintf("%s and %d more", keys[0], len(keys)-1)
	}
	list := make([]string, 0, len(keys))
	for _, k := range keys {
		list = append(list, string(k))
	}
	return strings.Join(list, " ")
}

// statusCmd prints an entry's view of the system.
type statusCmd struct {
	entryFlags
	Watch time.Duration `help:"Print again after this time, until interrupted."`
}

// Run prints the status.
func (c *statusCmd) Run(ctx context.Context, s Streams) error {
	for {
		var st entry.StatusView
		if err := c.client().do(fasthttp.MethodGet, entry.PathStatus, nil, &st); err != nil {
			return err
		}
		err := printOutput(s.Out, c.Output, st, func(w io.Writer) {
			printStatus(w, st)
		})
		if err != nil || c.Watch <= 0 {
			return err
		}
		select {
		case <-time.After(c.Watch):
		case <-ctx.Done():
			return nil
		}
	}
}

func printStatus(w io.Writer, st entry.StatusView) {
	fmt.Fprintf(w, "entry %s  ready %v  configuration %d  log read %s  open requests %d  connections %d\n",
		st.Process, st.Ready, st.Config, st.LogRead.UTC().Format(time.RFC3339), st.OpenRequests, st.Connections)
	fmt.Fprintln(w, "upstream\tserves\tdomain\tstate\trunning\tqueued\twaiting adapters\tspare slots\thint age s\tejected")
	for _, u := range st.Upstreams {
		serves := string(u.Model)
		if u.Service != "" {
			serves = string(u.Service)
		}
		state := "live"
		if u.State == wardturn.HostLeaving || u.Hint.Leaving {
			state = "leaving"
		}
		age := "-"
		if u.HintAge >= 0 {
			age = fmt.Sprintf("%.1f", u.HintAge)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%v\n", u.Upstream, serves, u.Domain, state,
			u.Hint.Running, u.Hint.Queued, u.Hint.WaitingAdapters, u.Hint.SpareSlots, age, u.BreakerOpen)
	}
}

// drainCmd orders an upstream to shut down gracefully, or withdraws that order.
type drainCmd struct {
	entryFlags
	Upstream string `arg:"" help:"Name of the upstream."`
	Reason   string `required:"" help:"Why, for the record."`
	Undo     bool   `help:"Withdraw the order; a new agent serves again."`
}

// Run publishes the drain order, or deletes it with --undo.
func (c *drainCmd) Run(s Streams) error {
	cl := c.client()
	key := control.DrainKey(wardturn.UpstreamID(c.Upstream))
	current, ok, err := cl.doc(key)
	if err != nil {
		return err
	}
	if c.Undo && !ok {
		return errors.Newf("%s has no drain order", c.Upstream)
	}
	body, _ := json.Marshal(c.Reason) // a JSON string is valid YAML
	req := entry.ChangeRequest{
		ID: control.PublicationID("cli-" + string(process.NewIncarnation())),
		Docs: []entry.DocRequest{{
			Key:         key,
			BaseVersion: current.Version,
			Delete:      c.Undo,
			Body:        "reason: " + string(body) + "\n",
		}},
	}
	var res control.PublicationResult
	if err := cl.do(fasthttp.MethodPost, entry.PathChanges, req, &res); err != nil {
		return err
	}
	return printOutput(s.Out, c.Output, res, func(w io.Writer) {
		fmt.Fprintf(w, "%s: in force as version %d\n", key, res.Version)
	})
}
