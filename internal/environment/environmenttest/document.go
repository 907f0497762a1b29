// Package environmenttest generates environment documents for tests.
package environmenttest

import (
	"fmt"
	"strings"
)

// WithGroups returns a document with n groups of three servers each.
func WithGroups(n int) []byte {
	var b strings.Builder
	customers := max(n/10, 1)
	b.WriteString("name: size\ncustomers:\n")
	for i := range customers {
		fmt.Fprintf(&b, "  - {name: c%d}\n", i)
	}
	b.WriteString("groups:\n")
	for i := range n {
		fmt.Fprintf(&b, "  - name: g%d\n    customers: [c%d]\n    servers:\n", i, i%customers)
		for j := range 3 {
			fmt.Fprintf(&b, "      - {id: g%d-%d, address: \"10.%d.%d.%d:5432\", failure_domain: d%d, slots: 2, connections: 16}\n", i, j, i/250, i%250, j, j)
		}
	}
	return []byte(b.String())
}

// SlotsText returns the part of a document that sets the slots of the second server
// of a group, for use in a text replacement.
func SlotsText(group, slots int) string {
	return fmt.Sprintf("10.%d.%d.1:5432\", failure_domain: d1, slots: %d", group/250, group%250, slots)
}

// WithSlots returns the document of WithGroups with the given slots for one server
// of the group in the middle.
func WithSlots(n, slots int) []byte {
	return []byte(strings.Replace(string(WithGroups(n)), SlotsText(n/2, 2), SlotsText(n/2, slots), 1))
}
