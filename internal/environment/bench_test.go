package environment

import (
	"fmt"
	"strings"
	"testing"
)

// ofSize returns a document of n groups with three servers each.
func ofSize(n int) []byte {
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

func BenchmarkParse(b *testing.B) {
	for _, groups := range []int{3, 100, 470, 4700} {
		data := ofSize(groups)
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				if _, err := Parse(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
