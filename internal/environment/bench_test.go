package environment

import (
	"fmt"
	"testing"

	"github.com/rattancove/rattancove/internal/environment/environmenttest"
)

func BenchmarkParse(b *testing.B) {
	for _, groups := range []int{3, 100, 470, 4700} {
		data := environmenttest.WithGroups(groups)
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

// BenchmarkChange parses documents that each differ from the previous one in one
// group: from scratch, and with a parser that has cached the previous one. moved-B
// is the number of bytes that a process has to receive for a change.
func BenchmarkChange(b *testing.B) {
	for _, groups := range []int{470, 4700} {
		var texts [][]byte
		for slots := range 9 {
			texts = append(texts, environmenttest.WithSlots(groups, slots+1))
		}
		change := func(i int) []byte { return texts[i%len(texts)] }
		b.Run(fmt.Sprintf("groups=%d/whole", groups), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, err := Parse(change(i)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(change(0))), "moved-B")
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
			for _, piece := range missingPieces(Split(change(1)), next) {
				bytes += len(piece.Data)
			}
			b.ReportMetric(float64(bytes), "moved-B")
		})
	}
}
