package succession

import (
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// elect returns the server to promote, once no further write can be acknowledged
// and a server is known to have every acknowledged write. A leaving server, or one
// that the platform refused to promote, is elected only if no other is eligible. The
// old primary is elected only if it is a replica now and no other server is eligible; if
// it is leaving, only after switchoverTimeout. While a promotion that was requested
// earlier may take effect, no other server is elected: the promotion would discard what
// that server acknowledges.
func elect(g Group, v View, s State, now time.Time) (cluster.ServerID, bool) {
	logs := finalLogs(g, v, s, now)
	required, ok := requiredEnd(g, v, s, logs, now)
	if !ok || v.GrantsInForce || v.PromotionInFlight || oldPrimaryWritable(g, v, s) {
		return "", false
	}
	var fallback cluster.ServerID
	for _, log := range logs {
		id := log.server.ID
		isOldPrimary := id == s.OldPrimary
		switch {
		case log.end.Less(required) || log.left || otherPromotionPossible(v, id, now):
		case s.awaitsReplicas(now) && (isOldPrimary || log.server.Leaving):
		case !isOldPrimary && !log.server.Leaving && id != v.PromotionRefused:
			return id, true
		case fallback == "" || fallback == s.OldPrimary:
			fallback = id
		}
	}
	return fallback, fallback != ""
}

// requiredEnd returns the position that the promoted server must have, if one is known. The
// members do not determine it while a server that is not listed yet may have received
// acknowledged writes: then it is not below what the processes acknowledged that had grants.
// Nothing that was acknowledged lies beyond the whole log of the old primary.
func requiredEnd(g Group, v View, s State, logs []finalLog, now time.Time) (cluster.Position, bool) {
	safe, ok := safeEnd(g, v, s, logs, now)
	if !ok || !v.UnlistedPossible || oldLogIsLast(g, v, s, now) && !safe.Less(s.OldLogEnd) {
		return safe, ok
	}
	return cluster.MaxPosition(safe, v.Acknowledged), !v.AcknowledgedUnknown
}

// safeEnd returns a position that is not below any acknowledged write, if one is known.
// Once the old primary has stepped down, the end of its log is such a position, whichever
// servers the group has or had. A switchover accepts only that one while it gives the
// replicas time to receive it. Otherwise the final logs of the members decide.
func safeEnd(g Group, v View, s State, logs []finalLog, now time.Time) (cluster.Position, bool) {
	covered := oldLogIsLast(g, v, s, now)
	if covered && s.awaitsReplicas(now) {
		return s.OldLogEnd, true
	}
	if shared, ok := safePosition(logs, s.size(g), max(g.SyncReplicas, 1)); ok {
		return shared, true
	}
	if s.noneCanReturn(logs) {
		return logs[0].end, true
	}
	return s.OldLogEnd, covered
}

// oldLogIsLast reports whether the old primary has stepped down and no server can have
// acknowledged writes after it.
func oldLogIsLast(g Group, v View, s State, now time.Time) bool {
	if !s.OldLogEnd.Known() || maxServerTerm(v) > s.OldTerm {
		return false
	}
	for _, r := range g.Servers {
		if promotedSince(r, v.Servers[r.ID], v, now) {
			return false
		}
	}
	return true
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
	// left is set if the server is no longer listed.
	left bool
}

// finalLogs returns the logs of the paused replicas, as observed after the last grant of
// the old term had ended, and of an old primary that has stepped down, even if it has
// left since, sorted by descending position.
func finalLogs(g Group, v View, s State, now time.Time) []finalLog {
	var logs []finalLog
	for _, r := range g.Servers {
		o := v.Servers[r.ID]
		if o.lostRecords() || promotedSince(r, o, v, now) {
			continue
		}
		if pausedForAttempt(r, o, s) && o.RequestedAt.After(v.GrantsEndedAt) || r.ID == s.OldPrimary && oldPrimarySteppedDown(g, v, s) {
			logs = append(logs, finalLog{server: r, end: o.Status.Received})
		}
	}
	if departedPrimary(g, s) != "" && oldLogIsLast(g, v, s, now) {
		logs = append(logs, finalLog{server: Server{Server: cluster.Server{ID: s.OldPrimary}}, end: s.OldLogEnd, left: true})
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
