package control

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"wardturn"
	"wardturn/policy"
	"wardturn/report"
)

// ValidateDoc validates a document before publication. The error is a *DocError.
func ValidateDoc(file string, key Key, body []byte) error {
	if !wardturn.ValidName(NameOf(key)) {
		return newDocError(file, 1, fmt.Sprintf("key %q is not kind/name", key))
	}
	doc, err := newDoc(KindOf(key))
	if err != nil {
		return newDocError(file, 1, err.Error())
	}
	dec := yaml.NewDecoder(bytes.NewReader(body))
	dec.KnownFields(true)
	if err := dec.Decode(doc); err != nil {
		return newDocError(file, errorLine(err), strings.TrimPrefix(err.Error(), "yaml: "))
	}
	if field, reason := doc.invalidField(); reason != "" {
		return newDocError(file, fieldLine(body, field), field+" "+reason)
	}
	return doc.checkText(file, body)
}

func newDocError(file string, line int, reason string) error {
	return &DocError{
		File:   file,
		Line:   line,
		Reason: reason,
	}
}

var lineNumber = regexp.MustCompile(`line (\d+)`)

func errorLine(err error) int {
	m := lineNumber.FindStringSubmatch(err.Error())
	if m == nil {
		return 1
	}
	n, _ := strconv.Atoi(m[1])
	return n
}

// fieldLine returns the line of a top-level field, or 1 if there is none.
func fieldLine(body []byte, field string) int {
	var n yaml.Node
	if yaml.Unmarshal(body, &n) != nil || len(n.Content) == 0 {
		return 1
	}
	for _, child := range n.Content[0].Content {
		if child.Value == field {
			return child.Line
		}
	}
	return 1
}

// document is a typed document with its validation.
type document interface {
	// invalidField returns the first invalid field and the reason, or empty strings.
	invalidField() (field, reason string)
	// checkText runs the checks that need the text of the document.
	checkText(file string, body []byte) error
}

// noTextCheck is embedded by documents that have no checks of their text.
type noTextCheck struct{}

func (noTextCheck) checkText(string, []byte) error { return nil }

type checkAdapter struct {
	AdapterDoc  `yaml:",inline"`
	noTextCheck `yaml:"-"`
}

func (d *checkAdapter) invalidField() (field, reason string) {
	switch {
	case !wardturn.ValidName(string(d.BaseModel)):
		return "base_model", "must be a name"
	case d.Version < 1:
		return "version", "must be 1 or more"
	case slices.ContainsFunc(d.Versions, func(v wardturn.Version) bool { return v < 1 }):
		return "versions", "must be 1 or more"
	}
	return "", ""
}

type checkService struct {
	ServiceDoc  `yaml:",inline"`
	noTextCheck `yaml:"-"`
}

func (d *checkService) invalidField() (field, reason string) {
	for _, m := range d.NotRepeatable {
		switch m {
		case "ALL", "GET", "POST", "PUT", "PATCH", "DELETE":
		default:
			return "not_repeatable", fmt.Sprintf("has %q, which is no method", m)
		}
	}
	if d.Deadline < 0 {
		return "deadline", "must not be negative"
	}
	return "", ""
}

type checkCaller struct {
	CallerDoc   `yaml:",inline"`
	noTextCheck `yaml:"-"`
}

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// notDigest reports whether s is not the digest of a key.
func notDigest(s string) bool {
	return !digestPattern.MatchString(s)
}

func (d *checkCaller) invalidField() (field, reason string) {
	switch {
	case slices.ContainsFunc(d.KeyDigests, notDigest):
		return "key_digests", "must be SHA-256 in hexadecimal"
	case d.Rate < 0:
		return "rate", "must not be negative"
	case d.Burst < 0:
		return "burst", "must not be negative"
	case d.Concurrency < 0:
		return "concurrency", "must not be negative"
	}
	return "", ""
}

type checkTeam struct {
	TeamDoc     `yaml:",inline"`
	noTextCheck `yaml:"-"`
}

func (d *checkTeam) invalidField() (field, reason string) {
	switch {
	case slices.ContainsFunc(d.Operators, notDigest):
		return "operators", "must be SHA-256 in hexadecimal"
	case d.Share < 0:
		return "share", "must not be negative"
	}
	return "", ""
}

type checkPolicy struct {
	PolicyDoc `yaml:",inline"`
}

func (d *checkPolicy) invalidField() (field, reason string) {
	if d.Active && d.Shadow {
		return "shadow", "must not be set for an active policy"
	}
	return "", ""
}

// checkText checks the policy program. Lines in errors are lines of the document.
func (d *checkPolicy) checkText(file string, body []byte) error {
	_, err := policy.CheckProgram(file, d.Source)
	var p *policy.ProgramError
	if !errors.As(err, &p) {
		return err
	}
	return newDocError(file, fieldLine(body, "source")+p.Line, p.Reason)
}

type checkObjective struct {
	ObjectiveDoc `yaml:",inline"`
	noTextCheck  `yaml:"-"`
}

func (d *checkObjective) invalidField() (field, reason string) {
	switch {
	case !slices.Contains(report.Indicators(), report.Indicator(d.Indicator)):
		return "indicator", fmt.Sprintf("must be one of %v", report.Indicators())
	case d.Target <= 0 || d.Target >= 1:
		return "target", "must be between 0 and 1"
	case d.Window <= 0:
		return "window", "must be positive"
	}
	return "", ""
}

type checkDrain struct {
	DrainDoc    `yaml:",inline"`
	noTextCheck `yaml:"-"`
}

func (d *checkDrain) invalidField() (field, reason string) {
	if d.Reason == "" {
		return "reason", "must be set"
	}
	return "", ""
}

func newDoc(kind string) (document, error) {
	switch kind {
	case KindAdapter:
		return &checkAdapter{}, nil
	case KindService:
		return &checkService{}, nil
	case KindCaller:
		return &checkCaller{}, nil
	case KindTeam:
		return &checkTeam{}, nil
	case KindPolicy:
		return &checkPolicy{}, nil
	case KindObjective:
		return &checkObjective{}, nil
	case KindDrain:
		return &checkDrain{}, nil
	}
	return nil, errors.Newf("unknown kind %q", kind)
}
