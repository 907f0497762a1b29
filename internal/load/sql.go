package load

import (
	"fmt"
	"net/url"
	"strings"
	"time"
)

// requestComment returns the leading SQL comment with the request's rank and the
// given key-value pairs. Pairs with an empty value are omitted.
func requestComment(a Arrival, pairs ...string) string {
	parts := []string{fmt.Sprintf("rattancove.rank='%s'", a.Kind.Rank)}
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			parts = append(parts, fmt.Sprintf("rattancove.%s='%s'", pairs[i], url.PathEscape(pairs[i+1])))
		}
	}
	return "/*" + strings.Join(parts, ",") + "*/"
}

// serviceTimeNote returns a marker that requests a service time from a stand-in
// backend server. It is put into a string literal, so that other servers ignore
// it.
func serviceTimeNote(serviceTime time.Duration) string {
	return fmt.Sprintf("rattan_work(%g)", float64(serviceTime)/float64(time.Millisecond))
}
