package report

import (
	"slices"
	"strings"
	"time"

	"wardturn"
)

// Objective is a team's service-level objective.
type Objective struct {
	Name      string          `json:"name"`
	Team      wardturn.TeamID `json:"team"`
	Indicator Indicator       `json:"indicator"`
	Threshold time.Duration   `json:"threshold_ns"` // zero: any answered request is good
	Target    float64         `json:"target"`       // required fraction of good events
	Window    time.Duration   `json:"window_ns"`
}

// Alert is a multi-window burn-rate alert. It fires if the burn rate is at least BurnRate
// over both windows. A rate of 14.4 over an hour uses 2% of a 30-day budget.
type Alert struct {
	Name     string
	Long     time.Duration
	Short    time.Duration
	BurnRate float64
}

// Alerts returns the fast and the slow alert.
func Alerts() []Alert {
	return []Alert{
		{
			Name:     "fast",
			Long:     time.Hour,
			Short:    5 * time.Minute,
			BurnRate: 14.4,
		},
		{
			Name:     "slow",
			Long:     6 * time.Hour,
			Short:    30 * time.Minute,
			BurnRate: 6,
		},
	}
}

// WindowBurn has the events and the burn rate of one alert window.
type WindowBurn struct {
	Length        time.Duration `json:"length_ns"`
	Events        uint64        `json:"events"`
	Bad           uint64        `json:"bad"`
	BurnRate      float64       `json:"burn"`    // burn rate; meaningless without events
	KnownFraction float64       `json:"known"`   // fraction of the minutes of all processes that have counts
	NoData        bool          `json:"no_data"` // no events, so the burn rate is unknown, not zero
}

// AlertState is the state of an alert.
type AlertState struct {
	Alert  string     `json:"alert"`
	Long   WindowBurn `json:"long"`
	Short  WindowBurn `json:"short"`
	Firing bool       `json:"fires"`
}

// ObjectiveReport is the report on one objective, over all policies if Policy is empty and
// otherwise for one.
type ObjectiveReport struct {
	Objective Objective     `json:"objective"`
	Policy    string        `json:"policy,omitempty"`
	Alerts    []AlertState  `json:"alerts"`
	Minutes   []MinutePoint `json:"minutes"`
}

// MinutePoint has the events of one minute, for plots.
type MinutePoint struct {
	Start  time.Time `json:"start"`
	Events uint64    `json:"events"`
	Bad    uint64    `json:"bad"`
	Known  bool      `json:"known"`
}

// BurnReport is a report on the burn rates of objectives.
type BurnReport struct {
	Time       time.Time         `json:"at"`
	Processes  int               `json:"processes"`
	Missing    []string          `json:"missing"` // processes that did not answer
	Objectives []ObjectiveReport `json:"lines"`
}

// ComputeBurn computes a report from the counts of the processes. Processes that did not
// answer are listed in missing; their minutes are unknown.
func ComputeBurn(at time.Time, objectives []Objective, counts []ProcessCounts, missing []string) BurnReport {
	b := BurnReport{
		Time:      at,
		Processes: len(counts) + len(missing),
		Missing:   missing,
	}
	for _, o := range objectives {
		b.Objectives = append(b.Objectives, newObjectiveReport(at, o, "", counts, len(missing)))
		for _, policy := range policiesOf(o, counts) {
			b.Objectives = append(b.Objectives, newObjectiveReport(at, o, policy, counts, len(missing)))
		}
	}
	return b
}

// policiesOf returns the policies that were active during the events of an objective,
// sorted, or nil if there are fewer than two.
func policiesOf(o Objective, counts []ProcessCounts) []string {
	var list []string
	for _, b := range counts {
		for _, w := range b.Windows {
			if matches(o, "", w.SeriesKey) && !slices.Contains(list, w.Policy) {
				list = append(list, w.Policy)
			}
		}
	}
	if len(list) < 2 {
		return nil
	}
	slices.Sort(list)
	return list
}

func matches(o Objective, policy string, k SeriesKey) bool {
	return k.Indicator == o.Indicator && (o.Team == "" || k.Team == o.Team) && (policy == "" || k.Policy == policy)
}

func newObjectiveReport(at time.Time, o Objective, policy string, counts []ProcessCounts, missing int) ObjectiveReport {
	l := ObjectiveReport{
		Objective: o,
		Policy:    policy,
	}
	for _, a := range Alerts() {
		f := AlertState{
			Alert: a.Name,
			Long:  newWindowBurn(at, a.Long, o, policy, counts, missing),
			Short: newWindowBurn(at, a.Short, o, policy, counts, missing),
		}
		f.Firing = !f.Long.NoData && !f.Short.NoData && f.Long.BurnRate >= a.BurnRate && f.Short.BurnRate >= a.BurnRate
		l.Alerts = append(l.Alerts, f)
	}
	l.Minutes = minutePoints(at, o, policy, counts)
	return l
}

// newWindowBurn computes the WindowBurn of the given length that ends with the last full
// minute before at.
func newWindowBurn(at time.Time, length time.Duration, o Objective, policy string, counts []ProcessCounts, missing int) WindowBurn {
	end := at.Truncate(Minute)
	start := end.Add(-length)
	s := WindowBurn{
		Length: length,
	}
	var sum Histogram
	known := 0
	for _, b := range counts {
		known += knownMinutes(b, start, end)
		for _, w := range b.Windows {
			if !w.Start.Before(start) && w.Start.Before(end) && matches(o, policy, w.SeriesKey) {
				sum.Merge(w.Histogram)
			}
		}
	}
	total := (len(counts) + missing) * int(length/Minute)
	if total > 0 {
		s.KnownFraction = float64(known) / float64(total)
	}
	s.Events = sum.TotalCount()
	s.NoData = s.Events == 0
	if s.NoData {
		return s
	}
	s.Bad = s.Events - sum.GoodCount(o.Threshold)
	s.BurnRate = float64(s.Bad) / float64(s.Events) / (1 - o.Target)
	return s
}

// knownMinutes returns the number of full minutes between start and end for which a
// process has counts.
func knownMinutes(b ProcessCounts, start, end time.Time) int {
	from := b.Started.Truncate(Minute)
	if !from.Equal(b.Started) {
		from = from.Add(Minute)
	}
	if from.Before(start) {
		from = start
	}
	to := b.Time.Truncate(Minute)
	if to.After(end) {
		to = end
	}
	return max(0, int(to.Sub(from)/Minute))
}

// plotMinutes is the number of minutes in a plot.
const plotMinutes = 60

func minutePoints(at time.Time, o Objective, policy string, counts []ProcessCounts) []MinutePoint {
	end := at.Truncate(Minute)
	var list []MinutePoint
	for start := end.Add(-plotMinutes * Minute); start.Before(end); start = start.Add(Minute) {
		p := MinutePoint{
			Start: start,
		}
		var sum Histogram
		for _, b := range counts {
			if knownMinutes(b, start, start.Add(Minute)) > 0 {
				p.Known = true
			}
			for _, w := range b.Windows {
				if w.Start.Equal(start) && matches(o, policy, w.SeriesKey) {
					sum.Merge(w.Histogram)
				}
			}
		}
		p.Events = sum.TotalCount()
		p.Bad = p.Events - sum.GoodCount(o.Threshold)
		list = append(list, p)
	}
	return list
}

// FiringObjectives returns the objectives with at least one firing alert.
func (b BurnReport) FiringObjectives() []ObjectiveReport {
	var list []ObjectiveReport
	for _, l := range b.Objectives {
		if slices.ContainsFunc(l.Alerts, func(f AlertState) bool { return f.Firing }) {
			list = append(list, l)
		}
	}
	return list
}

// SortObjectives sorts objectives by team and name.
func SortObjectives(list []Objective) {
	slices.SortFunc(list, func(x, y Objective) int {
		if c := strings.Compare(string(x.Team), string(y.Team)); c != 0 {
			return c
		}
		return strings.Compare(x.Name, y.Name)
	})
}
