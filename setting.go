package wardturn

import "fmt"

// SettingProblem describes an invalid setting. Setting is the name of its flag.
type SettingProblem struct {
	Setting string
	Reason  string
}

// Error implements error.
func (p SettingProblem) Error() string {
	return p.Setting + ": " + p.Reason
}

// SettingProblems lists all invalid settings of a process.
type SettingProblems []SettingProblem

// Require adds a problem of a setting unless ok is true.
func (p *SettingProblems) Require(ok bool, setting, reason string) {
	if ok {
		return
	}
	*p = append(*p, SettingProblem{
		Setting: setting,
		Reason:  reason,
	})
}

// Error implements error.
func (p SettingProblems) Error() string {
	return fmt.Sprintf("%d bad settings", len(p))
}

// Err returns the problems as an error, or nil if there are none.
func (p SettingProblems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
