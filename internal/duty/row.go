package duty

import "github.com/rattancove/rattancove/internal/provider"

// row is the value that is stored in the lease's row.
type row struct {
	// Holder is empty once the lease was released.
	Holder string `json:"holder"`
	// Incarnation distinguishes the holder's process from an earlier one of the same
	// name.
	Incarnation int64 `json:"life"`
	// Token is zero in the write that acquires the lease, which is given a token above Above.
	Token Token `json:"token"`
	Above Token `json:"above,omitempty"`
	// Era is the era of the table service that the writer knew.
	Era uint64 `json:"era,omitempty"`
}

// tokenOf returns the token of the holder that wrote a row with the given version: the
// write that acquires the lease has none, and its version becomes the token.
func tokenOf(value row, version uint64) Token {
	if value.Token == 0 {
		return max(Token(version), value.Above+1)
	}
	return value.Token
}

// reading describes a row with a value and version, or its absence, as this process sees it.
func (l *Lease) reading(value row, version uint64, missing bool) Reading {
	named := !missing && value.Holder == l.config.Holder
	return Reading{
		Version: version, Current: !missing && value.Era == provider.EraOf(version), Missing: missing, Released: !missing && value.Holder == "",
		Own: named && value.Incarnation == l.incarnation, Predecessor: named && value.Incarnation != l.incarnation,
	}
}
