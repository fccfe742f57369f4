package cli

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// explainCmd prints the log lines of daemons that explain what happened to a request, and
// after them why it waited or was rejected.
type explainCmd struct {
	ID    string        `arg:"" help:"Id of the request's attempt."`
	Files []string      `arg:"" optional:"" help:"Logs of one or several daemons; standard input if none."`
	Since time.Duration `default:"3s" help:"How far back lines about the request's adapter and upstreams count."`
}

// logTimeLayout is the layout of the time in log lines.
const logTimeLayout = "15:04:05.000"

var (
	timePattern  = regexp.MustCompile(`\d\d:\d\d:\d\d\.\d\d\d`)
	fieldPattern = regexp.MustCompile(`(\w+)=("[^"]*"|\S*)`)
)

// logLine is one line of a log.
type logLine struct {
	text   string
	at     time.Time
	fields map[string]string
}

// Run implements the command.
func (c *explainCmd) Run(s Streams) error {
	lines, err := readLogs(c.Files, s.In)
	if err != nil {
		return err
	}
	relevant := explainRequest(lines, c.ID, c.Since)
	if len(relevant) == 0 {
		return errors.Newf("no line about request %s", c.ID)
	}
	for _, l := range relevant {
		fmt.Fprintln(s.Out, l.text)
	}
	for _, reason := range explainReasons(relevant, c.ID) {
		fmt.Fprintln(s.Out, "=> "+reason)
	}
	return nil
}

// readLogs reads the lines of files, or of in if no files are given.
func readLogs(files []string, in io.Reader) ([]logLine, error) {
	if len(files) == 0 {
		return readLog(in)
	}
	var all []logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "log")
		}
		lines, err := readLog(f)
		f.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "log %s", name)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// readLog reads the lines that contain a time and skips the others.
func readLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		at, err := time.Parse(logTimeLayout, timePattern.FindString(scanner.Text()))
		if err != nil {
			continue
		}
		l := logLine{
			text:   strings.TrimSpace(scanner.Text()),
			at:     at,
			fields: make(map[string]string),
		}
		for _, m := range fieldPattern.FindAllStringSubmatch(l.text, -1) {
			l.fields[m[1]] = strings.Trim(m[2], `"`)
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// explainRequest returns the lines about a request in order of time. It adds the lines
// about the request's adapter, upstreams, team and refused part and about dependencies, from lookback
// before the first line of the request to its last.
func explainRequest(lines []logLine, id string, lookback time.Duration) []logLine {
	var result []logLine
	subjects := make(map[string]bool)
	for _, l := range lines {
		if l.fields["id"] != id {
			continue
		}
		result = append(result, l)
		for _, key := range []string{"adapter", "upstream", "team", "part"} {
			if v := l.fields[key]; v != "" {
				subjects[key+"="+v] = true
			}
		}
	}
	if len(result) == 0 {
		return nil
	}
	slices.SortStableFunc(result, compareTime)
	first, last := result[0].at.Add(-lookback), result[len(result)-1].at
	for _, l := range lines {
		if l.fields["id"] != "" || l.at.Before(first) || l.at.After(last) {
			continue
		}
		if subjects["adapter="+l.fields["adapter"]] || subjects["upstream="+l.fields["upstream"]] || subjects["team="+l.fields["team"]] || subjects["part="+l.fields["part"]] || aboutDependency(l) {
			result = append(result, l)
		}
	}
	slices.SortStableFunc(result, compareTime)
	return result
}

// aboutDependency reports whether a line is about the state of the store, a new
// configuration or an instance that is shutting down.
func aboutDependency(l logLine) bool {
	return strings.Contains(l.text, "store ") || strings.Contains(l.text, "configuration in force") || strings.Contains(l.text, "leaving")
}

func compareTime(x, y logLine) int {
	return x.at.Compare(y.at)
}
