package environment

import (
	"fmt"

	"github.com/rattancove/rattancove/internal/cluster"
)

// CheckChange returns the reasons why next may not replace the document in force,
// or nil. Both documents must be valid by themselves.
func CheckChange(current, next *Document) error {
	var faults Faults
	add := func(path, format string, args ...any) {
		faults = append(faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	if current.Name != next.Name {
		add("name", "the document in force is named %q; a document named %q cannot replace it", current.Name, next.Name)
	}
	for rank := range cluster.Rank(cluster.RankCount) {
		checkRankRemoval(rank, current, next, add)
	}
	for _, old := range current.Groups {
		if g, ok := next.Group(old.Name); ok {
			checkQuorumOverlap(old, g, add)
		}
	}
	return faults.Err()
}

type addFault func(path, format string, args ...any)

// checkRankRemoval refuses to disable a rank that accepts requests.
func checkRankRemoval(rank cluster.Rank, current, next *Document, add addFault) {
	old, now := current.Ranks.Policy(rank), next.Ranks.Policy(rank)
	if old.Queue > 0 && now.Queue == 0 {
		add("ranks."+rank.String()+".queue", "the rank is in use and cannot be removed")
	}
	if old.MaxWait > 0 && now.MaxWait == 0 {
		add("ranks."+rank.String()+".max_wait", "the rank is in use and cannot be removed")
	}
}

// checkQuorumOverlap refuses a change of servers that allows a majority of the old
// servers and a majority of the new ones to be disjoint. Two primaries could then
// be elected, or one that lacks an acknowledged write.
func checkQuorumOverlap(old, next Group, add addFault) {
	union := map[cluster.ServerID]bool{}
	for _, s := range old.Servers {
		union[s.ID] = true
	}
	for _, s := range next.Servers {
		union[s.ID] = true
	}
	if cluster.Majority(len(old.Servers))+cluster.Majority(len(next.Servers)) > len(union) {
		return
	}
	add(fmt.Sprintf("groups[%s].servers", old.Name),
		"too many servers change at once: add one in this revision and remove another in the next")
}
