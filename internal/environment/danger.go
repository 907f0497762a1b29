package environment

import (
	"reflect"
	"regexp"
)

// dangerRule matches changes that callers may notice and describes their effect.
type dangerRule struct {
	path    *regexp.Regexp
	kind    ChangeKind
	applies func(current, next reflect.Value) bool
	danger  string
}

var dangerRules = []dangerRule{
	newDangerRule(`^groups\[[^\]]+\]$`, ChangeRemoved, anyChange, "callers of the group are refused"),
	newDangerRule(`^groups\[[^\]]+\]\.customers$`, ChangeModified, anyChange, "a customer that is left out is refused"),
	newDangerRule(`\.servers\[[^\]]+\]$`, ChangeRemoved, anyChange, "the group has fewer servers to promote"),
	newDangerRule(`\.servers\[[^\]]+\]\.(address|failure_domain)$`, ChangeModified, anyChange, "connections to the server are closed and opened anew"),
	newDangerRule(`\.servers\[[^\]]+\]\.(slots|connections)$`, ChangeModified, lowered, "the server is given less work"),
	newDangerRule(`\.promotion\.no_majority$`, ChangeModified, becomes(string(NoMajorityPromote)), "a failover may lose acknowledged orders"),
	newDangerRule(`^ranks\.\w+\.ack$`, ChangeModified, becomes(string(AckPrimary)), "a failover may lose acknowledged orders"),
	newDangerRule(`^ranks\.\w+\.(floor|queue|max_wait)$`, ChangeModified, lowered, "the rank is refused earlier under load"),
	newDangerRule(`^ranks\.\w+\.keep_free_slots$`, ChangeModified, raised, "lower ranks have fewer slots"),
	newDangerRule(`^customers\[[^\]]+\]$`, ChangeRemoved, anyChange, "the customer's callers are refused"),
	newDangerRule(`^customers\[[^\]]+\]\.users\[[^\]]+\]$`, ChangeRemoved, anyChange, "the user is refused"),
	newDangerRule(`\.verifier$`, ChangeModified, anyChange, "the user's old password is refused"),
	newDangerRule(`\.max_callers$`, ChangeModified, anyChange, "callers above the limit are refused"),
	newDangerRule(`^reads\[[^\]]+\]$`, ChangeRemoved, anyChange, "callers that name this read are refused"),
	newDangerRule(`^reads\[[^\]]+\]\.`, ChangeModified, anyChange, "reads of this name see data of another age"),
	newDangerRule(`^limits\.`, ChangeModified, lowered, "requests above the limit are refused"),
	newDangerRule(`^change_windows\[[^\]]+\]`, ChangeRemoved, anyChange, "promotions are no longer refused in this window"),
}

func newDangerRule(path string, kind ChangeKind, applies func(current, next reflect.Value) bool, danger string) dangerRule {
	return dangerRule{path: regexp.MustCompile(path), kind: kind, applies: applies, danger: danger}
}

// dangerOf returns the effect that callers may notice; empty for a harmless change.
func dangerOf(c Change, current, next reflect.Value) string {
	for _, r := range dangerRules {
		if r.kind == c.Kind && r.path.MatchString(c.Path) && r.applies(current, next) {
			return r.danger
		}
	}
	return ""
}

func anyChange(_, _ reflect.Value) bool { return true }

func becomes(text string) func(current, next reflect.Value) bool {
	return func(_, next reflect.Value) bool { return next.String() == text }
}

func lowered(current, next reflect.Value) bool { return numericValue(next) < numericValue(current) }

func raised(current, next reflect.Value) bool { return numericValue(next) > numericValue(current) }

func numericValue(v reflect.Value) float64 {
	if v.CanFloat() {
		return v.Float()
	}
	return float64(v.Int())
}
