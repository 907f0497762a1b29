package cluster

import "fmt"

// Rank is the priority of a statement. Lower values are served first.
type Rank uint8

// The three ranks, most urgent first.
const (
	RankUrgent Rank = iota
	RankNormal
	RankBackground
	// RankCount is the number of ranks.
	RankCount = 3
)

var rankNames = [RankCount]string{"urgent", "normal", "background"}

// String returns the rank's name as used in settings, documents and metrics.
func (r Rank) String() string {
	if int(r) < len(rankNames) {
		return rankNames[r]
	}
	return fmt.Sprintf("rank(%d)", uint8(r))
}

// ParseRank parses a rank's name.
func ParseRank(s string) (Rank, error) {
	for i, name := range rankNames {
		if s == name {
			return Rank(i), nil
		}
	}
	return 0, fmt.Errorf("unknown rank %q", s)
}
