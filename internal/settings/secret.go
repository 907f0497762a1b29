package settings

// Secret is a string that is replaced by a placeholder when it is printed or
// encoded.
type Secret string

const redacted = "[redacted]"

// String returns a placeholder.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return redacted
}

// GoString returns a placeholder.
func (s Secret) GoString() string { return s.String() }

// MarshalText returns a placeholder.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Reveal returns the secret itself.
func (s Secret) Reveal() string { return string(s) }
