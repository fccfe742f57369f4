package control

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.yaml.in/yaml/v3"

	"wardturn"
)

// The kinds of documents.
const (
	KindAdapter   = "adapter"
	KindService   = "service"
	KindCaller    = "caller"
	KindTeam      = "team"
	KindPolicy    = "policy"
	KindObjective = "objective"
	KindDrain     = "drain"
)

// AdapterDoc configures an adapter.
type AdapterDoc struct {
	BaseModel wardturn.BaseModel `yaml:"base_model"`
	Team      wardturn.TeamID    `yaml:"team"`
	Version   wardturn.Version   `yaml:"version"`  // in force when a request names none
	Versions  []wardturn.Version `yaml:"versions"` // that may be asked for by number
}

// ServiceDoc configures a plain service.
type ServiceDoc struct {
	Team          wardturn.TeamID `yaml:"team"`
	NotRepeatable []string        `yaml:"not_repeatable"` // methods; ALL for every one
	Deadline      Duration        `yaml:"deadline"`
}

// CallerDoc configures a caller.
type CallerDoc struct {
	Team        wardturn.TeamID `yaml:"team"`
	KeyDigests  []string        `yaml:"key_digests"` // SHA-256 in hexadecimal
	Adapters    []string        `yaml:"adapters"`    // names, or prefixes ending in *
	Services    []string        `yaml:"services"`    // names, or prefixes ending in *
	Rate        float64         `yaml:"rate"`        // requests a second; 0: no limit
	Burst       float64         `yaml:"burst"`
	Concurrency int             `yaml:"concurrency"` // requests at once; 0: no limit
}

// TeamDoc configures a team.
type TeamDoc struct {
	Operators []string `yaml:"operators"` // SHA-256 of their keys in hexadecimal
	Share     float64  `yaml:"share"`     // weight of its use of full upstreams; 0: 1
}

// PolicyDoc is a published policy.
type PolicyDoc struct {
	Active bool   `yaml:"active"`
	Shadow bool   `yaml:"shadow"`
	Source string `yaml:"source"`
}

// ObjectiveDoc is a service-level objective of a team.
type ObjectiveDoc struct {
	Team      wardturn.TeamID `yaml:"team"`
	Indicator string          `yaml:"indicator"`
	Threshold Duration        `yaml:"threshold"`
	Target    float64         `yaml:"target"` // part of good events, 0 to 1
	Window    Duration        `yaml:"window"`
}

// DrainDoc orders an upstream to leave.
type DrainDoc struct {
	Reason string `yaml:"reason"`
}

// Duration is a time as operators write it, as in 1.5s.
type Duration time.Duration

// UnmarshalYAML implements yaml.Unmarshaler.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	v, err := time.ParseDuration(n.Value)
	if err != nil {
		return errors.Newf("line %d: %q is not a time such as 1.5s", n.Line, n.Value)
	}
	*d = Duration(v)
	return nil
}

// DocProblem says where and why a document was rejected.
type DocProblem struct {
	File   string
	Line   int
	Reason string
}

// Error implements error.
func (p *DocProblem) Error() string {
	return p.File + ":" + strconv.Itoa(p.Line) + ": " + p.Reason
}

// KindOf returns the kind of a key.
func KindOf(k Key) string {
	kind, _, _ := strings.Cut(string(k), "/")
	return kind
}

// NameOf returns the name of a key, without its kind.
func NameOf(k Key) string {
	_, name, _ := strings.Cut(string(k), "/")
	return name
}

// KeyOf returns the key of a document.
func KeyOf(kind, name string) Key {
	return Key(kind + "/" + name)
}

// DrainKey is the document that orders an upstream to leave.
func DrainKey(id wardturn.UpstreamID) Key {
	return KeyOf(KindDrain, string(id))
}

// Repeatable reports whether a method of the service may be repeated.
func (d ServiceDoc) Repeatable(method string) bool {
	return !slices.Contains(d.NotRepeatable, "ALL") && !slices.Contains(d.NotRepeatable, method)
}

// ServiceOf returns a service's configuration, or the zero value.
func ServiceOf(r *Replica, name wardturn.ServiceName) ServiceDoc {
	var d ServiceDoc
	if doc, ok := r.Get(KeyOf(KindService, string(name))); ok {
		_ = yaml.Unmarshal(doc.Body, &d) // checked before publication
	}
	return d
}

// Shares returns the weights of the teams that have one.
func Shares(r *Replica) map[wardturn.TeamID]float64 {
	weights := make(map[wardturn.TeamID]float64)
	for _, d := range r.Docs(KindTeam) {
		var t TeamDoc
		if yaml.Unmarshal(d.Body, &t) == nil && t.Share > 0 {
			weights[wardturn.TeamID(NameOf(d.Key))] = t.Share
		}
	}
	return weights
}

// NamedPolicy is a policy of the configuration with its name and version.
type NamedPolicy struct {
	PolicyDoc
	Name    string
	Version wardturn.Offset
}

// ActivePolicy returns the active policy. If several are, the newest is.
func ActivePolicy(r *Replica) (NamedPolicy, bool) {
	return newestPolicy(r, func(p PolicyDoc) bool { return p.Active })
}

// ShadowPolicy returns the policy that runs beside the active one. If several
// should, the newest does.
func ShadowPolicy(r *Replica) (NamedPolicy, bool) {
	return newestPolicy(r, func(p PolicyDoc) bool { return p.Shadow })
}

func newestPolicy(r *Replica, match func(PolicyDoc) bool) (NamedPolicy, bool) {
	var best NamedPolicy
	for _, d := range r.Docs(KindPolicy) {
		var p PolicyDoc
		if yaml.Unmarshal(d.Body, &p) != nil || !match(p) || d.Version <= best.Version {
			continue
		}
		best = NamedPolicy{
			PolicyDoc: p,
			Name:      NameOf(d.Key),
			Version:   d.Version,
		}
	}
	return best, best.Version > 0
}

// EncodePage encodes a page for a peer.
func EncodePage(p Page) ([]byte, error) {
	data, err := msgpack.Marshal(p)
	return data, errors.Wrap(err, "control: encode page")
}

// DecodePage decodes a page of a peer.
func DecodePage(data []byte) (p Page, err error) {
	defer func() {
		if v := recover(); v != nil {
			err = errors.Wrapf(ErrBadRecord, "%v", v)
		}
	}()
	if err := msgpack.Unmarshal(data, &p); err != nil {
		return Page{}, errors.Wrapf(ErrBadRecord, "%v", err)
	}
	return p, nil
}
