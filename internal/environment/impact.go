package environment

import (
	"reflect"
	"regexp"
)

// impactRule matches changes that callers may notice and describes their effect.
type impactRule struct {
	path    *regexp.Regexp
	kind    ChangeKind
	applies func(current, next reflect.Value) bool
	impact  string
}

var impactRules = []impactRule{
	newImpactRule(`^groups\[[^\]]+\]$`, ChangeRemoved, anyChange, "callers of the group are refused"),
	newImpactRule(`^groups\[[^\]]+\]\.customers$`, ChangeModified, anyChange, "a customer that is left out is refused"),
	newImpactRule(`\.servers\[[^\]]+\]$`, ChangeRemoved, anyChange, "the group has fewer servers to promote"),
	newImpactRule(`\.servers\[[^\]]+\]\.(address|failure_domain)$`, ChangeModified, anyChange, "connections to the server are closed and opened anew"),
	newImpactRule(`\.servers\[[^\]]+\]\.(slots|connections)$`, ChangeModified, lowered, "the server is given less work"),
	newImpactRule(`\.promotion\.no_majority$`, ChangeModified, becomes(string(NoMajorityPromote)), "a failover may lose acknowledged orders"),
	newImpactRule(`^ranks\.\w+\.ack$`, ChangeModified, becomes(string(AckPrimary)), "a failover may lose acknowledged orders"),
	newImpactRule(`^ranks\.\w+\.(floor|queue|max_wait)$`, ChangeModified, lowered, "the rank is refused earlier under load"),
	newImpactRule(`^ranks\.\w+\.keep_free_slots$`, ChangeModified, raised, "lower ranks have fewer slots"),
	newImpactRule(`^customers\[[^\]]+\]$`, ChangeRemoved, anyChange, "the customer's callers are refused"),
	newImpactRule(`^customers\[[^\]]+\]\.users\[[^\]]+\]$`, ChangeRemoved, anyChange, "the user is refused"),
	newImpactRule(`\.verifier$`, ChangeModified, anyChange, "the user's old password is refused"),
	newImpactRule(`\.max_callers$`, ChangeModified, anyChange, "callers above the limit are refused"),
	newImpactRule(`^reads\[[^\]]+\]$`, ChangeRemoved, anyChange, "callers that name this read are refused"),
	newImpactRule(`^reads\[[^\]]+\]\.`, ChangeModified, anyChange, "reads of this name see data of another age"),
	newImpactRule(`^limits\.`, ChangeModified, lowered, "requests above the limit are refused"),
	newImpactRule(`^change_windows\[[^\]]+\]`, ChangeRemoved, anyChange, "promotions are no longer refused in this window"),
}

func newImpactRule(path string, kind ChangeKind, applies func(current, next reflect.Value) bool, impact string) impactRule {
	return impactRule{path: regexp.MustCompile(path), kind: kind, applies: applies, impact: impact}
}

// impactOf returns the effect that callers may notice; empty if there is none.
func impactOf(c Change, current, next reflect.Value) string {
	for _, r := range impactRules {
		if r.kind == c.Kind && r.path.MatchString(c.Path) && r.applies(current, next) {
			return r.impact
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
