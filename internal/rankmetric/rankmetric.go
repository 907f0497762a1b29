// Package rankmetric registers metrics that have the rank as a label.
package rankmetric

import "github.com/rattancove/rattancove/internal/cluster"

// New registers the metric name once for each rank, with the rank as its label.
func New[M any](name string, register func(name string) M) [cluster.RankCount]M {
	var all [cluster.RankCount]M
	for r := range cluster.Rank(cluster.RankCount) {
		all[r] = register(name + `{rank="` + r.String() + `"}`)
	}
	return all
}
