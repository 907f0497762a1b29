package succession

import (
	"slices"

	"github.com/rattancove/rattancove/internal/cluster"
)

// elect returns the server to promote, once no further write can be acknowledged
// and a server is known to have every acknowledged write. A leaving server, or one
// that the platform refused to promote, is elected only if no other is eligible. The
// old primary is never elected.
func elect(g Group, v View, s State) (cluster.ServerID, bool) {
	logs := finalLogs(g, v, s)
	size := len(g.Servers)
	if !listsPrimary(g, v, s) {
		size++ // the primary's catalog entry has expired, but it may still hold acknowledged writes
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

// listsPrimary reports whether the primary to replace is among the listed servers of
// the group. That is so in three cases:
//   - a server was observed as the primary;
//   - a server has not been observed, but its catalog entry marks it as the primary;
//   - no primary is known to be lost, and the terms of the servers differ: one of them
//     is a primary that has stepped down.
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

// safePosition returns a position that is not below any acknowledged write. An
// acknowledged write is stored on the primary and on syncReplicas replicas, so at
// least 1 + syncReplicas - missing of the servers with final logs have it, where
// missing is the number of servers without a final log. logs must be sorted by
// descending position. The second result is false if too few logs are final.
func safePosition(logs []finalLog, size, syncReplicas int) (cluster.Position, bool) {
	copies := 1 + syncReplicas - (size - len(logs))
	if copies < 1 || len(logs) == 0 {
		return cluster.Position{}, false
	}
	return logs[min(copies, len(logs))-1].end, true
}

// finalLog is the end of a log to which no more records are appended.
type finalLog struct {
	server Server
	end    cluster.Position
}

// finalLogs returns the logs of the paused replicas and of an old primary that
// has stepped down, sorted by descending position.
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

// oldPrimaryWritable reports whether the old primary still accepts writes.
func oldPrimaryWritable(g Group, v View, s State) bool {
	for _, r := range g.Servers {
		if o := v.Servers[r.ID]; r.ID == s.OldPrimary {
			return o.reachable(r) && o.Status.Role == cluster.RolePrimary
		}
	}
	return false
}
