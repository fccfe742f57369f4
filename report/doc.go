// Package report computes the burn rates of the error budgets of service-level
// objectives.
//
// Entry processes count events in histograms, one for each minute, indicator, team and
// policy. A report merges the histograms of all processes. The error budget is the
// fraction of events that may be bad. The burn rate over a window is the fraction that
// was bad divided by the budget: at a burn rate of 1 the budget lasts exactly as long as
// the window of the objective. Alerts require a high burn rate over both a long and a
// short window, so that they neither fire nor clear late.
//
// Minutes for which the counts of a process are missing are reported as unknown. They
// are not counted as minutes without events.
package report
