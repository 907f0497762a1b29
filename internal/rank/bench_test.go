package rank

import (
	"context"
	"strings"
	"testing"

	"github.com/rattancove/rattancove/internal/cluster"
)

// BenchmarkAcquire measures the CPU time of one slot, free and with requests waiting.
func BenchmarkAcquire(b *testing.B) {
	for name, parallelism := range map[string]int{"free": 1, "waiting": 64, "even, free": 1, "even, waiting": 64} {
		b.Run(name, func(b *testing.B) {
			d := New(Config{EvenLoad: strings.HasPrefix(name, "even")})
			defer d.Close()
			d.SetServers([]cluster.Server{{ID: "s1", Slots: 5}, {ID: "s2", Slots: 5}, {ID: "s3", Slots: 5}})
			d.SetPrimary("s1", 4)
			b.ReportAllocs()
			b.SetParallelism(parallelism)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					slot, err := d.Acquire(context.Background(), Request{Rank: cluster.RankNormal, Lane: LaneRead, Eligible: anyServerEligible})
					if err != nil {
						b.Error(err)
						return
					}
					slot.Release()
				}
			})
		})
	}
}
