package capacity

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Target is the size in two years, as the users' letter gives it.
type Target struct {
	Entries        float64
	Workers        float64
	Accelerators   float64
	Requests       float64 // a second
	Tokens         float64 // a second
	Models         float64
	Adapters       float64
	Waking         float64 // part of the adapters that wakes or idles in an hour
	Regions        float64
	Domains        float64
	ChangesADay    float64
	FailuresADay   float64
	RestartsADay   float64
	BudgetCore     float64 // part of a core, for control
	BudgetMemory   float64 // bytes
	BudgetBytes    float64 // a second
	BudgetForceMS  float64
	LogAppends     float64 // a second, that the platform's log takes
	ClaimShare     float64 // part of the requests that may not be repeated; assumed
	LoadsPerWorker float64 // a second, that the stores allow for each worker today
}

// TwoYears returns the size of the letter. The last values are assumptions that
// the letter does not give: 5% of the requests may not be repeated, the log
// takes 300 appends a second, and the stores grow with the workers.
func TwoYears() Target {
	return Target{
		Entries:        470,
		Workers:        2100,
		Accelerators:   17_000,
		Requests:       14_000,
		Tokens:         4_700_000,
		Models:         8,
		Adapters:       45_000,
		Waking:         0.17,
		Regions:        8,
		Domains:        20,
		ChangesADay:    10_000,
		FailuresADay:   26,
		RestartsADay:   690,
		BudgetCore:     0.014,
		BudgetMemory:   128 << 20,
		BudgetBytes:    17 << 10,
		BudgetForceMS:  17_000,
		LogAppends:     300,
		ClaimShare:     0.05,
		LoadsPerWorker: 9.0 / 18,
	}
}

// Measured holds all series.
type Measured struct {
	Routing    Series
	Agent      Series
	Allocating Series
	Memory     Series
	Links      Series
	Force      Series
	Claims     Series
	Applying   Series
	Recovery   Series
	Placing    Series
	Asking     Series
	Choosing   Series
	StoreReads Series
	Change     float64 // bytes of one change of a holding to one gateway
}

// Measure runs every measurement. It takes about a minute.
func Measure(progress func(string)) (Measured, error) {
	var m Measured
	var err error
	step := func(name string, f func() error) {
		if err != nil {
			return
		}
		progress(name)
		err = errors.Wrap(f(), name)
	}
	plain := func(into *Series, f func() Series) func() error {
		return func() error {
			*into = f()
			return nil
		}
	}
	failing := func(into *Series, f func() (Series, error)) func() error {
		return func() (err error) {
			*into, err = f()
			return err
		}
	}
	step("routing", plain(&m.Routing, Routing))
	step("agent", plain(&m.Agent, Agent))
	step("allocating", plain(&m.Allocating, Allocating))
	step("memory", failing(&m.Memory, Memory))
	step("links", failing(&m.Links, Links))
	step("force", failing(&m.Force, Force))
	step("claims", failing(&m.Claims, Claims))
	step("applying", failing(&m.Applying, Applying))
	step("recovery", failing(&m.Recovery, Recovery))
	step("gateway placing", plain(&m.Placing, FleetPlacing))
	step("gateway asking", plain(&m.Asking, FleetAsking))
	step("keeper", plain(&m.Choosing, KeeperChoosing))
	step("store reads", plain(&m.StoreReads, StoreReads))
	step("holdings", func() (err error) {
		m.Change, err = changeBytes()
		return err
	})
	return m, err
}

func (m Measured) all() []Series {
	return []Series{
		m.Routing, m.Agent, m.Allocating, m.Memory, m.Links, m.Force, m.Claims, m.Applying, m.Recovery,
		m.Placing, m.Asking, m.Choosing, m.StoreReads,
	}
}

// WriteTable writes the measured points and their fits for people.
func (m Measured) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "cost\tunit\tby\tpoints\tbase\tslope\tfit error\t")
	for _, s := range m.all() {
		f := s.Fit()
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.0f%%\t\n", s.Name, s.Unit, s.Size, s.points(), f.Base, f.Slope, 100*f.Error)
	}
	return t.Flush()
}

func (s Series) points() string {
	list := make([]string, 0, len(s.Points))
	for _, p := range s.Points {
		list = append(list, fmt.Sprintf("%.0f: %.4g", p.Size, p.Cost))
	}
	return strings.Join(list, ", ")
}

// row is one line of the page's table of roles.
type row struct {
	role      string
	what      string
	value     string
	budget    string
	over      bool
	mechanism string
}

// WriteMarkdown writes docs/CAPACITY.md.
func (m Measured) WriteMarkdown(w io.Writer, t Target) error {
	var b strings.Builder
	b.WriteString(pageHead)
	b.WriteString("## Measured\n\n| cost | by | points | base | slope | fit error |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, s := range m.all() {
		f := s.Fit()
		fmt.Fprintf(&b, "| %s, %s | %s | %s | %.4g | %.4g | %.0f%% |\n", s.Name, s.Unit, s.Size, s.points(), f.Base, f.Slope, 100*f.Error)
	}
	b.WriteString("\n## The size in two years\n\n| role | what | worked out | budget | carried by |\n| --- | --- | --- | --- | --- |\n")
	for _, r := range m.rows(t) {
		value := r.value
		if r.over {
			value = "**over:** " + value
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", r.role, r.what, value, r.budget, r.mechanism)
	}
	b.WriteString(pageTail)
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "page")
}

const pageHead = `# Capacity at the size in two years

Made by ` + "`go run ./cmd/wardturn bench --markdown`" + `; do not edit. Costs are measured
on one machine at three or more sizes, a line is fitted by least squares, and the
roles are worked out from the lines. The fit error is the largest distance of a
measured point from its line.

The size: 470 daemons before 2,100 workers with 17,000 accelerators, 14,000
requests and 4.7 million tokens a second, 8 base models, 45,000 adapters of which
17% wake or fall idle within an hour, 8 regions with 20 failure domains, 10,000
configuration changes a day, 26 failures and 690 restarts a day. A daemon may
spend 1.4% of a core, 128 MB and 17 KB/s on control.

Read as: 470 entry daemons, one agent beside each of the 2,100 workers, each entry
in touch with the workers of its own region. Assumed, because the letter does not
say: 5% of the requests may not be repeated, the log takes 300 appends a second,
the stores' rates grow with the workers.

`

const pageTail = `
## What the rows leave out

- The processor time of the data path itself (parsing, copying, TLS) is not
  control; the path's own cost is in docs/MEASURES.md.
- Links between regions and the loss of a whole region were not measured.
- One machine shares its processors between all processes of a measurement; the
  fits of time are therefore upper bounds for quiet hosts.
`

// What the rows of the daemons on the users' platform assume, from days of the
// bench with 28 gateways and 50 engines.
const (
	missShare        = 0.15   // requests whose adapter no engine holds
	changesPerLoad   = 4.2    // told for each load: coming, ready, leaving, gone
	ordersPerLoad    = 2.5    // load, unload, and some refused
	looksPerOrder    = 25     // at the engine's report, each 10 ms, while a load is under way
	wishesAtOnce     = 64     // in a burst
	storeReadsBudget = 2000.0 // a second that the platform's store takes of all daemons today
)

// rows works out the roles.
func (m Measured) rows(t Target) []row {
	perRegion := t.Workers / t.Regions
	perEntry := t.Requests / t.Entries
	perWorker := t.Requests / t.Workers
	changes := t.ChangesADay / 86_400
	routing := m.Routing.Fit().At(perRegion) * perEntry / 1e9
	applying := m.Applying.Fit().At(t.Adapters) * changes / 1e9
	memory := m.Memory.Fit().At(t.Adapters)
	links := m.Links.Fit().At(perRegion)
	// A change as JSON with base64, and one snapshot of all documents an hour.
	const changeBytes, docBytes = 400, 150.0
	config := changes*changeBytes + t.Adapters*docBytes/3600
	agentCPU := m.Agent.Fit().At(t.Adapters/perRegion) * perWorker / 1e9
	entriesPerRegion := t.Entries / t.Regions
	agentLinks := m.Links.Fit().At(entriesPerRegion)
	allocators := perRegion / t.Models
	wishes := 4*allocators + 3*t.LoadsPerWorker*allocators
	allocating := m.Allocating.Fit().At(allocators) * wishes / 1e9
	claims := t.Requests * t.ClaimShare
	serviceAgents := t.Workers / 10
	claimsEach := claims / serviceAgents
	records := serviceAgents * min(claimsEach, m.Claims.Fit().At(claimsEach))
	claimBytes := claims * 200
	recovery := m.Recovery.Fit().At(perRegion)
	force := m.Force.Fit().At(t.Entries + t.Workers)
	loads := t.LoadsPerWorker * t.Workers
	waking := t.Adapters * t.Waking / 3600
	missed := perEntry * missShare
	gatewayCPU := (m.Placing.Fit().At(perRegion)*(perEntry-missed) + m.Asking.Fit().At(perRegion)*missed) / 1e9
	regionLoads := t.LoadsPerWorker * perRegion
	holdings := m.Change * regionLoads * changesPerLoad
	keeperCPU := m.Choosing.Fit().At(wishesAtOnce) * t.LoadsPerWorker * ordersPerLoad * looksPerOrder / 1e9
	keeperSends := m.Change * t.LoadsPerWorker * changesPerLoad * entriesPerRegion
	reads := m.StoreReads.Fit().At(t.Entries) / 3600
	core := func(x float64) string { return fmt.Sprintf("%.3f%% of a core", 100*x) }
	mb := func(x float64) string { return fmt.Sprintf("%.0f MB", x/(1<<20)) }
	kb := func(x float64) string { return fmt.Sprintf("%.1f KB/s", x/1024) }
	budgetCore, budgetMB, budgetKB := core(t.BudgetCore), mb(t.BudgetMemory), kb(t.BudgetBytes)
	return []row{
		{"entry", "routing, " + fmt.Sprintf("%.0f requests/s over %.0f upstreams", perEntry, perRegion), core(routing), budgetCore, routing > t.BudgetCore, "rendezvous over the region's upstreams, bounded map of places"},
		{"entry", "following the configuration", core(applying), budgetCore, applying > t.BudgetCore, "each process folds the log by itself"},
		{"entry", "configuration in memory", mb(memory), budgetMB, memory > t.BudgetMemory, "replica and typed catalog"},
		{"entry", fmt.Sprintf("%.0f connections to agents that rest", perRegion), kb(links), budgetKB, links > t.BudgetBytes, "dialed on demand; a heartbeat every 10 s while it rests, 1 s while it carries an attempt; hints ride on the answers"},
		{"entry", "reading the log and its snapshots", kb(config), budgetKB, links+config > t.BudgetBytes, "hourly snapshots; together with the connections " + kb(links+config)},
		{"agent", fmt.Sprintf("decisions, %.1f requests/s", perWorker), core(agentCPU), budgetCore, agentCPU > t.BudgetCore, "pure core, one lock"},
		{"agent", fmt.Sprintf("%.0f connections of entries", entriesPerRegion), kb(agentLinks), budgetKB, agentLinks > t.BudgetBytes, "as above, seen from the other side"},
		{"agent", "configuration in memory", mb(memory), budgetMB, memory > t.BudgetMemory, "kept so that entries can start while the log is out"},
		{"agent, as allocator", fmt.Sprintf("%.0f wishes/s of %.0f agents", wishes, allocators), core(allocating), budgetCore, allocating > t.BudgetCore, "one allocator for each model and region, found by rendezvous"},
		{"agent of a service", "reading all claims", kb(claimBytes), budgetKB, claimBytes > t.BudgetBytes, "every agent reads every claim; would change: claims by key range, each range read by its home agents only"},
		{"log", fmt.Sprintf("appends for %.0f claims/s of %.0f service agents", claims, serviceAgents), fmt.Sprintf("%.0f appends/s", records), fmt.Sprintf("%.0f appends/s", t.LogAppends), records > t.LogAppends, "group commit by each agent; would change: one batch for each failure domain, carried by an agent found by rendezvous"},
		{"log", "appends for configuration", fmt.Sprintf("%.2f appends/s", changes), fmt.Sprintf("%.0f appends/s", t.LogAppends), changes > t.LogAppends, "one record for each publication"},
		{"log", "time to force a change in " + fmt.Sprintf("%.0f processes", t.Entries+t.Workers), fmt.Sprintf("%.1f s", force/1000), fmt.Sprintf("%.0f s", t.BudgetForceMS/1000), force > t.BudgetForceMS, "long reads of the log"},
		{"log", fmt.Sprintf("all %.0f agents of a region restart", perRegion), fmt.Sprintf("%.1f s, %.0f records", recovery/1000, perRegion), fmt.Sprintf("%.0f s", t.BudgetForceMS/1000), recovery > t.BudgetForceMS, "one start record each; reads in pages; retries with jitter"},
		{"gateway", fmt.Sprintf("decisions, %.0f requests/s over %.0f engines", perEntry, perRegion), core(gatewayCPU), budgetCore, gatewayCPU > t.BudgetCore, "rendezvous over the engines, an index of who holds what"},
		{"gateway", fmt.Sprintf("hearing of %.0f loads/s in its region", regionLoads), kb(holdings), budgetKB, holdings > t.BudgetBytes, "keepers tell every gateway each change; would change: only gateways that asked for or use the adapter"},
		{"gateway", fmt.Sprintf("readings of the list by %.0f gateways together", t.Entries), fmt.Sprintf("%.1f reads/s", reads), fmt.Sprintf("%.0f reads/s", storeReadsBudget), reads > storeReadsBudget, "one reads for all; the others take its word while it is fresh"},
		{"keeper", "choice of orders", core(keeperCPU), budgetCore, keeperCPU > t.BudgetCore, "pure core, a report of the engine before each order"},
		{"keeper", fmt.Sprintf("telling %.0f gateways of its changes", entriesPerRegion), kb(keeperSends), budgetKB, keeperSends > t.BudgetBytes, "as above, seen from the other side"},
		{"stores", fmt.Sprintf("adapters that wake, %.1f/s", waking), fmt.Sprintf("%.1f%% of the loads", 100*waking/loads), fmt.Sprintf("%.0f loads/s", loads), waking > loads, "every load is earned: joined waits, value for store time, early refusal"},
	}
}
