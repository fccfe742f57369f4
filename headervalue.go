package wardturn

// ValidHeaderValue reports whether a text is unchanged when it is sent as the value of an HTTP header:
// it is not empty, neither begins nor ends with a blank, and has no control characters, which would end
// the header or the whole message.
func ValidHeaderValue(s string) bool {
	if s == "" || isBlank(s[0]) || isBlank(s[len(s)-1]) {
		return false
	}
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func isBlank(c byte) bool {
	return c == ' ' || c == '\t'
}
