package environment

import (
	"bytes"
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

// BenchmarkChange reads documents that each differ from the one before in one
// group: whole, and with a parser that knows the one before. moved-B is what a
// process has to be sent for a change.
func BenchmarkChange(b *testing.B) {
	for _, groups := range []int{470, 4700} {
		base := ofSize(groups)
		server := fmt.Sprintf("10.%d.%d.1:5432\", failure_domain: d1, slots: ", groups/2/250, groups/2%250)
		change := func(i int) []byte {
			return bytes.Replace(base, []byte(server+"2"), fmt.Appendf(nil, "%s%d", server, i%9+1), 1)
		}
		b.Run(fmt.Sprintf("groups=%d/whole", groups), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, err := Parse(change(i)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(base)), "moved-B")
		})
		b.Run(fmt.Sprintf("groups=%d/pieces", groups), func(b *testing.B) {
			p := NewParser()
			if _, err := p.Parse(change(1)); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, err := p.Parse(change(i)); err != nil {
					b.Fatal(err)
				}
			}
			next := Split(change(2))
			bytes := len(next.Manifest())
			for _, piece := range moved(Split(change(1)), next) {
				bytes += len(piece.Data)
			}
			b.ReportMetric(float64(bytes), "moved-B")
		})
	}
}
