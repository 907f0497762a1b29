package succession

import (
	"slices"
	"strings"
	"time"
)

// Wait is what an attempt waits for.
type Wait struct {
	Reason string
	// Servers are those that it waits for, separated by commas.
	Servers string
}

// waitOf returns what an attempt that elects no server waits for.
func waitOf(g Group, v View, s State, now time.Time) Wait {
	switch {
	case v.PromotionInFlight || v.PriorPromotionPossible:
		return Wait{Reason: "outcome of an earlier promotion unknown"}
	case oldPrimaryWritable(g, v, s):
		return Wait{"old primary has not stepped down", string(s.OldPrimary)}
	case v.GrantsInForce:
		return Wait{Reason: "grants of the term in force"}
	}
	logs := finalLogs(g, v, s, now)
	safe, ok := safeEnd(g, v, s, logs, now)
	if !ok {
		return Wait{"no final log", missingLogs(s, logs)}
	}
	switch required, ok := requiredEnd(g, v, s, logs, now); {
	case !ok:
		return Wait{Reason: "a server that is not listed yet may have acknowledged writes"}
	case safe.Less(required) && !slices.ContainsFunc(logs, func(l finalLog) bool { return !l.end.Less(required) }):
		return Wait{Reason: "no final log has all acknowledged writes"}
	}
	if pending := pendingServers(v, now); pending != "" {
		return Wait{"promotion may still take effect", pending}
	}
	return Wait{"no server that is not leaving has the whole log of the old primary", string(s.OldPrimary)}
}

// missingLogs returns the members that have no final log.
func missingLogs(s State, logs []finalLog) string {
	var missing []string
	for _, m := range s.Members {
		if !slices.ContainsFunc(logs, func(l finalLog) bool { return l.server.ID == m.ID }) {
			missing = append(missing, string(m.ID))
		}
	}
	return strings.Join(missing, ",")
}

// pendingServers returns the servers whose promotion may still take effect.
func pendingServers(v View, now time.Time) string {
	var pending []string
	for id, p := range v.PendingPromotions {
		if p.possible(now) {
			pending = append(pending, string(id))
		}
	}
	slices.Sort(pending)
	return strings.Join(pending, ",")
}
