package load

import (
	"fmt"
	"net/url"
	"strings"
	"time"
)

// requestComment returns the leading comment that names a request's rank and the
// given pairs of key and value. Pairs with an empty value are left out.
func requestComment(a Arrival, pairs ...string) string {
	parts := []string{fmt.Sprintf("rattancove.rank='%s'", a.Kind.Rank)}
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			parts = append(parts, fmt.Sprintf("rattancove.%s='%s'", pairs[i], url.PathEscape(pairs[i+1])))
		}
	}
	return "/*" + strings.Join(parts, ",") + "*/"
}

// serviceTimeNote asks the stand-in backend server for a service time. It stands in
// a string literal, so that it means nothing to any other server.
func serviceTimeNote(serviceTime time.Duration) string {
	return fmt.Sprintf("rattan_work(%g)", float64(serviceTime)/float64(time.Millisecond))
}
