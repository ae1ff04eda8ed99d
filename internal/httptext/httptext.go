// Package httptext tells which bytes the parts of a head of HTTP/1.1 may have, RFC 9110.
package httptext

// Alphanumeric holds the letters and digits of ASCII.
const Alphanumeric = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"

// Set is a set of bytes.
type Set [256]bool

// NewSet returns the set of the bytes of a text.
func NewSet(text string) *Set {
	var s Set
	for i := range len(text) {
		s[text[i]] = true
	}
	return &s
}

// HasAll reports whether the set has all bytes of a text.
func (s *Set) HasAll(text string) bool {
	for i := range len(text) {
		if !s[text[i]] {
			return false
		}
	}
	return true
}

var tokenBytes = NewSet(Alphanumeric + "!#$%&'*+-.^_`|~")

// IsToken reports whether a text is a token, such as the name of a field (section 5.6.2).
func IsToken(s string) bool { return s != "" && tokenBytes.HasAll(s) }

// IsFieldValue reports whether a text has no control bytes but tabs, as the value of a field or
// the reason in a status line (section 5.5).
func IsFieldValue(s string) bool {
	for i := range len(s) {
		if b := s[i]; (b < ' ' && b != '\t') || b == 0x7f {
			return false
		}
	}
	return true
}
