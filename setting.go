package wardturn

// SettingProblem says which setting is bad, and why. Setting is the name of its
// flag.
type SettingProblem struct {
	Setting string
	Reason  string
}

// Error implements error.
func (p SettingProblem) Error() string {
	return p.Setting + ": " + p.Reason
}
