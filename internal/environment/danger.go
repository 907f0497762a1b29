package environment

import (
	"reflect"
	"regexp"
)

// dangerRule marks changes that callers may notice.
type dangerRule struct {
	path    *regexp.Regexp
	kind    ChangeKind
	applies func(current, next reflect.Value) bool
	danger  string
}

var dangerRules = []dangerRule{
	rule(`^groups\[[^\]]+\]$`, ChangeRemoved, always, "callers of the group are refused"),
	rule(`^groups\[[^\]]+\]\.customers$`, ChangeChanged, always, "a customer that is left out is refused"),
	rule(`\.servers\[[^\]]+\]$`, ChangeRemoved, always, "the group has fewer servers to promote"),
	rule(`\.servers\[[^\]]+\]\.(address|failure_domain)$`, ChangeChanged, always, "connections to the server are closed and opened anew"),
	rule(`\.servers\[[^\]]+\]\.(slots|connections)$`, ChangeChanged, lowered, "the server is given less work"),
	rule(`\.promotion\.no_majority$`, ChangeChanged, isValue(string(NoMajorityPromote)), "a failover may lose acknowledged orders"),
	rule(`^ranks\.\w+\.ack$`, ChangeChanged, isValue(string(AckPrimary)), "a failover may lose acknowledged orders"),
	rule(`^ranks\.\w+\.(floor|queue|max_wait)$`, ChangeChanged, lowered, "the rank is refused earlier under load"),
	rule(`^ranks\.\w+\.keep_free_slots$`, ChangeChanged, raised, "lower ranks have fewer slots"),
	rule(`^customers\[[^\]]+\]$`, ChangeRemoved, always, "the customer's callers are refused"),
	rule(`^customers\[[^\]]+\]\.users\[[^\]]+\]$`, ChangeRemoved, always, "the user is refused"),
	rule(`\.verifier$`, ChangeChanged, always, "the user's old password is refused"),
	rule(`\.max_callers$`, ChangeChanged, always, "callers above the limit are refused"),
	rule(`^reads\[[^\]]+\]$`, ChangeRemoved, always, "callers that name this read are refused"),
	rule(`^reads\[[^\]]+\]\.`, ChangeChanged, always, "reads of this name see data of another age"),
	rule(`^limits\.`, ChangeChanged, lowered, "requests above the limit are refused"),
	rule(`^change_windows\[[^\]]+\]`, ChangeRemoved, always, "promotions are no longer refused in this window"),
}

func rule(path string, kind ChangeKind, applies func(current, next reflect.Value) bool, danger string) dangerRule {
	return dangerRule{path: regexp.MustCompile(path), kind: kind, applies: applies, danger: danger}
}

func danger(c Change, current, next reflect.Value) string {
	for _, r := range dangerRules {
		if r.kind == c.Kind && r.path.MatchString(c.Path) && r.applies(current, next) {
			return r.danger
		}
	}
	return ""
}

func always(_, _ reflect.Value) bool { return true }

func isValue(text string) func(current, next reflect.Value) bool {
	return func(_, next reflect.Value) bool { return next.String() == text }
}

func lowered(current, next reflect.Value) bool { return number(next) < number(current) }

func raised(current, next reflect.Value) bool { return number(next) > number(current) }

func number(v reflect.Value) float64 {
	if v.CanFloat() {
		return v.Float()
	}
	return float64(v.Int())
}
