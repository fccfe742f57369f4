// Package report measures how fast a team uses up the error budgets of its
// service-level objectives.
//
// Entries count events in histograms, one for each minute, indicator, team and
// policy. The windows of all entries are merged. A budget is the part of events
// that may be bad; its burn rate over a window is the part that was bad, divided
// by the budget: at 1 the budget lasts exactly as long as the objective's window.
// Each burn is looked at over a long and a short window together, so that an
// alert is neither late to come nor late to go.
//
// Minutes for which an entry's counts are missing are unknown. They are said to
// be so, and never count as zero.
package report
