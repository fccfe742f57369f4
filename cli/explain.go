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

// explainCmd prints the log lines of daemons that explain what happened to a request.
type explainCmd struct {
	ID    string        `arg:"" help:"Id of the request's attempt."`
	Files []string      `arg:"" optional:"" help:"Logs of one or several daemons; standard input if none."`
	Since time.Duration `default:"3s" help:"How far back lines about the request's adapter and upstreams count."`
}

// logTime is the layout of the time in log lines.
const logTime = "15:04:05.000"

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
	story := explain(lines, c.ID, c.Since)
	if len(story) == 0 {
		return errors.Newf("no line about request %s", c.ID)
	}
	for _, l := range story {
		fmt.Fprintln(s.Out, l.text)
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
		at, err := time.Parse(logTime, timePattern.FindString(scanner.Text()))
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

// explain returns the lines about a request in order of time. It adds the lines about the
// request's adapter, upstreams and team and about dependencies, from since before the
// first line of the request to its last.
func explain(lines []logLine, id string, since time.Duration) []logLine {
	var own []logLine
	about := make(map[string]bool)
	for _, l := range lines {
		if l.fields["id"] != id {
			continue
		}
		own = append(own, l)
		for _, key := range []string{"adapter", "upstream", "team"} {
			if v := l.fields[key]; v != "" {
				about[key+"="+v] = true
			}
		}
	}
	if len(own) == 0 {
		return nil
	}
	slices.SortStableFunc(own, byTime)
	first, last := own[0].at.Add(-since), own[len(own)-1].at
	for _, l := range lines {
		if l.fields["id"] != "" || l.at.Before(first) || l.at.After(last) {
			continue
		}
		if about["adapter="+l.fields["adapter"]] || about["upstream="+l.fields["upstream"]] || about["team="+l.fields["team"]] || dependency(l) {
			own = append(own, l)
		}
	}
	slices.SortStableFunc(own, byTime)
	return own
}

// dependency reports whether a line is about the state of the store, a new configuration
// or an instance that is shutting down.
func dependency(l logLine) bool {
	return strings.Contains(l.text, "store ") || strings.Contains(l.text, "configuration in force") || strings.Contains(l.text, "leaving")
}

func byTime(x, y logLine) int {
	return x.at.Compare(y.at)
}
