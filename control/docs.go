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

// Kinds of documents.
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
	Version   wardturn.Version   `yaml:"version"`  // used when a request names none
	Versions  []wardturn.Version `yaml:"versions"` // that requests may select
}

// ServiceDoc configures a plain service.
type ServiceDoc struct {
	Team          wardturn.TeamID `yaml:"team"`
	NotRepeatable []string        `yaml:"not_repeatable"` // methods, or ALL
	Deadline      Duration        `yaml:"deadline"`
}

// CallerDoc configures a caller.
type CallerDoc struct {
	Team        wardturn.TeamID `yaml:"team"`
	KeyDigests  []string        `yaml:"key_digests"` // SHA-256 in hexadecimal
	Adapters    []string        `yaml:"adapters"`    // names, or prefixes ending in *
	Services    []string        `yaml:"services"`    // names, or prefixes ending in *
	Rate        float64         `yaml:"rate"`        // requests per second; 0: no limit
	Burst       float64         `yaml:"burst"`
	Concurrency int             `yaml:"concurrency"` // concurrent requests; 0: no limit
}

// TeamDoc configures a team.
type TeamDoc struct {
	Operators []string `yaml:"operators"` // SHA-256 of their keys in hexadecimal
	Share     float64  `yaml:"share"`     // weight in the fair sharing of full upstreams; 0 means 1
}

// PolicyDoc is a scheduling policy. At most one of Active and Shadow is set.
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
	Target    float64         `yaml:"target"` // required fraction of good events, between 0 and 1
	Window    Duration        `yaml:"window"`
}

// DrainDoc orders an upstream to drain.
type DrainDoc struct {
	Reason string `yaml:"reason"`
}

// Duration is a time.Duration that is written as in 1.5s in YAML.
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

// DocError says where and why a document was rejected.
type DocError struct {
	File   string
	Line   int
	Reason string
}

// Error implements error.
func (p *DocError) Error() string {
	return p.File + ":" + strconv.Itoa(p.Line) + ": " + p.Reason
}

// KindOf returns the kind of the document that a key names.
func KindOf(k Key) string {
	kind, _, _ := strings.Cut(string(k), "/")
	return kind
}

// NameOf returns the name of the document that a key names, without its kind.
func NameOf(k Key) string {
	_, name, _ := strings.Cut(string(k), "/")
	return name
}

// KeyOf returns the key of a document.
func KeyOf(kind, name string) Key {
	return Key(kind + "/" + name)
}

// DrainKey returns the key of the document that orders an upstream to drain.
func DrainKey(id wardturn.UpstreamID) Key {
	return KeyOf(KindDrain, string(id))
}

// Repeatable reports whether a method of the service may be repeated.
func (d ServiceDoc) Repeatable(method string) bool {
	return !slices.Contains(d.NotRepeatable, "ALL") && !slices.Contains(d.NotRepeatable, method)
}

// ServiceOf returns the configuration of a service, or the zero value if it has none.
func ServiceOf(r *Replica, name wardturn.ServiceName) ServiceDoc {
	var d ServiceDoc
	if doc, ok := r.Get(KeyOf(KindService, string(name))); ok {
		_ = yaml.Unmarshal(doc.Body, &d) // validated before publication
	}
	return d
}

// TeamShares returns the configured weights by team. Teams without one are left out.
func TeamShares(r *Replica) map[wardturn.TeamID]float64 {
	weights := make(map[wardturn.TeamID]float64)
	for _, d := range r.Docs(KindTeam) {
		var t TeamDoc
		if yaml.Unmarshal(d.Body, &t) == nil && t.Share > 0 {
			weights[wardturn.TeamID(NameOf(d.Key))] = t.Share
		}
	}
	return weights
}

// NamedPolicy is a published policy with its name and version.
type NamedPolicy struct {
	PolicyDoc
	Name    string
	Version wardturn.Offset
}

// ActivePolicy returns the active policy. If several are marked as active, it is the
// one that was published last.
func ActivePolicy(r *Replica) (NamedPolicy, bool) {
	return newestPolicy(r, func(p PolicyDoc) bool { return p.Active })
}

// ShadowPolicy returns the policy that is evaluated next to the active one, without
// effect on requests. If several are marked as shadow, it is the one that was published
// last.
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

// EncodeConfigPage encodes a page for a peer. DecodeConfigPage decodes it.
func EncodeConfigPage(p ConfigPage) ([]byte, error) {
	data, err := msgpack.Marshal(p)
	return data, errors.Wrap(err, "control: encode page")
}

// DecodeConfigPage decodes a page that was received from a peer.
func DecodeConfigPage(data []byte) (p ConfigPage, err error) {
	defer func() {
		if v := recover(); v != nil {
			err = errors.Wrapf(ErrBadRecord, "%v", v)
		}
	}()
	if err := msgpack.Unmarshal(data, &p); err != nil {
		return ConfigPage{}, errors.Wrapf(ErrBadRecord, "%v", err)
	}
	return p, nil
}
