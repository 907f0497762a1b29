package succession

import (
	"slices"

	"github.com/rattancove/rattancove/internal/cluster"
)

// elect returns the server to promote once nothing more can be acknowledged
// and its log provably has every acknowledged write. A leaving server and the
// one to be replaced are taken only where no other will do.
func elect(g Group, v View, s State) (cluster.ServerID, bool) {
	logs := finalLogs(g, v, s)
	size := len(g.Servers)
	if !listsPrimary(g, v, s) {
		size++ // its entry has lapsed, and what it held is as unknown as before
	}
	safe, ok := safePosition(logs, size, max(g.SyncReplicas, 1))
	if !ok || v.GrantsInForce || oldPrimaryWritable(g, v, s) {
		return "", false
	}
	var fallback cluster.ServerID
	for _, log := range logs {
		switch {
		case log.end.Less(safe):
		case log.server.ID != s.OldPrimary && !log.server.Leaving && log.server.ID != v.PromotionRefused:
			return log.server.ID, true
		case fallback == "" && log.server.ID != s.OldPrimary:
			fallback = log.server.ID
		}
	}
	return fallback, fallback != ""
}

// listsPrimary reports whether the primary to replace is among the servers of the
// group: the one that was seen as such, one that has not been seen and whose entry
// says so, or one that has stepped down, which has a term of its own.
func listsPrimary(g Group, v View, s State) bool {
	var terms []cluster.Term
	for _, r := range g.Servers {
		o := v.Servers[r.ID]
		if r.ID == s.OldPrimary || r.Primary && !o.known(r) || o.known(r) && o.Status.Role == cluster.RolePrimary {
			return true
		}
		if o.known(r) {
			terms = append(terms, o.Status.Term)
		}
	}
	return !g.LostPrimary && len(slices.Compact(slices.Sorted(slices.Values(terms)))) > 1
}

// safePosition returns a position that is not below any acknowledged write. Such
// a write is on its primary and copies others, so that at least 1 + copies -
// missing of the servers whose logs are final have it. logs are ordered from the
// highest position down. The second result is false when too few are final.
func safePosition(logs []finalLog, size, copies int) (cluster.Position, bool) {
	holders := 1 + copies - (size - len(logs))
	if holders < 1 || len(logs) == 0 {
		return cluster.Position{}, false
	}
	return logs[min(holders, len(logs))-1].end, true
}

// finalLog is the end of a log that nothing more is added to.
type finalLog struct {
	server Server
	end    cluster.Position
}

// finalLogs returns the logs of the paused replicas and of an old primary that
// has stepped down, the highest first.
func finalLogs(g Group, v View, s State) []finalLog {
	var logs []finalLog
	for _, r := range g.Servers {
		o := v.Servers[r.ID]
		if pausedForAttempt(r, o, s) || r.ID == s.OldPrimary && oldPrimarySteppedDown(g, v, s) {
			logs = append(logs, finalLog{server: r, end: o.Status.Received})
		}
	}
	slices.SortStableFunc(logs, func(a, b finalLog) int { return b.end.Compare(a.end) })
	return logs
}

// oldPrimaryWritable reports whether the old primary still takes writes.
func oldPrimaryWritable(g Group, v View, s State) bool {
	for _, r := range g.Servers {
		if o := v.Servers[r.ID]; r.ID == s.OldPrimary {
			return o.reachable(r) && o.Status.Role == cluster.RolePrimary
		}
	}
	return false
}
