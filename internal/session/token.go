package session

import (
	"fmt"
	"strings"

	"github.com/rattancove/rattancove/internal/cluster"
)

// tokenSeparator separates the group and the position in a token.
const tokenSeparator = "@"

// FormatToken returns the token that a caller can present to another proxy. It is
// empty for an unknown position.
func FormatToken(group cluster.GroupName, p cluster.Position) string {
	if !p.Known() {
		return ""
	}
	return string(group) + tokenSeparator + p.String()
}

// ParseToken returns the position of a token, which must belong to group. An empty
// token is the unknown position.
func ParseToken(group cluster.GroupName, token string) (cluster.Position, error) {
	if token == "" {
		return cluster.Position{}, nil
	}
	i := strings.LastIndex(token, tokenSeparator)
	if i < 0 {
		return cluster.Position{}, fmt.Errorf("token %q: want group%sterm/offset", token, tokenSeparator)
	}
	if token[:i] != string(group) {
		return cluster.Position{}, fmt.Errorf("token %q: it belongs to another database group than %q", token, group)
	}
	p, err := cluster.ParsePosition(token[i+1:])
	if err != nil {
		return cluster.Position{}, fmt.Errorf("token %q: %w", token, err)
	}
	return p, nil
}
